// The median of the clocks is taken anew with each answer. It moves by less than the clocks differ, so a request near the border of two windows may be counted
// in either; it is never counted in both, because windows are closed in order and a row is counted when the window in which it lies is closed.

#include "fleet/usage_windows.h"

#include <algorithm>

namespace reedtrail {
namespace {

std::int64_t milliseconds(time_point at)
{
    return at.time_since_epoch() / std::chrono::milliseconds(1);
}

} // namespace

void usage_windows::begin(time_point now, std::optional<std::int64_t> lastReported)
{
    m_begunAt = now;
    m_nodes.clear();
    m_known.clear();
    m_rows.clear();
    m_clockOffsetMs.reset();
    m_nextWindow.reset();
    m_lastReported = lastReported;
}

usage_ask usage_windows::question(const std::string &node) const
{
    usage_ask ask;
    if (const auto found = m_nodes.find(node); found != m_nodes.end()) {
        for (const std::string &origin : found->second.origins) {
            ask.known[origin] = m_known.at(origin);
        }
    }
    return ask;
}

void usage_windows::onAnswer(time_point now, const std::string &node, time_point askedAt, const usage_answer &answer)
{
    const time_point answeredAt = askedAt + (now - askedAt) / 2; // Between the question and the arrival of the answer.
    node_state &state = m_nodes[node];
    state.askedAt = std::max(state.askedAt, askedAt);
    state.clockOffsetMs = answer.wallClockMs - milliseconds(answeredAt);
    std::vector<std::int64_t> offsets;
    for (const auto &[name, each] : m_nodes) {
        offsets.push_back(each.clockOffsetMs);
    }
    std::ranges::nth_element(offsets, offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2));
    m_clockOffsetMs = offsets[offsets.size() / 2];
    for (const usage_batch &batch : answer.batches) {
        state.origins.insert(batch.origin);
        std::uint64_t &next = m_known[batch.origin];
        for (std::size_t i = 0; i < std::min(batch.rows.size(), batch.agesMs.size()); ++i) {
            if (batch.firstNumber + i < next || batch.rows[i] >= batch.customers.size()) {
                continue; // Two nodes may hold the same rows.
            }
            next = batch.firstNumber + i + 1;
            m_rows.push_back({ batch.customers[batch.rows[i]], answeredAt - std::chrono::milliseconds(batch.agesMs[i]) });
        }
    }
}

std::optional<std::int64_t> usage_windows::trueTimeMs(time_point now) const
{
    return m_clockOffsetMs ? std::optional(milliseconds(now) + *m_clockOffsetMs) : std::nullopt;
}

time_point usage_windows::endOf(std::int64_t window) const
{
    return time_point(std::chrono::milliseconds((window + 1) * windowMs() - *m_clockOffsetMs));
}

/** Tells whether the median is that of most nodes, or of those that can be reached. */
bool usage_windows::isTrueTimeKnown(time_point now, std::size_t nodeCount) const
{
    return m_clockOffsetMs && (m_nodes.size() * 2 > nodeCount || now - m_begunAt >= m_options.clockWait);
}

/** Tells whether a window can be closed: all nodes that answer have been asked after its requests were recorded, or its report is due. */
bool usage_windows::isComplete(time_point now, std::int64_t window, std::span<const std::string> nodes) const
{
    const time_point settledAt = endOf(window) + m_options.settleTime;
    if (now < settledAt) {
        return false;
    }
    if (now >= endOf(window) + m_options.due - m_options.sendTime) {
        return true;
    }
    return std::ranges::all_of(nodes, [&](const std::string &node) {
        const auto found = m_nodes.find(node);
        return found != m_nodes.end() && (found->second.askedAt >= settledAt || now - found->second.askedAt > m_options.answerLifetime);
    });
}

std::vector<usage_report> usage_windows::takeDue(time_point now, std::span<const std::string> nodes)
{
    std::vector<usage_report> due;
    if (!isTrueTimeKnown(now, nodes.size())) {
        return due;
    }
    const std::int64_t current = *trueTimeMs(now) / windowMs();
    if (!m_nextWindow) {
        m_nextWindow = m_lastReported ? std::max(*m_lastReported + 1, current - m_options.maxBacklog) : current;
    }
    while (*m_nextWindow < current && isComplete(now, *m_nextWindow, nodes)) {
        usage_report report{ *m_nextWindow, {} };
        std::erase_if(m_rows, [&](const pending_row &row) {
            const std::int64_t window = *trueTimeMs(row.beganAt) / windowMs();
            if (window > report.window) {
                return false;
            }
            if (window == report.window) {
                ++report.counts[row.customer];
            } else if (window > m_lastReported.value_or(window)) {
                ++m_lateRequests;
            }
            return true;
        });
        ++*m_nextWindow;
        due.push_back(std::move(report));
    }
    return due;
}

} // namespace reedtrail
