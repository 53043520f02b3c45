/**
 * @file
 * Lets many followers of one prefix share one watch of the store. Pure core.
 *
 * Load pattern: every node follows the same few prefixes, and the store bills each of their polls; with one hub in each availability zone the polls of the
 * store do not grow with the nodes. A follower asks for what came after a revision; the hub answers from the last replies, or when the poll under way ends.
 *
 *     const hub_decision decision = hub.ask(now, prefix, after);
 *     // decision.reply: answer with it. decision.startsPoll: poll the store after decision.pollAfter. Else wait for ended().
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

/** What a follower's question leads to. */
struct hub_decision
{
    enum class kind : std::uint8_t {
        Reply, ///< There is something new: reply holds it.
        StartPoll, ///< Nobody polls: the asker's question becomes the poll.
        Wait, ///< A poll is under way that will tell.
        Resync, ///< The poll that would have told has failed since: the follower must read everything again.
        TooOld, ///< The hub no longer has what came after that revision; the follower must ask the store itself.
    };
    kind action = kind::Wait;
    const std::string *reply = nullptr; ///< Valid until the next call.
    bool hasMore = false; ///< Whether a later reply is there already, for which the follower should ask at once.
};

/** The hub. */
class watch_hub
{
public:
    static constexpr std::size_t maxReplies = 16; ///< For each prefix: followers pause a second or two between questions, in which few replies come.

    /** @param firstGeneration tells this hub from others and from those before it; not 0 */
    explicit watch_hub(std::uint64_t firstGeneration)
        : m_firstGeneration(firstGeneration)
    {
    }

    /** Takes a follower's question. @param generation what generation() was at the follower's last answer; 0 if it has read everything since */
    hub_decision ask(std::string_view prefix, store_revision after, std::uint64_t generation);
    /** Returns a number that changes when a poll of the prefix fails; it goes with each answer. */
    std::uint64_t generation(std::string_view prefix) const;
    /** The poll under way has brought @p body, which holds all changes from the revision it asked for up to @p reached. */
    void pollSucceeded(std::string_view prefix, store_revision reached, bool hasEvents, std::string body);
    /** The poll under way has failed. */
    void pollFailed(std::string_view prefix);

private:
    struct reply_row
    {
        store_revision after = 0;
        store_revision reached = 0;
        std::string body;
    };
    struct prefix_row
    {
        std::optional<store_revision> pollStart; ///< Of the poll under way.
        std::deque<reply_row> replies;
        std::uint64_t failures = 0; ///< Of polls; after each the store may have forgotten what some followers do not know yet.
    };
    std::uint64_t m_firstGeneration;
    std::map<std::string, prefix_row, std::less<>> m_prefixes;
};

} // namespace reedtrail
