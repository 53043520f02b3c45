// The owner of a range runs a request without a store call. The cost comes with each takeover: the new owner does not know which keys the previous owner ran,
// and it cannot tell a first send from a retry. It therefore runs nothing until takeoverQuarantine has passed. The lease alone would not be safe: an owner that
// is paused between its lease check and the send may resume after the takeover and still send. The quarantine covers this case too, provided that no caller
// retries a key for longer than the quarantine.

#include "once/key_ranges.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail {

key_ranges::key_ranges(gate_incarnation self, key_range_options options)
    : m_self(std::move(self))
    , m_options(options)
    , m_ranges(options.rangeCount)
{
}

void key_ranges::onOwner(time_point now, std::size_t range, std::optional<gate_incarnation> owner, bool wasOwnedBefore)
{
    range_state &state = m_ranges[range];
    const bool isTakenOver = owner == m_self && state.owner != m_self && wasOwnedBefore;
    const bool isNewlyFree = !owner && (state.owner || !state.isKnown);
    if (isNewlyFree) {
        const std::uint64_t rank = rendezvousRank(std::to_string(range), m_self.node.view());
        state.nextAttemptAt = now + duration(static_cast<std::int64_t>(rank % static_cast<std::uint64_t>(m_options.acquireSpread.count())));
    }
    state.isKnown = true;
    state.owner = std::move(owner);
    if (isTakenOver) {
        state.quarantineUntil = now + m_options.takeoverQuarantine;
    }
}

void key_ranges::resolve(time_point now, std::uint64_t request, const std::string &key, actions &out)
{
    const range_state &state = m_ranges[stableHash(key) % m_ranges.size()];
    if (!state.owner) {
        out.push_back(resolved_key{ request, key_resolution::Unresolved, {} });
    } else if (*state.owner != m_self) {
        out.push_back(resolved_key{ request, key_resolution::Foreign, *state.owner });
    } else {
        const bool mayRun = now + m_options.leaseMargin < m_leaseUntil && now >= state.quarantineUntil;
        out.push_back(resolved_key{ request, mayRun ? key_resolution::Own : key_resolution::Unresolved, m_self });
    }
}

void key_ranges::onTimer(time_point now, actions &out)
{
    if (now + m_options.leaseMargin >= m_leaseUntil) {
        return;
    }
    for (std::size_t range = 0; range < m_ranges.size(); ++range) {
        range_state &state = m_ranges[range];
        if (state.isKnown && !state.owner && state.nextAttemptAt <= now) {
            state.nextAttemptAt = now + m_options.retryDelay;
            out.push_back(acquire_range{ range, m_self });
        }
    }
}

time_point key_ranges::nextDeadline() const
{
    time_point next = timeNever;
    for (const range_state &state : m_ranges) {
        next = state.owner ? next : std::min(next, state.nextAttemptAt);
    }
    return next;
}

} // namespace reedtrail
