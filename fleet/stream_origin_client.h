/**
 * @file
 * Which build, version of a server's software, began a caller's stream, known at all nodes at which the caller may take the stream up again.
 *
 * What two builds write does not fit together, so a stream goes on only at the build that began it, which is entered under the id of the request that brought
 * the first event, before that event leaves the node. While a service has servers of several builds, and until it has had one for as long as another node has
 * to have observed it to infer the origin, the entry is also sent to the stream's keepers, nodes of different zones that rendezvous hashing finds from its id.
 * Nobody waits for them: an entry that does not arrive costs the caller its stream, never a stream of two builds. While a service has one build, nothing is
 * sent; the entries of its streams follow when a second one registers, or when this node is stopped.
 *
 * Failure pattern: many of the listed nodes are lost, for good or for some seconds, and each node has its own view of which. Nodes that did not answer lately
 * are no keepers. A keeper that does not answer soon is replaced by the next node; one that does not answer at all, or is gone from the list, also for the
 * entries that it was sent before. A question goes on to further nodes, as the node that sent the entry may have passed over others than this one does.
 *
 * A stream of which neither this node nor a keeper has an entry began at the only build of its service, if this node sees no other one, none that answers has
 * seen another one for as long as a stream lasts, and one of them has observed the service without a gap all the while. Otherwise its origin is unknown, and it
 * is refused. What this node sees must be read after the caller has taken the stream up: isSoleBuildStill(), after a read.
 *
 *     stream_origin_client<Peers, Loop> origins(peers, loop, "node-1", builds);
 *     origins.record("request-7", origin, keep, maximumAge);
 *     origins.find("request-7", "chat", maximumAge, [](const found_origin &found) { ... });
 */
#pragma once

#include "base/hash.h"
#include "fleet/event_loop.h"
#include "fleet/peer_ask.h"
#include "fleet/peer_presence.h"
#include "fleet/service_builds.h"
#include "fleet/store_router.h"
#include "fleet/stream_origin_table.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace reedtrail {

/** Sends messages to other nodes. The handler runs exactly once, never from inside the call. */
template<class Peers>
concept stream_origin_peers =
    requires(Peers peers, const std::string &node, stream_message message, std::function<void(peer_ask_end, const stream_reply &)> onEnd)
{
    peers.send(node, message, onEnd);
};

/** Limits of a stream_origin_client. */
struct stream_origin_options
{
    std::size_t keepers = 3; ///< Nodes that keep the origin of a stream, in as many zones as there are.
    duration replaceAfter = std::chrono::milliseconds(40); ///< An entry goes to one more node if a keeper has not answered by then.
    int questionRounds = 4; ///< In which further nodes are asked for a stream while some don't answer, twice as many in each round.
    duration observationSkew = service_builds::maxGap; ///< By which other nodes may have begun later than this one to observe the only build of a service.
    std::size_t recordsInMessage = 200; ///< Of the streams that are entered when a second build registers.
    std::size_t tableCapacity = stream_origin_table::defaultCapacity;
};

/** How the origin of a stream became known. */
enum class origin_source : std::uint8_t {
    Unknown,
    OwnTable,
    Keeper,
    SoleBuild, ///< No other build has served for longer than the stream may have lasted.
};

/** Returns the name of a source, for log lines and metrics. */
constexpr std::string_view originSourceName(origin_source source)
{
    switch (source) {
    case origin_source::OwnTable:
        return "own-table";
    case origin_source::Keeper:
        return "keeper";
    case origin_source::SoleBuild:
        return "sole-build";
    case origin_source::Unknown:
        break;
    }
    return "unknown";
}

/** The origin of a stream, if it is known. */
struct found_origin
{
    origin_source source = origin_source::Unknown;
    stream_origin origin;
    time_point connectedAt; ///< When the connection to the origin was established; only if it is not proven.
    std::string node; ///< That knew it; empty for this node.
};

/** Origins of callers' streams, as one node knows them. */
template<stream_origin_peers Peers, event_loop Loop>
class stream_origin_client : public std::enable_shared_from_this<stream_origin_client<Peers, Loop>>
{
public:
    using handler = std::function<void(const found_origin &)>;

    /** @param builds of the services, as this node reads them */
    stream_origin_client(Peers &peers, Loop &loop, std::string ownNode, const service_builds &builds, stream_origin_options options = {})
        : m_options(options)
        , m_peers(peers)
        , m_loop(loop)
        , m_ownNode(std::move(ownNode))
        , m_builds(builds)
        , m_table(options.tableCapacity)
        , m_zoneOf{ { m_ownNode, "" } }
    {
    }

