/**
 * @file
 * Keeps requests that crash backend servers away from them, together with the other nodes.
 *
 * A request under which no server is known to have ended costs a look-up and nothing else: no message, no hash of its body. When a server ends under a request,
 * its two keepers are told, which rendezvous hashing finds from the list of nodes. A keeper tells all nodes once two servers have ended, and of a first end now
 * and then; from then on each node asks before it sends that request again (fleet/crash_keeper.h). What all nodes have to know is also written to the store,
 * for nodes that start later, and two nodes that ping each other compare it, so that a node that was not told learns of it from any other one.
 *
 *     crash_client<Peers, Loop> crashes(peers, loop, "node-1", actions);
 *     if (crashes.mayBeSuspect(outline) && crashes.isSuspect(identity)) {
 *         crashes.admit(identity, asker, [](const crash_grant &grant) { if (grant.isGranted) { ... send ... } else { ... refuse ... } });
 *     }
 *     crashes.recordEnd(identity, server, startedAt);
 */
#pragma once

#include "base/hash.h"
#include "fleet/crash_keeper.h"
#include "fleet/event_loop.h"
#include "fleet/peer_ask.h"
#include "fleet/store_router.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace reedtrail {

/** Sends messages to other nodes. The handler runs exactly once, never from inside the call. */
template<class Peers>
concept crash_peers = requires(Peers peers, const std::string &node, crash_message message, std::function<void(peer_ask_end, const crash_reply &)> onEnd)
{
    peers.send(node, message, onEnd);
};

/** Times of a crash_client. */
struct crash_client_options
{
    crash_keeper_options keeper;
    crash_table_options table;
    duration shareInterval = std::chrono::milliseconds(50); ///< Between two messages of this node to all nodes.
    duration firstEndInterval = std::chrono::seconds(1); ///< Between two requests of which a keeper tells all nodes after one end only.
    duration maxGrantAge = std::chrono::milliseconds(500); ///< A grant that arrives later is void.
    duration maxDenialAge = std::chrono::seconds(2); ///< For how long a node refuses by itself what a keeper has denied for longer.
    duration endMemory = std::chrono::seconds(5); ///< For how long a server that ended speaks for a loss of many servers.
    duration retryWithoutKeeper = std::chrono::seconds(1); ///< When a caller may come back if no keeper answers.
};

/** What a crash_client has done for it. */
struct crash_client_actions
{
    std::function<void(const crash_record &record)> persist; ///< Merges a record into what the store has under its digest.
    std::function<void(std::uint64_t digest)> forget; ///< Removes a record from the store.
    std::function<void(const crash_record &record)> onChange; ///< Receives each row of this node that has changed, for the log.
};

/** Suspect requests, as one node knows them and treats them. */
template<crash_peers Peers, event_loop Loop>
class crash_client : public std::enable_shared_from_this<crash_client<Peers, Loop>>
{
public:
    using handler = std::function<void(const crash_grant &)>;

    crash_client(Peers &peers, Loop &loop, std::string ownNode, crash_client_actions actions, crash_client_options options = {})
        : m_options(options)
        , m_peers(peers)
        , m_loop(loop)
        , m_ownNode(std::move(ownNode))
        , m_actions(std::move(actions))
        , m_table(options.table)
        , m_keeper(options.keeper)
        , m_zoneOf{ { m_ownNode, "" } }
    {
    }

    /** Replaces the list of all nodes, by name, this node included. */
    void setNodes(const std::map<std::string, store_peer> &nodes)
    {
        m_zoneOf.clear();
        for (const auto &[name, node] : nodes) {
            m_zoneOf.emplace(name, node.zone);
        }
    }
    /** Stops deciding on this node, which ends. */
    void stopKeeping()
    {
        m_hasStoppedKeeping = true;
    }

