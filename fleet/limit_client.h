/**
 * @file
 * Asks for places at backend servers that have named a limit, before this node sends them anything.
 *
 * Load pattern: bursts of items and score calls, and interactive requests beside them, all for a few servers in need. Questions to one keeper that arise while
 * another one is under way go together in the next message, so that a burst costs a few messages.
 *
 * A request to a server without a limit is admitted at once. A keeper that does not answer is passed over for a while, and the second one is asked. If neither
 * answers, nothing is sent: this node can't know what others send.
 *
 *     limit_client<Peers, Loop> limits(peers, loop, "node-1");
 *     limits.admit({ server, startedAt, zone }, { .isUrgent = true, .maxWait = 100ms }, [](const limit_grant &grant) { if (grant.isGranted) { ... send ... }
 * });
 */
#pragma once

#include "fleet/event_loop.h"
#include "fleet/limit_keeper.h"
#include "fleet/peer_ask.h"
#include "fleet/server_limits.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace reedtrail {

/** How the question to a keeper ended. */
using limit_ask_end = peer_ask_end;

/** Sends questions to other nodes. The handler runs exactly once, never from inside the call. */
template<class Peers>
concept limit_peers = requires(Peers peers, const std::string &node, limit_asks question, std::function<void(limit_ask_end, const limit_replies &)> onEnd)
{
    peers.ask(node, question, onEnd);
    {
        peers.nodeListAge()
        } -> std::convertible_to<duration>;
};

/** Limits and times of a limit_client. */
struct limit_client_options
{
    duration keeperPause = std::chrono::seconds(1); ///< A keeper that did not answer is not asked for this long.
    duration maxPermitDelay = std::chrono::milliseconds(500); ///< A granted place that could not be used this long after its time is void.
    duration retryWithoutKeeper = std::chrono::milliseconds(500); ///< When to try again after no keeper has answered.
};

/** The server that a request is about to be sent to. */
struct limited_target
{
    std::string server;
    std::int64_t startedAt = 0; ///< Identifies the instance, as server_entry::startedAt.
    std::string zone;
};

/** Admits requests of one node to servers with limits. */
template<limit_peers Peers, event_loop Loop>
class limit_client : public std::enable_shared_from_this<limit_client<Peers, Loop>>
{
public:
    using handler = std::function<void(const limit_grant &)>;

    limit_client(Peers &peers, Loop &loop, std::string ownNode, limit_client_options options = {})
        : m_options(options)
        , m_peers(peers)
        , m_loop(loop)
        , m_ownNode(ownNode)
        , m_keeper(std::move(ownNode))
    {
    }

    server_limits &limits()
    {
        return m_limits;
    }
    /** Replaces the list of all nodes, as limit_keeper::setNodes(). */
    void setNodes(const std::map<std::string, store_peer> &nodes, bool wasRegistered)
    {
        m_keeper.setNodes(m_loop.now(), nodes, wasRegistered);
    }

    /**
     * Admits a request or turns it away.
     * @param onEnd called once: from inside this call if the server has no limit, otherwise later, at the time of the granted place
     */
    void admit(const limited_target &target, const limit_demand &demand, handler onEnd)
    {
        const auto limit = m_limits.find(target.server, target.startedAt);
        if (!limit) {
            onEnd({ true, {}, {} });
            return;
        }
        ask(std::make_shared<pending_ask>(pending_ask{ target, demand, std::move(onEnd), false, m_loop.now() }));
    }
    /** Stops handing out places, so that the second keepers may hand out all of them. */
    void stopKeeping()
    {
        m_hasStoppedKeeping = true;
    }
    /** Counts a request that is sent in any case. */
    void charge(const limited_target &target)
    {
        if (m_limits.find(target.server, target.startedAt)) {
            ask(std::make_shared<pending_ask>(pending_ask{ target, {}, [](const limit_grant &) {}, true, m_loop.now() }));
        }
    }
    /** Answers questions of another node. @param zoneOf returns the zone of a server by id, or an empty string */
    template<class ZoneOf>
    limit_replies serve(const limit_asks &question, ZoneOf zoneOf)
    {
        limit_replies answer;
        for (const limit_ask &each : question.asks) {
            answer.replies.push_back(m_keeper.serve(m_loop.now(), zoneOf(each.server), m_peers.nodeListAge(), each));
        }
        return answer;
    }

private:
    struct pending_ask
    {
        limited_target target;
        limit_demand demand;
        handler onEnd;
        bool isCharge = false;
        time_point askedAt;
        bool isPrimaryGone = false;
    };
    using pending_asks = std::vector<std::shared_ptr<pending_ask>>;
    /** Questions to one other node. */
    struct keeper_line
    {
        pending_asks waiting;
        bool isAsking = false;
        time_point pausedUntil;
        limit_ask_end lastEnd = limit_ask_end::Answered;
    };

