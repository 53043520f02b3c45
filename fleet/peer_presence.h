/**
 * @file
 * Which other nodes have lately left messages unanswered. Makes no I/O calls.
 *
 * A node that is lost for good stays in the list of nodes until its registration is removed, and one that is cut off or stopped stays there all the time. A
 * choice among all nodes passes over those that did not answer, for a time that doubles with each failure, so that a lost one is rarely tried.
 */
#pragma once

#include "base/time.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace reedtrail {

/** Remembers the nodes that did not answer. */
class peer_presence
{
public:
    /** @param firstPause time for which a node is passed over after its first failure; @param longestPause after many in a row */
    explicit peer_presence(duration firstPause = std::chrono::seconds(1), duration longestPause = std::chrono::seconds(24))
        : m_firstPause(firstPause)
        , m_longestPause(longestPause)
    {
    }

    void recordAnswer(const std::string &node)
    {
        m_pauses.erase(node);
    }
    /** Records that a node did not answer. Messages under way at the same time fail together and count once. */
    void recordSilence(time_point now, const std::string &node)
    {
        pause &one = m_pauses[node];
        if (now >= one.until) {
            one.length = std::clamp(one.length * 2, m_firstPause, m_longestPause);
            one.until = now + one.length;
        }
    }
    /** Tells whether a node is to be passed over. */
    bool isMissing(time_point now, std::string_view node) const
    {
        const auto found = m_pauses.find(node);
        return found != m_pauses.end() && now < found->second.until;
    }
    /** Forgets all nodes but those in @p nodes, which has them as keys. */
    template<class Nodes>
    void keepOnly(const Nodes &nodes)
    {
        std::erase_if(m_pauses, [&nodes](const auto &each) {
            return !nodes.contains(each.first);
        });
    }

private:
    struct pause
    {
        time_point until;
        duration length{};
    };
    duration m_firstPause;
    duration m_longestPause;
    std::map<std::string, pause, std::less<>> m_pauses;
};

} // namespace reedtrail