    /** Tells whether a request with this outline may be suspect; if so, its identity tells. */
    bool mayBeSuspect(const request_outline &outline) const
    {
        return m_table.mayContain(outline);
    }
    /** Tells whether servers are known to have ended under a request. */
    bool isSuspect(const request_identity &identity) const
    {
        return m_table.find(identity) != nullptr;
    }
    /**
     * Asks whether a suspect request may be sent to a server now. The grant holds for one attempt that reaches a server.
     * @param asker identifies the caller's request
     * @param onEnd called once, never from inside this call
     */
    void admit(const request_identity &identity, const std::string &asker, handler onEnd)
    {
        m_table.touch(m_loop.now(), identity.digest);
        if (const auto denial = m_denials.find(identity.digest); denial != m_denials.end()) {
            const duration age = m_loop.now() - denial->second.at;
            if (age <= m_options.maxDenialAge) {
                end(onEnd, { false, (denial->second.returnAfter - age).count() });
                return;
            }
            m_denials.erase(denial);
        }
        ask(std::make_shared<pending_ask>(pending_ask{ identity.digest, asker, std::move(onEnd), m_loop.now(), keepersOf(identity.digest), 0 }));
    }
    /** Records that a server ended while it ran a request. */
    void recordEnd(const request_identity &identity, std::string_view server, std::int64_t startedAt)
    {
        noteEnded(server, startedAt);
        if (m_table.recordEnd(m_loop.now(), identity, instanceHash(server, startedAt))) {
            onNews(identity.digest);
            tellKeepers(identity.digest);
        }
    }
    /**
     * Takes back an end that was recorded as its server had stopped answering: the instance has answered another request since. The request is cleared once
     * nothing else speaks against it. Of other ends the answer says nothing, as the instance may never have received the request.
     */
    void disproveEnd(const request_identity &identity, std::string_view server, std::int64_t startedAt)
    {
        const crash_table::row *request = m_table.find(identity);
        if (request == nullptr) {
            m_disprovedEnds.erase(identity.digest);
            return;
        }
        std::set<std::uint64_t> &disproved = m_disprovedEnds[identity.digest];
        disproved.insert(instanceHash(server, startedAt));
        if (std::ranges::includes(disproved, request->ends)) {
            m_disprovedEnds.erase(identity.digest);
            recordSurvival(identity);
        }
    }
    /** Records that a server was found to have ended, under whichever request. */
    void noteEnded(std::string_view server, std::int64_t startedAt)
    {
        noteInstance(instanceHash(server, startedAt));
    }
    /** Records that an attempt that was granted has ended, or will not be made, and that no server has ended under it. */
    void release(const request_identity &identity, const std::string &asker)
    {
        const crash_ask question{ identity.digest, asker, false, true, 0 };
        for (const std::string &keeper : keepersOf(identity.digest)) {
            if (keeper == m_ownNode) {
                m_keeper.release(identity.digest, asker);
                continue;
            }
            crash_message message;
            message.asks.push_back(question);
            m_peers.send(keeper, message, [](peer_ask_end, const crash_reply &) {});
        }
    }
    /** Records that a server survived a request. */
    void recordSurvival(const request_identity &identity)
    {
        if (m_table.recordSurvival(m_loop.now(), identity)) {
            onNews(identity.digest);
            tellKeepers(identity.digest);
        }
    }

