/**
 * @file
 * Lists of requests by index, linked through one shared array: moving a request between lists allocates nothing.
 */
#pragma once

#include "base/check.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace reedtrail {

/** An index that names nothing. */
inline constexpr std::uint32_t noIndex = 0xFFFFFFFFU;

/** Ends of a list. */
struct request_list
{
    std::uint32_t head = noIndex;
    std::uint32_t tail = noIndex;
    std::uint32_t size = 0;
};

/** The links of all lists; a request is in at most one list at a time. */
class request_links
{
public:
    /** Makes room for requests with indexes below @p count. */
    void reserve(std::size_t count)
    {
        if (m_links.size() < count) {
            m_links.resize(count);
        }
    }
    void pushBack(request_list &list, std::uint32_t request)
    {
        m_links[request] = { list.tail, noIndex };
        (list.tail == noIndex ? list.head : m_links[list.tail].next) = request;
        list.tail = request;
        ++list.size;
    }
    void pushFront(request_list &list, std::uint32_t request)
    {
        m_links[request] = { noIndex, list.head };
        (list.head == noIndex ? list.tail : m_links[list.head].previous) = request;
        list.head = request;
        ++list.size;
    }
    /** Returns the request after @p request in its list; noIndex after the last. */
    std::uint32_t next(std::uint32_t request) const
    {
        return m_links[request].next;
    }
    void remove(request_list &list, std::uint32_t request)
    {
        REEDTRAIL_CHECK(list.size > 0, "a request is removed only from the list that holds it");
        const link links = m_links[request];
        (links.previous == noIndex ? list.head : m_links[links.previous].next) = links.next;
        (links.next == noIndex ? list.tail : m_links[links.next].previous) = links.previous;
        --list.size;
    }

private:
    struct link
    {
        std::uint32_t previous = noIndex;
        std::uint32_t next = noIndex;
    };
    std::vector<link> m_links;
};

} // namespace reedtrail