    /** Sends a question to the first keeper, or to the second one while the first is passed over. */
    void ask(const std::shared_ptr<pending_ask> &pending)
    {
        const std::vector<std::string> &keepers = m_keeper.keepersOf(pending->target.server, pending->target.zone);
        pending->isPrimaryGone = false;
        pending->askedAt = m_loop.now();
        for (const std::string &keeper : keepers) {
            if (keeper == m_ownNode) {
                if (!m_hasStoppedKeeping) {
                    serveSelf(*pending);
                    return;
                }
                pending->isPrimaryGone = true;
                continue;
            }
            keeper_line &line = m_lines[keeper];
            if (line.pausedUntil <= m_loop.now()) {
                line.waiting.push_back(pending);
                sendWaiting(keeper);
                return;
            }
            pending->isPrimaryGone = line.lastEnd == limit_ask_end::Gone;
        }
        end(*pending, { false, m_options.retryWithoutKeeper, m_options.retryWithoutKeeper });
    }

    limit_ask encode(const pending_ask &pending) const
    {
        const time_point now = m_loop.now();
        limit_ask message;
        message.server = pending.target.server;
        message.startedAt = pending.target.startedAt;
        if (const auto limit = m_limits.find(pending.target.server, pending.target.startedAt)) {
            message.rate = limit->rate;
            message.sentAgeUs = (now - limit->sentAt).count();
            message.receivedAgeUs = (now - limit->receivedAt).count();
        }
        message.isUrgent = pending.demand.isUrgent;
        message.isCharge = pending.isCharge;
        message.isPrimaryGone = pending.isPrimaryGone;
        message.maxWaitUs = pending.demand.maxWait.count();
        return message;
    }

    void serveSelf(const pending_ask &pending)
    {
        take(pending, m_keeper.serve(m_loop.now(), pending.target.zone, m_peers.nodeListAge(), encode(pending)));
    }

    void sendWaiting(const std::string &keeper)
    {
        keeper_line &line = m_lines[keeper];
        if (line.isAsking || line.waiting.empty()) {
            return;
        }
        line.isAsking = true;
        const pending_asks sent = std::exchange(line.waiting, {});
        limit_asks question;
        for (const auto &each : sent) {
            question.asks.push_back(encode(*each));
        }
        m_peers.ask(keeper, question, [weak = this->weak_from_this(), keeper, sent](limit_ask_end result, const limit_replies &answer) {
            if (const auto self = weak.lock()) {
                self->onAnswer(keeper, sent, answer.replies.size() == sent.size() ? result : limit_ask_end::Silent, answer);
            }
        });
    }

    void onAnswer(const std::string &keeper, const pending_asks &sent, limit_ask_end result, const limit_replies &answer)
    {
        keeper_line &line = m_lines[keeper];
        line.isAsking = false;
        line.lastEnd = result;
        if (result == limit_ask_end::Answered) {
            for (std::size_t i = 0; i < sent.size(); ++i) {
                take(*sent[i], answer.replies[i]);
            }
            sendWaiting(keeper);
            return;
        }
        line.pausedUntil = m_loop.now() + m_options.keeperPause;
        pending_asks again = sent;
        const pending_asks waiting = std::exchange(line.waiting, {});
        again.insert(again.end(), waiting.begin(), waiting.end());
        for (const auto &each : again) {
            ask(each);
        }
    }

    /** Handles the answer of a keeper, which may know a newer limit. A place granted long ago is void. */
    void take(const pending_ask &pending, limit_reply reply)
    {
        const time_point now = m_loop.now();
        reply.isGranted = reply.isGranted && now - pending.askedAt <= m_options.maxPermitDelay;
        if (reply.rate > 0) {
            m_limits.record(
                pending.target.server, pending.target.startedAt, { reply.rate, now - duration(reply.sentAgeUs), now - duration(reply.receivedAgeUs) });
        }
        end(pending, reply.grant());
    }

    /** Tells the asker, at the time of its place, never from inside its own call. */
    void end(const pending_ask &pending, const limit_grant &grant)
    {
        const time_point due = m_loop.now() + (grant.isGranted ? grant.wait : duration::zero());
        m_loop.after(due - m_loop.now(), [weak = this->weak_from_this(), onEnd = pending.onEnd, grant, due] {
            if (const auto self = weak.lock()) {
                const bool isVoid = grant.isGranted && self->m_loop.now() > due + self->m_options.maxPermitDelay;
                onEnd(isVoid ? limit_grant{ false, {}, {} } : grant);
            }
        });
    }

    limit_client_options m_options;
    Peers &m_peers;
    Loop &m_loop;
    std::string m_ownNode;
    server_limits m_limits;
    limit_keeper m_keeper;
    bool m_hasStoppedKeeping = false;
    std::map<std::string, keeper_line> m_lines; ///< By name of the node asked.
};

} // namespace reedtrail