    /** Handles a message of another node. */
    crash_reply serve(const crash_message &message)
    {
        const time_point now = m_loop.now();
        for (const crash_record &each : message.records) {
            if (!m_table.merge(now, each)) {
                continue;
            }
            noteEndsToldOf(each);
            onNews(each.digest);
            if (message.isForZone) {
                m_zoneNews.insert(each.digest);
            }
        }
        if (!m_zoneNews.empty()) {
            scheduleShare();
        }
        crash_reply reply;
        for (const crash_ask &each : message.asks) {
            reply.grants.push_back(grantFor(each));
        }
        if (message.wantsRecords) {
            reply.records = m_table.sharedRecords(now);
        } else {
            for (const crash_ask &each : message.asks) {
                reply.records.push_back(m_table.recordOf(now, each.digest));
            }
        }
        return reply;
    }
    /** Handles a record that stands in the store. */
    void mergeStored(const crash_record &record)
    {
        if (m_table.merge(m_loop.now(), record)) {
            m_keeper.onAttemptEnded(m_loop.now(), record.digest);
            m_denials.erase(record.digest);
            m_actions.onChange(m_table.recordOf(m_loop.now(), record.digest));
        }
    }
    /** Returns a hash of what all nodes have to know; 0 if there is nothing. */
    std::uint64_t stateHash() const
    {
        return m_table.stateHash();
    }
    /** Exchanges what all nodes have to know with a node whose hash of it differs. */
    void exchangeWith(const std::string &node)
    {
        crash_message message;
        message.records = m_table.sharedRecords(m_loop.now());
        message.wantsRecords = true;
        m_peers.send(node, message, [weak = this->weak_from_this()](peer_ask_end, const crash_reply &reply) {
            if (const auto self = weak.lock()) {
                self->mergeReply(reply);
            }
        });
    }
    /** Forgets what has not been seen for long. The first keeper, whom all nodes ask, also removes it from the store. */
    void expire()
    {
        std::erase_if(m_denials, [&](const auto &each) {
            return m_loop.now() - each.second.at > m_options.maxDenialAge;
        });
        for (const std::uint64_t digest : m_table.expire(m_loop.now())) {
            m_disprovedEnds.erase(digest);
            if (keepersOf(digest).front() == m_ownNode) {
                m_actions.forget(digest);
            }
        }
    }
    const crash_table &table() const
    {
        return m_table;
    }
    /** Returns the nodes that decide on a request, the first one first; the second one in another zone if there is one. */
    std::vector<std::string> keepersOf(std::uint64_t digest) const
    {
        const std::string key = std::to_string(digest);
        const auto best = [&](auto isCandidate) {
            const std::string *found = nullptr;
            for (const auto &[name, zone] : m_zoneOf) {
                if (isCandidate(name, zone) && (found == nullptr || rendezvousRank(key, name) > rendezvousRank(key, *found))) {
                    found = &name;
                }
            }
            return found;
        };
        const std::string *first = best([](const std::string &, const std::string &) {
            return true;
        });
        if (first == nullptr) {
            return { m_ownNode };
        }
        const std::string &firstZone = m_zoneOf.find(*first)->second;
        const std::string *second = best([&](const std::string &, const std::string &zone) {
            return zone != firstZone;
        });
        second = second != nullptr ? second : best([&](const std::string &name, const std::string &) {
            return name != *first;
        });
        return second == nullptr ? std::vector{ *first } : std::vector{ *first, *second };
    }

private:
    struct pending_ask
    {
        std::uint64_t digest = 0;
        std::string asker;
        handler onEnd;
        time_point askedAt;
        std::vector<std::string> keepers;
        std::size_t next = 0; ///< Index of the keeper that is asked next.
    };

    /** A keeper's answer. */
    struct denial
    {
        time_point at;
        duration returnAfter{};
    };

    static std::uint64_t instanceHash(std::string_view server, std::int64_t startedAt)
    {
        return stableHash(std::string(server) + "@" + std::to_string(startedAt));
    }

    void noteInstance(std::uint64_t instance)
    {
        const time_point now = m_loop.now();
        std::erase_if(m_recentEnds, [&](const auto &each) {
            return now - each.second > m_options.endMemory;
        });
        if (m_recentEnds.size() < maxRecentEnds) {
            m_recentEnds.emplace(instance, now);
        }
    }

    /** Returns how many servers have lately ended without the request, as far as this node has seen or heard. */
    std::uint32_t endsElsewhere(std::uint64_t digest) const
    {
        const crash_table::row *request = m_table.find(digest);
        return static_cast<std::uint32_t>(std::ranges::count_if(m_recentEnds, [&](const auto &each) {
            const bool isRecent = m_loop.now() - each.second <= m_options.endMemory;
            return isRecent && (request == nullptr || !request->ends.contains(each.first));
        }));
    }

    bool isKeeper(std::uint64_t digest) const
    {
        return std::ranges::count(keepersOf(digest), m_ownNode) > 0;
    }

