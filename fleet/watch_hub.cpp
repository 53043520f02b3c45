// A reply holds all changes with revisions in (after, reached]. It therefore answers any follower whose revision lies in [after, reached), although it may
// repeat changes that the follower knows; the follower skips those by their revision.

#include "fleet/watch_hub.h"

namespace reedtrail {

hub_decision watch_hub::ask(std::string_view prefix, store_revision after, std::uint64_t generation)
{
    prefix_row &row = m_prefixes[std::string(prefix)];
    if (generation != 0 && generation != m_firstGeneration + row.failures) {
        return { hub_decision::kind::Resync, nullptr, false };
    }
    for (const reply_row &reply : row.replies) {
        if (reply.after <= after && after < reply.reached) {
            return { hub_decision::kind::Reply, &reply.body, &reply != &row.replies.back() };
        }
    }
    if (!row.pollStart) {
        row.pollStart = after;
        return { hub_decision::kind::StartPoll, nullptr, false };
    }
    return { *row.pollStart <= after ? hub_decision::kind::Wait : hub_decision::kind::TooOld, nullptr, false };
}

std::uint64_t watch_hub::generation(std::string_view prefix) const
{
    const auto found = m_prefixes.find(prefix);
    return m_firstGeneration + (found == m_prefixes.end() ? 0 : found->second.failures);
}

void watch_hub::pollSucceeded(std::string_view prefix, store_revision reached, bool hasEvents, std::string body)
{
    prefix_row &row = m_prefixes[std::string(prefix)];
    if (!row.pollStart) {
        return;
    }
    const store_revision after = *row.pollStart;
    row.pollStart.reset();
    if (!hasEvents) {
        return; // There is nothing to pass on. The next ask() starts a poll from its own revision.
    }
    row.replies.push_back({ after, reached, std::move(body) });
    if (row.replies.size() > maxReplies) {
        row.replies.pop_front();
    }
}

void watch_hub::pollFailed(std::string_view prefix)
{
    prefix_row &row = m_prefixes[std::string(prefix)];
    ++row.failures;
    row.pollStart.reset();
    // The store may have compacted changes, so old replies no longer form a complete history.
    row.replies.clear();
}

} // namespace reedtrail
