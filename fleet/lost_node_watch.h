/**
 * @file
 * Finds registered nodes that are lost for good. Makes no I/O calls.
 *
 * Nodes register without a lease, so that calm costs no call to the store, and a lost one stays in the list, among whose nodes keepers, hosts and candidates
 * are chosen. Each node watches the one that follows it in the order of the hashes of their names, which spreads each zone: it pings it now and then, and if
 * it does not answer, the next ones, up to the first that does. So a ping for each node and round is sent while all are there, and each lost node is watched by
 * the last living one before it, however many are lost.
 *
 * A node counts as lost once it has left several rounds in a row unanswered, in each of which another node answered this one. Rounds are counted, not time: a
 * watching node that stood still has sent nothing meanwhile. A living node that is cut off from its watching node for that long counts as lost, too. It loses
 * its registration, sees that, and registers again; each time it comes back, twice as many rounds are needed.
 *
 *     watch.setNodes(names);
 *     for (auto next = watch.beginRound(); next; next = watch.nextAfterSilence()) { ... ping *next; if it answers, watch.endRound(); break; }
 *     for (const std::string &node : watch.lost()) { ... remove its registration; watch.recordRemoval(node); }
 */
#pragma once

#include "base/hash.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace reedtrail {

/** Which other nodes one node has found to be lost. */
class lost_node_watch
{
public:
    static constexpr int roundsUntilLost = 4;
    static constexpr int maxRoundsUntilLost = 64;

    explicit lost_node_watch(std::string ownNode)
        : m_ownNode(std::move(ownNode))
    {
    }

    /** Replaces the list of nodes. @param nodes has names as keys; this node may be among them */
    template<class Nodes>
    void setNodes(const Nodes &nodes)
    {
        m_nodes.clear();
        for (const auto &each : nodes) {
            if (each.first != m_ownNode) {
                m_nodes.insert(placeOf(each.first));
            }
        }
        std::erase_if(m_missedRounds, [this](const auto &each) {
            return !m_nodes.contains(placeOf(each.first));
        });
    }
    /** Begins a round. @return the node to ping first; nothing if there is no other one */
    std::optional<std::string> beginRound()
    {
        m_unansweredInRound.clear();
        m_pinged = m_ownNode;
        return advance();
    }
    /** Handles that the node pinged last did not answer. @return the node to ping next; nothing if all were pinged, and this node may be cut off itself */
    std::optional<std::string> nextAfterSilence()
    {
        m_unansweredInRound.push_back(m_pinged);
        return m_unansweredInRound.size() < m_nodes.size() ? advance() : std::nullopt;
    }
    /** Handles that the node pinged last has answered, which ends the round. */
    void endRound()
    {
        std::erase_if(m_missedRounds, [this](const auto &each) {
            return std::ranges::find(m_unansweredInRound, each.first) == m_unansweredInRound.end();
        });
        for (const std::string &node : m_unansweredInRound) {
            if (m_nodes.contains(placeOf(node))) {
                ++m_missedRounds[node];
            }
        }
    }
    /** Returns the nodes that count as lost. */
    std::vector<std::string> lost() const
    {
        std::vector<std::string> found;
        for (const auto &[node, rounds] : m_missedRounds) {
            const auto needed = m_neededRounds.find(node);
            if (rounds >= (needed == m_neededRounds.end() ? roundsUntilLost : needed->second)) {
                found.push_back(node);
            }
        }
        return found;
    }
    /** Records that a lost node's registration was removed by this node. */
    void recordRemoval(const std::string &node)
    {
        m_missedRounds.erase(node);
        if (m_neededRounds.size() >= maxRemembered && !m_neededRounds.contains(node)) {
            m_neededRounds.clear();
        }
        const auto [needed, isFirst] = m_neededRounds.try_emplace(node, roundsUntilLost);
        needed->second = std::min(needed->second * 2, maxRoundsUntilLost);
    }

private:
    static constexpr std::size_t maxRemembered = 1024; ///< Names of removed nodes.

    using place = std::pair<std::uint64_t, std::string>; ///< Hash of the name, and the name.

    static place placeOf(const std::string &node)
    {
        return { stableHash(node), node };
    }
    /** Moves on to the node that follows the one pinged last. */
    std::optional<std::string> advance()
    {
        if (m_nodes.empty()) {
            return std::nullopt;
        }
        const auto next = m_nodes.upper_bound(placeOf(m_pinged));
        m_pinged = next == m_nodes.end() ? m_nodes.begin()->second : next->second;
        return m_pinged;
    }

    std::string m_ownNode;
    std::set<place> m_nodes; ///< All others.
    std::string m_pinged; ///< The node pinged last.
    std::vector<std::string> m_unansweredInRound;
    std::map<std::string, int> m_missedRounds; ///< In a row, by node.
    std::map<std::string, int> m_neededRounds; ///< Of nodes whose registrations this node has removed before.
};

} // namespace reedtrail
