/**
 * @file
 * Decides which node hands out the places of a backend server that has named a limit, and hands them out on that node. Makes no I/O calls.
 *
 * A limit holds for all nodes together, so one node, the keeper, schedules the places of each limited server. All nodes that know the same list choose the same
 * keeper by rendezvous hashing among the nodes of the server's zone: who reaches the server mostly reaches them. Nothing is stored. If the first keeper does
 * not answer, the second is asked.
 *
 * Two nodes may hand out places of one server at the same time: the first one is frozen or unreachable for some nodes only, or a node with an older list asks
 * another one. A keeper that may not be the only one hands out a part of the places (doubtfulShare), so that both together stay well below what a server bears.
 * It is the only one if it has been the first for settleTime, which is longer than other nodes keep an older list, or if the first one certainly hands out
 * none.
 */
#pragma once

#include "fleet/limit_messages.h"
#include "fleet/store_router.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Limits and times of a limit_keeper. */
struct limit_keeper_options
{
    double doubtfulShare = 0.25; ///< Share of the limit that a keeper hands out that may not be the only one.
    duration settleTime = std::chrono::seconds(8); ///< Registrations of nodes are read each 4 s, from a reader whose state is 3 s old at most.
    duration restartSettleTime = std::chrono::milliseconds(1500); ///< The same for a node that was registered before its start: others ask the second keeper
                                                                  ///< for a second after the first did not answer.
    duration maxListAge = std::chrono::seconds(10); ///< A keeper whose list of nodes is older may have been replaced without knowing.
    duration memory = std::chrono::seconds(60); ///< Servers that nobody asks for are forgotten after this.
};

/** Schedules the places of limited servers on one node, and tells which nodes do so for any server. */
class limit_keeper
{
public:
    explicit limit_keeper(std::string ownNode, limit_keeper_options options = {})
        : m_options(options)
        , m_ownNode(std::move(ownNode))
        , m_zoneOf{ { m_ownNode, "" } }
    {
    }

    /**
     * Replaces the list of all nodes, by name, this node included.
     * @param wasRegistered whether this node stood in the store before its process started; of use in the first call only
     */
    void setNodes(time_point now, const std::map<std::string, store_peer> &nodes, bool wasRegistered);
    /** Returns the nodes that hand out the places of a server, the first one first; two if there are as many. */
    const std::vector<std::string> &keepersOf(std::string_view server, std::string_view zone);
    /**
     * Answers a question.
     * @param zone availability zone of the server
     * @param listAge age of the list of nodes
     */
    limit_reply serve(time_point now, std::string_view zone, duration listAge, const limit_ask &ask);

private:
    struct kept_server
    {
        std::string zone;
        std::int64_t startedAt = 0;
        dated_limit limit;
        limit_schedule places;
        bool isFirst = false; ///< Whether this node is the first keeper.
        time_point firstSince; ///< Since when, at the latest.
        time_point lastAskedAt;
    };
    kept_server &find(time_point now, std::string_view zone, const limit_ask &ask);
    bool isOnlyKeeper(time_point now, const kept_server &server, duration listAge, const limit_ask &ask) const;
    bool isFirstKeeper(std::string_view server, std::string_view zone);

    limit_keeper_options m_options;
    std::string m_ownNode;
    std::map<std::string, std::string, std::less<>> m_zoneOf; ///< Zones of all nodes, by name.
    time_point m_changedAt; ///< When the list of nodes changed last.
    bool m_hasNodes = false;
    std::map<std::pair<std::string, std::string>, std::vector<std::string>> m_keepers; ///< By server and its zone; emptied when the nodes change.
    std::map<std::string, kept_server, std::less<>> m_servers; ///< Servers whose places this node was asked for, by id.
};

} // namespace reedtrail
