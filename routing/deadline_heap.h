/**
 * @file
 * The instants at which something is due for a request, earliest first; each request has at most one, so memory is bounded by the requests.
 */
#pragma once

#include "base/time.h"
#include "routing/request_list.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace reedtrail {

/** An indexed binary heap: an entry can be changed or removed in logarithmic time. */
class deadline_heap
{
public:
    /** Sets or changes when @p request is due. */
    void set(std::uint32_t request, time_point due)
    {
        if (m_places.size() <= request) {
            m_places.resize(request + 1, noIndex);
        }
        if (m_places[request] == noIndex) {
            m_places[request] = static_cast<std::uint32_t>(m_heap.size());
            m_heap.push_back({ due, request });
        }
        m_heap[m_places[request]].due = due;
        moveUp(m_places[request]);
        moveDown(m_places[request]);
    }
    /** Removes a request; does nothing if it is not there. */
    void remove(std::uint32_t request)
    {
        if (request >= m_places.size() || m_places[request] == noIndex) {
            return;
        }
        const std::uint32_t place = m_places[request];
        swapPlaces(place, static_cast<std::uint32_t>(m_heap.size() - 1));
        m_heap.pop_back();
        m_places[request] = noIndex;
        if (place < m_heap.size()) {
            moveUp(place);
            moveDown(place);
        }
    }
    /** Returns when the earliest is due; timeNever if there is none. */
    time_point earliest() const
    {
        return m_heap.empty() ? timeNever : m_heap.front().due;
    }
    /** Returns the request due earliest; noIndex if there is none. */
    std::uint32_t earliestRequest() const
    {
        return m_heap.empty() ? noIndex : m_heap.front().request;
    }

private:
    struct entry
    {
        time_point due;
        std::uint32_t request;
    };
    void swapPlaces(std::uint32_t left, std::uint32_t right)
    {
        std::swap(m_heap[left], m_heap[right]);
        m_places[m_heap[left].request] = left;
        m_places[m_heap[right].request] = right;
    }
    void moveUp(std::uint32_t place)
    {
        while (place > 0 && m_heap[place].due < m_heap[(place - 1) / 2].due) {
            swapPlaces(place, (place - 1) / 2);
            place = (place - 1) / 2;
        }
    }
    void moveDown(std::uint32_t place)
    {
        while (2 * place + 1 < m_heap.size()) {
            std::uint32_t child = 2 * place + 1;
            if (child + 1 < m_heap.size() && m_heap[child + 1].due < m_heap[child].due) {
                ++child;
            }
            if (m_heap[place].due <= m_heap[child].due) {
                return;
            }
            swapPlaces(place, child);
            place = child;
        }
    }

    std::vector<entry> m_heap;
    std::vector<std::uint32_t> m_places; ///< By request; noIndex if it has none.
};

} // namespace reedtrail