    /** Replaces the list of all nodes, by name, this node included. */
    void setNodes(const std::map<std::string, store_peer> &nodes)
    {
        const std::map<std::string, std::string> before = std::exchange(m_zoneOf, {});
        for (const auto &[name, node] : nodes) {
            m_zoneOf.emplace(name, node.zone);
        }
        m_presence.keepOnly(m_zoneOf);
        placements lost;
        for (const auto &[name, zone] : before) {
            if (!m_zoneOf.contains(name)) {
                takeFrom(name, lost);
            }
        }
        place(lost);
    }

    /**
     * Enters the origin of a stream; called before its first event leaves this node.
     * @param stream id of the caller's request
     * @param keep for how long the caller may take the stream up
     * @param maximumAge longest time that a stream of its route lasts, as for find()
     */
    void record(const std::string &stream, const stream_origin &origin, duration keep, duration maximumAge)
    {
        const time_point now = m_loop.now();
        if (keep <= duration::zero()) {
            return; // The node was stopped beyond the request's deadline.
        }
        m_table.put(now, stream, origin, keep);
        const std::optional<service_builds::sole_build> sole = m_builds.sole(origin.service);
        const bool isCurrent = sole && now - sole->asOf <= service_builds::maxGap;
        if (!m_isLeaving && isCurrent && sole->build == origin.build && now - sole->since >= maximumAge + m_options.observationSkew) {
            return;
        }
        placeAnew({ &stream, 1 });
    }

    /** Sends all entries to their keepers, and from now on each new one: this node is being stopped, and the others may have started too recently to infer. */
    void prepareToLeave()
    {
        m_isLeaving = true;
        placeAnew(m_table.streamsOf(m_loop.now()));
    }

    /** Sends the entries of a service to their keepers; called when they can no longer be inferred, as service_builds::update() tells. */
    void sendEntriesOf(const std::string &service)
    {
        placeAnew(m_table.streamsOf(m_loop.now(), service));
    }

    /**
     * Finds the origin of a stream that a caller takes up.
     * @param maximumAge longest time that a stream of its route lasts
     * @param onEnd called once, also from inside this call
     */
    void find(const std::string &stream, const std::string &service, duration maximumAge, handler onEnd)
    {
        if (const stream_origin_table::row *row = m_table.find(m_loop.now(), stream)) {
            onEnd({ origin_source::OwnTable, row->origin, row->connectedAt, "" });
            return;
        }
        const auto question = std::make_shared<pending_question>();
        question->stream = stream;
        question->service = service;
        question->maximumAge = maximumAge;
        question->onEnd = std::move(onEnd);
        if (m_zoneOf.size() - m_zoneOf.count(m_ownNode) == 0) {
            const std::optional<service_builds::sole_build> sole = m_builds.sole(service);
            question->isConfirmed = sole && sole->asOf - sole->since >= maximumAge; // There is no other node to ask.
        }
        askNextRound(question);
    }

    /**
     * Tells whether an origin inferred from the only build of its service still holds, after the registrations have been read again.
     * @param takenUpAt when the caller took the stream up; a state that is older may lack the servers at which it began
     */
    bool isSoleBuildStill(const stream_origin &inferred, time_point takenUpAt) const
    {
        const std::optional<service_builds::sole_build> sole = m_builds.sole(inferred.service);
        return sole && sole->build == inferred.build && sole->asOf >= takenUpAt;
    }

    /** Handles a message of another node. */
    stream_reply serve(const stream_message &message)
    {
        const time_point now = m_loop.now();
        for (const stream_record &each : message.records) {
            m_table.put(now, each.stream, each.origin, duration(each.keepUs));
        }
        stream_reply reply;
        if (message.askedStream.empty()) {
            return reply;
        }
        if (const stream_origin_table::row *row = m_table.find(now, message.askedStream)) {
            reply.origins.push_back(stream_origin_table::recordOf(now, message.askedStream, *row).origin);
        }
        reply.isMixed = m_builds.isMixed(message.askedService);
        if (const auto sole = m_builds.sole(message.askedService)) {
            reply.soleBuild = sole->build;
            reply.soleForUs = (sole->asOf - sole->since).count();
            reply.stateAgeUs = (now - sole->asOf).count();
            reply.changedAgoUs = sole->changedAt ? (now - *sole->changedAt).count() : -1;
        }
        return reply;
    }

