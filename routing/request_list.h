/**
 * @file
 * Doubly linked lists of request indexes that share one array of links, so that moving a request between lists allocates no memory.
 */
#pragma once

#include "base/check.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace reedtrail {

/** Index value that refers to no element. */
inline constexpr std::uint32_t noIndex = 0xFFFFFFFFU;

/** Head, tail and size of a list. */
struct request_list
{
    std::uint32_t head = noIndex;
    std::uint32_t tail = noIndex;
    std::uint32_t size = 0;
};

/** Links of all lists; a request is in at most one list at a time. */
class request_links
{
public:
    /** Ensures that indexes below @p count are valid. */
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
    /** Returns the request that follows @p request in its list; noIndex after the last. */
    std::uint32_t next(std::uint32_t request) const
    {
        return m_links[request].next;
    }
    void remove(request_list &list, std::uint32_t request)
    {
        REEDTRAIL_CHECK(list.size > 0, "a request is removed only from the list that contains it");
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
