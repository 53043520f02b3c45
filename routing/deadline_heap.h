/**
 * @file
 * A priority queue of requests by deadline. Each request has at most one deadline, so memory is bounded by the number of requests.
 */
#pragma once

#include "base/time.h"
#include "routing/request_list.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace reedtrail {

/** An indexed binary heap; an entry is changed or removed in logarithmic time. */
class deadline_heap
{
public:
    /** Sets or changes the deadline of @p request. */
    void set(std::uint32_t request, time_point due)
    {
        if (m_positions.size() <= request) {
            m_positions.resize(request + 1, noIndex);
        }
        if (m_positions[request] == noIndex) {
            m_positions[request] = static_cast<std::uint32_t>(m_heap.size());
            m_heap.push_back({ due, request });
        }
        m_heap[m_positions[request]].due = due;
        moveUp(m_positions[request]);
        moveDown(m_positions[request]);
    }
    /** Removes a request; does nothing if it has no deadline. */
    void remove(std::uint32_t request)
    {
        if (request >= m_positions.size() || m_positions[request] == noIndex) {
            return;
        }
        const std::uint32_t position = m_positions[request];
        swapEntries(position, static_cast<std::uint32_t>(m_heap.size() - 1));
        m_heap.pop_back();
        m_positions[request] = noIndex;
        if (position < m_heap.size()) {
            moveUp(position);
            moveDown(position);
        }
    }
    /** Returns the earliest deadline; timeNever if there is none. */
    time_point earliest() const
    {
        return m_heap.empty() ? timeNever : m_heap.front().due;
    }
    /** Returns the request with the earliest deadline; noIndex if there is none. */
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
    void swapEntries(std::uint32_t left, std::uint32_t right)
    {
        std::swap(m_heap[left], m_heap[right]);
        m_positions[m_heap[left].request] = left;
        m_positions[m_heap[right].request] = right;
    }
    void moveUp(std::uint32_t position)
    {
        while (position > 0 && m_heap[position].due < m_heap[(position - 1) / 2].due) {
            swapEntries(position, (position - 1) / 2);
            position = (position - 1) / 2;
        }
    }
    void moveDown(std::uint32_t position)
    {
        while (2 * position + 1 < m_heap.size()) {
            std::uint32_t child = 2 * position + 1;
            if (child + 1 < m_heap.size() && m_heap[child + 1].due < m_heap[child].due) {
                ++child;
            }
            if (m_heap[position].due <= m_heap[child].due) {
                return;
            }
            swapEntries(position, child);
            position = child;
        }
    }

    std::vector<entry> m_heap;
    std::vector<std::uint32_t> m_positions; ///< Position in the heap by request; noIndex without a deadline.
};

} // namespace reedtrail
