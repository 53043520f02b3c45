// A binary heap ordered by instant, then by the order of adding: cost is logarithmic in the events that wait, memory is one event each.

#include "harness/virtual_time.h"

#include <algorithm>

namespace reedtrail::harness {

void virtual_time::at(time_point instant, std::function<void()> action)
{
    m_queue.push({ std::max(instant, m_now), m_added++, std::move(action) });
}

void virtual_time::after(duration delay, std::function<void()> action)
{
    at(m_now + delay, std::move(action));
}

bool virtual_time::step()
{
    if (m_queue.empty()) {
        return false;
    }
    event next = std::move(const_cast<event &>(m_queue.top()));
    m_queue.pop();
    m_now = next.at;
    next.action();
    return true;
}

void virtual_time::runUntil(time_point end)
{
    while (!m_queue.empty() && m_queue.top().at <= end) {
        step();
    }
    m_now = std::max(m_now, end);
}

} // namespace reedtrail::harness