    /** Drops entries whose time has passed. */
    void expire()
    {
        m_table.expire(m_loop.now());
        for (auto &[keeper, entries] : m_heldBy) {
            std::erase_if(entries, [this](const auto &entry) {
                return m_table.find(m_loop.now(), entry->stream) == nullptr;
            });
        }
        std::erase_if(m_heldBy, [](const auto &each) {
            return each.second.empty();
        });
    }
    std::size_t size() const
    {
        return m_table.size();
    }

private:
    /** To whom an entry was sent. */
    struct placement
    {
        std::string stream;
        std::set<std::string> asked;
        std::set<std::string> failed; ///< Those of them that did not answer, or are gone since.
    };
    using placements = std::vector<std::shared_ptr<placement>>;

    struct pending_question
    {
        std::string stream;
        std::string service;
        duration maximumAge{};
        handler onEnd; ///< Empty once it has been called.
        int round = 0;
        bool isExtended = false; ///< Whether nodes beyond the keepers were asked, too.
        std::set<std::string> asked;
        std::set<std::string> failed; ///< Those of them that did not answer.
        std::size_t open = 0; ///< Replies that are still to come.
        bool isConfirmed = false; ///< Another node has seen this node's only build, and no other one, for long enough.
        bool isContradicted = false; ///< Another node has seen other builds.
    };

    /** Sends entries of this node to their keepers. */
    void placeAnew(std::span<const std::string> streams)
    {
        placements fresh;
        for (const std::string &stream : streams) {
            fresh.push_back(std::make_shared<placement>());
            fresh.back()->stream = stream;
        }
        place(fresh);
    }

    /** Sends entries to those of their keepers that have not been asked yet. */
    void place(const placements &entries)
    {
        std::map<std::string, placements> byKeeper;
        for (const auto &entry : entries) {
            for (const std::string &keeper : otherKeepersOf(entry->stream, entry->failed, m_options.keepers)) {
                if (!entry->asked.insert(keeper).second) {
                    continue;
                }
                m_heldBy[keeper].push_back(entry);
                placements &batch = byKeeper[keeper];
                batch.push_back(entry);
                if (batch.size() == m_options.recordsInMessage) {
                    send(keeper, std::exchange(batch, {}));
                }
            }
        }
        for (const auto &[keeper, batch] : byKeeper) {
            send(keeper, batch);
        }
    }

    void send(const std::string &keeper, const placements &batch)
    {
        stream_message message;
        for (const auto &entry : batch) {
            if (const stream_origin_table::row *row = m_table.find(m_loop.now(), entry->stream)) {
                message.records.push_back(stream_origin_table::recordOf(m_loop.now(), entry->stream, *row));
            }
        }
        if (message.records.empty()) {
            return;
        }
        const auto isAnswered = std::make_shared<bool>(false);
        m_peers.send(keeper, message, [weak = this->weak_from_this(), keeper, isAnswered](peer_ask_end end, const stream_reply &) {
            *isAnswered = end == peer_ask_end::Answered;
            if (const auto self = weak.lock()) {
                self->recordPresence(keeper, end);
            }
        });
        m_loop.after(m_options.replaceAfter, [weak = this->weak_from_this(), keeper, batch, isAnswered] {
            const auto self = weak.lock();
            if (self && !*isAnswered) {
                for (const auto &entry : batch) {
                    entry->failed.insert(keeper);
                }
                self->place(batch);
            }
        });
    }

    /** Handles how a message to a node ended. If it was not answered, the entries that the node was sent go to other nodes. */
    void recordPresence(const std::string &node, peer_ask_end end)
    {
        if (end == peer_ask_end::Answered) {
            m_presence.recordAnswer(node);
            return;
        }
        m_presence.recordSilence(m_loop.now(), node);
        placements lost;
        takeFrom(node, lost);
        place(lost);
    }

    /** Adds the entries that a node was sent to @p lost, which need another keeper. */
    void takeFrom(const std::string &node, placements &lost)
    {
        const auto held = m_heldBy.find(node);
        if (held == m_heldBy.end()) {
            return;
        }
        for (const auto &entry : std::exchange(held->second, {})) {
            entry->failed.insert(node);
            lost.push_back(entry);
        }
    }

    /** Asks the next nodes that may have the origin, or ends the question. */
    void askNextRound(const std::shared_ptr<pending_question> &question)
    {
        std::vector<std::string> nodes;
        if (question->round < m_options.questionRounds) {
            nodes = otherKeepersOf(question->stream, question->failed, m_options.keepers << question->round);
            std::erase_if(nodes, [&question](const std::string &node) {
                return question->asked.contains(node);
            });
        }
        ++question->round;
        if (nodes.empty()) {
            const found_origin inferred = inferOrigin(*question);
            if (inferred.source == origin_source::Unknown && !std::exchange(question->isExtended, true)) {
                nodes = chooseNodes(question->stream, question->asked, m_options.keepers);
            }
            if (nodes.empty()) {
                std::exchange(question->onEnd, nullptr)(inferred);
                return;
            }
        }
        stream_message message;
        message.askedStream = question->stream;
        message.askedService = question->service;
        question->asked.insert(nodes.begin(), nodes.end());
        question->open = nodes.size();
        for (const std::string &node : nodes) {
            m_peers.send(node, message, [weak = this->weak_from_this(), question, node](peer_ask_end end, const stream_reply &reply) {
                if (const auto self = weak.lock()) {
                    self->recordPresence(node, end);
                    self->takeReply(question, node, end, reply);
                }
            });
        }
    }

