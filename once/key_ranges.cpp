// The owner of a range needs no store call to run a request. The price is paid at each change of owner: what the owner before has run is known to nobody, so
// the new one may not run a key that could be a repeat. It cannot tell a first send from a repeat, hence runs nothing new for blindTime. A lease alone does
// not make this safe: an owner that is paused between its last look at the lease and the send wakes up after the takeover and sends. The blind time covers
// that too, as long as no caller repeats a key for longer.

#include "once/key_ranges.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail {

key_ranges::key_ranges(request_issuer self, key_range_options options)
    : m_self(std::move(self))
    , m_options(options)
    , m_ranges(options.ranges)
{
}

void key_ranges::onOwner(time_point now, std::size_t range, std::optional<request_issuer> owner, bool wasOwnedBefore)
{
    range_state &state = m_ranges[range];
    const bool isTakenOver = owner == m_self && state.owner != m_self && wasOwnedBefore;
    const bool isNewlyFree = !owner && (state.owner || !state.isKnown);
    if (isNewlyFree) {
        const std::uint64_t rank = rendezvousRank(std::to_string(range), m_self.node.view());
        state.tryAt = now + duration(static_cast<std::int64_t>(rank % static_cast<std::uint64_t>(m_options.takeSpread.count())));
    }
    state.isKnown = true;
    state.owner = std::move(owner);
    if (isTakenOver) {
        state.blindUntil = now + m_options.blindTime;
    }
}

void key_ranges::resolve(time_point now, std::uint64_t request, const std::string &key, actions &out)
{
    const range_state &state = m_ranges[stableHash(key) % m_ranges.size()];
    if (!state.owner) {
        out.push_back(resolved_key{ request, key_standing::Unresolved, {} });
    } else if (*state.owner != m_self) {
        out.push_back(resolved_key{ request, key_standing::Foreign, *state.owner });
    } else {
        const bool isHeld = now + m_options.leaseMargin < m_leaseUntil && now >= state.blindUntil;
        out.push_back(resolved_key{ request, isHeld ? key_standing::Own : key_standing::Unresolved, m_self });
    }
}

void key_ranges::onTimer(time_point now, actions &out)
{
    if (now + m_options.leaseMargin >= m_leaseUntil) {
        return;
    }
    for (std::size_t range = 0; range < m_ranges.size(); ++range) {
        range_state &state = m_ranges[range];
        if (state.isKnown && !state.owner && state.tryAt <= now) {
            state.tryAt = now + m_options.retryDelay;
            out.push_back(take_range{ range, m_self });
        }
    }
}

time_point key_ranges::nextDeadline() const
{
    time_point next = timeNever;
    for (const range_state &state : m_ranges) {
        next = state.owner ? next : std::min(next, state.tryAt);
    }
    return next;
}

} // namespace reedtrail
