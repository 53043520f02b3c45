/**
 * @file
 * Lets many followers of one prefix share one long poll of the store. Makes no I/O calls.
 *
 * Load pattern: every node follows the same few prefixes, and the store charges for each poll. With one hub in each availability zone, the number
 * of polls does not grow with the number of nodes. A follower asks for the changes after a revision. The hub answers from its latest replies, or when the poll
 * in flight ends.
 *
 *     const hub_decision decision = hub.ask(prefix, after, generation);
 *     // decision.action is
 *     // Reply: answer with *decision.reply;
 *     // StartPoll: poll the store after that revision, and call pollSucceeded() or pollFailed() when the poll ends;
 *     // Wait: answer when the poll in flight ends.
 */
#pragma once

#include "base/time.h"
#include "fleet/store_types.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace reedtrail {

/** How to answer a follower. */
struct hub_decision
{
    enum class kind : std::uint8_t {
        Reply, ///< There are changes; reply holds them.
        StartPoll, ///< No poll is in flight; the caller must start one from the follower's revision.
        Wait, ///< A poll in flight will bring the changes.
        Resync, ///< A poll has failed since the follower's last answer, so it may have missed changes and must read all keys again.
        TooOld, ///< The hub does not have all changes after that revision; the follower must poll the store itself.
    };
    kind action = kind::Wait;
    const std::string *reply = nullptr; ///< The stored reply, set for Reply; valid until the next call of the hub.
    bool hasMore = false; ///< Whether a later reply is stored already, so that the follower should ask again at once.
};

/** Stores the latest replies of each prefix, and decides when to poll. */
class watch_hub
{
public:
    static constexpr std::size_t maxReplies = 16; ///< For each prefix. Followers pause a second or two between requests, in which few replies arrive.

    /** @param firstGeneration differs from the generations of other hubs and of earlier processes; not 0 */
    explicit watch_hub(std::uint64_t firstGeneration)
        : m_firstGeneration(firstGeneration)
    {
    }

    /**
     * Decides how to answer a follower.
     * @param after the revision up to which the follower knows all changes
     * @param generation the result of generation() at the follower's last answer; 0 if it has read all keys since
     */
    hub_decision ask(std::string_view prefix, store_revision after, std::uint64_t generation);
    /** Returns a number that changes whenever a poll of the prefix fails; send it with each answer to a follower. */
    std::uint64_t generation(std::string_view prefix) const;
    /** Stores the result of the poll in flight: @p body holds all changes after the revision of the poll, up to @p reached. */
    void pollSucceeded(std::string_view prefix, store_revision reached, bool hasEvents, std::string body);
    /** Records that the poll in flight has failed. */
    void pollFailed(std::string_view prefix);

private:
    /** The reply to one poll; it holds the changes after one revision up to another. */
    struct reply_row
    {
        store_revision after = 0;
        store_revision reached = 0;
        std::string body;
    };
    struct prefix_row
    {
        std::optional<store_revision> pollStart; ///< The revision after which the poll in flight asks; empty while there is none.
        std::deque<reply_row> replies; ///< Oldest first.
        std::uint64_t failures = 0; ///< Number of failed polls. After each the store may have compacted changes that some followers do not know.
    };
    std::uint64_t m_firstGeneration;
    std::map<std::string, prefix_row, std::less<>> m_prefixes;
};

} // namespace reedtrail