    void takeReply(const std::shared_ptr<pending_question> &pending, const std::string &keeper, peer_ask_end end, const stream_reply &reply)
    {
        pending_question &question = *pending;
        --question.open;
        if (!question.onEnd) {
            return;
        }
        if (!reply.origins.empty()) {
            const stream_origin &origin = reply.origins.front();
            std::exchange(question.onEnd, nullptr)({ origin_source::Keeper, origin, m_loop.now() - duration(origin.connectionAgeUs), keeper });
            return;
        }
        if (end == peer_ask_end::Answered) {
            const std::optional<service_builds::sole_build> sole = m_builds.sole(question.service);
            const bool isSame = sole && reply.soleBuild == sole->build;
            const bool isCurrent = duration(reply.stateAgeUs) <= service_builds::maxGap;
            const bool hasChanged = reply.changedAgoUs >= 0 && duration(reply.changedAgoUs) < question.maximumAge;
            question.isConfirmed = question.isConfirmed || (isSame && isCurrent && duration(reply.soleForUs) >= question.maximumAge);
            question.isContradicted = question.isContradicted || reply.isMixed || hasChanged || (!reply.soleBuild.empty() && !isSame);
        } else {
            question.failed.insert(keeper);
        }
        if (question.open == 0) {
            askNextRound(pending);
        }
    }

    found_origin inferOrigin(const pending_question &question) const
    {
        found_origin found;
        const std::optional<service_builds::sole_build> sole = m_builds.sole(question.service);
        const bool hasChanged = sole && sole->changedAt && m_loop.now() - *sole->changedAt < question.maximumAge;
        if (sole && question.isConfirmed && !question.isContradicted && !hasChanged) {
            found.source = origin_source::SoleBuild;
            found.origin.service = question.service;
            found.origin.build = sole->build;
            found.origin.isProven = true;
        }
        return found;
    }

    /** Returns up to @p count keepers of a stream, this node left out, among the nodes that answer; among all of them if none does. */
    std::vector<std::string> otherKeepersOf(const std::string &stream, const std::set<std::string> &failed, std::size_t count) const
    {
        std::set<std::string> passedOver = failed;
        for (const auto &[node, zone] : m_zoneOf) {
            if (m_presence.isMissing(m_loop.now(), node)) {
                passedOver.insert(node);
            }
        }
        const std::vector<std::string> chosen = chooseNodes(stream, passedOver, count);
        return chosen.empty() ? chooseNodes(stream, failed, count) : chosen;
    }

    /**
     * Returns the @p count nodes that rendezvous hashing ranks first for a stream; if this node is one of them, it is left out. Each is the best of those nodes
     * whose zone has no better one, while there are enough zones.
     */
    std::vector<std::string> chooseNodes(const std::string &stream, const std::set<std::string> &passedOver, std::size_t count) const
    {
        std::vector<std::pair<std::uint64_t, const std::pair<const std::string, std::string> *>> ranked;
        ranked.reserve(m_zoneOf.size());
        for (const auto &each : m_zoneOf) {
            if (!passedOver.contains(each.first)) {
                ranked.emplace_back(rendezvousRank(stream, each.first), &each);
            }
        }
        std::ranges::sort(ranked, std::greater<>());
        std::vector<std::string> chosen;
        std::set<std::string_view> zones;
        for (const bool mayShareZone : { false, true }) {
            for (auto &[rank, node] : ranked) {
                if (chosen.size() < count && node != nullptr && (mayShareZone || !zones.contains(node->second))) {
                    chosen.push_back(node->first);
                    zones.insert(node->second);
                    node = nullptr;
                }
            }
        }
        std::erase(chosen, m_ownNode);
        return chosen;
    }

    stream_origin_options m_options;
    Peers &m_peers;
    Loop &m_loop;
    std::string m_ownNode;
    const service_builds &m_builds;
    stream_origin_table m_table;
    std::map<std::string, std::string> m_zoneOf; ///< The zone of each node, this one included.
    peer_presence m_presence;
    std::map<std::string, placements> m_heldBy; ///< By keeper; the entries that this node has sent to it.
    bool m_isLeaving = false;
};

} // namespace reedtrail