    /** Asks the next keeper. Without any, a request that is not known to crash servers is sent; what others know of it can't be found out. */
    void ask(const std::shared_ptr<pending_ask> &pending)
    {
        if (pending->next >= pending->keepers.size()) {
            const crash_table::row *request = m_table.find(pending->digest);
            const bool isCrashing = request != nullptr && request->isCrashing();
            end(pending->onEnd, { !isCrashing, isCrashing ? m_options.retryWithoutKeeper.count() : 0 });
            return;
        }
        const bool isSecond = pending->next > 0;
        const std::string keeper = pending->keepers[pending->next++];
        const crash_ask question{ pending->digest, pending->asker, isSecond, false, endsElsewhere(pending->digest) };
        if (keeper == m_ownNode) {
            m_hasStoppedKeeping ? ask(pending) : end(pending->onEnd, grantFor(question));
            return;
        }
        crash_message message;
        message.records.push_back(m_table.recordOf(m_loop.now(), pending->digest));
        message.asks.push_back(question);
        m_peers.send(keeper, message, [weak = this->weak_from_this(), pending](peer_ask_end result, const crash_reply &reply) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (result != peer_ask_end::Answered || reply.grants.size() != 1) {
                self->ask(pending);
                return;
            }
            self->mergeReply(reply);
            crash_grant grant = reply.grants.front();
            grant.isGranted = grant.isGranted && self->m_loop.now() - pending->askedAt <= self->m_options.maxGrantAge;
            if (!grant.isGranted && duration(grant.returnAfterUs) > self->m_options.maxDenialAge) {
                self->m_denials[pending->digest] = { self->m_loop.now(), duration(grant.returnAfterUs) };
            }
            self->end(pending->onEnd, grant);
        });
    }

    void end(const handler &onEnd, const crash_grant &grant)
    {
        m_loop.after(duration::zero(), [onEnd, grant] {
            onEnd(grant);
        });
    }

    /** Decides as a keeper. A retry that is granted is made known to all before it can be granted again elsewhere. */
    crash_grant grantFor(const crash_ask &question)
    {
        if (question.isRelease) {
            m_keeper.release(question.digest, question.asker);
            return {};
        }
        const auto stateOf = [this, &question] {
            const crash_record record = m_table.recordOf(m_loop.now(), question.digest);
            return std::pair(record.ends, record.retries);
        };
        const auto before = stateOf();
        crash_ask informed = question;
        informed.endsElsewhere = std::max(question.endsElsewhere, endsElsewhere(question.digest));
        const crash_grant grant = m_keeper.serve(m_loop.now(), m_table, informed);
        if (stateOf() != before) {
            share(question.digest);
        }
        return grant;
    }

    void mergeReply(const crash_reply &reply)
    {
        for (const crash_record &each : reply.records) {
            if (m_table.merge(m_loop.now(), each)) {
                noteEndsToldOf(each);
                onNews(each.digest);
            }
        }
    }

    /** Notes the servers of which another node has told that they ended lately: they speak for a loss of many servers. */
    void noteEndsToldOf(const crash_record &record)
    {
        if (duration(record.ageUs) > m_options.endMemory) {
            return;
        }
        for (const std::uint64_t instance : record.ends) {
            noteInstance(instance);
        }
    }

    /** Handles a row that has changed; keepers make it known. */
    void onNews(std::uint64_t digest)
    {
        m_keeper.onAttemptEnded(m_loop.now(), digest);
        m_denials.erase(digest);
        m_actions.onChange(m_table.recordOf(m_loop.now(), digest));
        if (!isKeeper(digest)) {
            return;
        }
        const crash_table::row *request = m_table.find(digest);
        const bool isFirstEnd = request != nullptr && !request->isShared;
        if (isFirstEnd && m_loop.now() - m_lastFirstEndAt >= m_options.firstEndInterval) {
            m_lastFirstEndAt = m_loop.now();
            share(digest);
        } else if (m_table.recordOf(m_loop.now(), digest).isShared) {
            share(digest);
        }
    }

    /** Tells the keepers of a request what this node knows of it. */
    void tellKeepers(std::uint64_t digest)
    {
        crash_message message;
        message.records.push_back(m_table.recordOf(m_loop.now(), digest));
        for (const std::string &keeper : keepersOf(digest)) {
            if (keeper != m_ownNode) {
                m_peers.send(keeper, message, [](peer_ask_end, const crash_reply &) {});
            }
        }
    }

    /** Makes a row known to all nodes, also to those that start later. */
    void share(std::uint64_t digest)
    {
        m_news.insert(digest);
        const crash_record record = m_table.recordOf(m_loop.now(), digest);
        if (record.isShared) {
            m_actions.persist(record);
        }
        scheduleShare();
    }

    void scheduleShare()
    {
        if (std::exchange(m_isShareScheduled, true)) {
            return;
        }
        const duration pause = std::max(duration::zero(), m_lastShareAt + m_options.shareInterval - m_loop.now());
        m_loop.after(pause, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_isShareScheduled = false;
                self->m_lastShareAt = self->m_loop.now();
                self->shareNow();
            }
        });
    }

    /** Sends news to one node of each other zone, which passes it on, and to all nodes of the own zone. */
    void shareNow()
    {
        const std::set<std::uint64_t> news = std::exchange(m_news, {});
        std::set<std::uint64_t> zoneNews = std::exchange(m_zoneNews, {});
        zoneNews.insert(news.begin(), news.end());
        std::map<std::string, std::vector<std::string>> others;
        const std::string ownZone = m_zoneOf.contains(m_ownNode) ? m_zoneOf.find(m_ownNode)->second : "";
        const crash_message forZone = messageOf(zoneNews, false);
        for (const auto &[name, zone] : m_zoneOf) {
            if (zone != ownZone) {
                others[zone].push_back(name);
            } else if (name != m_ownNode) {
                m_peers.send(name, forZone, [](peer_ask_end, const crash_reply &) {});
            }
        }
        if (news.empty()) {
            return;
        }
        for (auto &[zone, names] : others) {
            std::ranges::sort(names, std::greater{}, [this](const std::string &name) {
                return rendezvousRank(m_ownNode, name);
            });
            sendToZone(std::make_shared<std::vector<std::string>>(std::move(names)), 0, std::make_shared<crash_message>(messageOf(news, true)));
        }
    }

    crash_message messageOf(const std::set<std::uint64_t> &digests, bool isForZone) const
    {
        crash_message message;
        message.isForZone = isForZone;
        for (const std::uint64_t digest : digests) {
            message.records.push_back(m_table.recordOf(m_loop.now(), digest));
        }
        return message;
    }

    /** Sends to the first node of a zone that answers. */
    void sendToZone(const std::shared_ptr<std::vector<std::string>> &names, std::size_t next, const std::shared_ptr<crash_message> &message)
    {
        if (next >= std::min(names->size(), relaysPerZone)) {
            return;
        }
        m_peers.send((*names)[next], *message, [weak = this->weak_from_this(), names, next, message](peer_ask_end result, const crash_reply &) {
            const auto self = weak.lock();
            if (self && result != peer_ask_end::Answered) {
                self->sendToZone(names, next + 1, message);
            }
        });
    }

    static constexpr std::size_t maxRecentEnds = 64;
    static constexpr std::size_t relaysPerZone = 4; ///< Nodes of a zone that are tried; if none answers, its nodes learn by their pings.

    crash_client_options m_options;
    Peers &m_peers;
    Loop &m_loop;
    std::string m_ownNode;
    crash_client_actions m_actions;
    crash_table m_table;
    crash_keeper m_keeper;
    std::map<std::string, std::string, std::less<>> m_zoneOf; ///< Zones of all nodes, by name.
    std::set<std::uint64_t> m_news; ///< Digests of rows that all nodes are to be told.
    std::set<std::uint64_t> m_zoneNews; ///< Those that only the nodes of this zone are to be told.
    std::map<std::uint64_t, denial> m_denials; ///< By digest; those that hold for a while.
    std::map<std::uint64_t, std::set<std::uint64_t>> m_disprovedEnds; ///< By digest; hashes of instances, as crash_table::row::ends.
    std::map<std::uint64_t, time_point> m_recentEnds; ///< Servers that have lately ended, as this node has seen or heard, by the hash of the instance.
    bool m_isShareScheduled = false;
    bool m_hasStoppedKeeping = false;
    time_point m_lastShareAt;
    time_point m_lastFirstEndAt = time_point(-std::chrono::hours(1));
};

} // namespace reedtrail
