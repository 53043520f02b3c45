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
        m_zoneOf.clear();
        for (const auto &[name, node] : nodes) {
            m_zoneOf.emplace(name, node.zone);
        }
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
        stream_message message;
        message.records.push_back(stream_origin_table::recordOf(now, stream, *m_table.find(now, stream)));
        for (const std::string &keeper : otherKeepersOf(stream)) {
            send(keeper, message);
        }
    }

    /** Sends all entries to their keepers, and from now on each new one: this node is being stopped, and the others may have started too recently to infer. */
    void prepareToLeave()
    {
        m_isLeaving = true;
        sendToKeepers(m_table.recordsOf(m_loop.now()));
    }

    /** Sends the entries of a service to their keepers; called when they can no longer be inferred, as service_builds::update() tells. */
    void sendEntriesOf(const std::string &service)
    {
        sendToKeepers(m_table.recordsOf(m_loop.now(), service));
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
        const std::vector<std::string> keepers = otherKeepersOf(stream);
        const auto question = std::make_shared<pending_question>(pending_question{ service, maximumAge, std::move(onEnd), keepers.size(), false, false });
        if (keepers.empty()) {
            const std::optional<service_builds::sole_build> sole = m_builds.sole(service);
            question->isConfirmed = sole && sole->asOf - sole->since >= maximumAge; // There is no other node to ask.
            inferOrigin(*question);
            return;
        }
        stream_message message;
        message.askedStream = stream;
        message.askedService = service;
        for (const std::string &keeper : keepers) {
            m_peers.send(keeper, message, [weak = this->weak_from_this(), question, keeper](peer_ask_end end, const stream_reply &reply) {
                if (const auto self = weak.lock()) {
                    self->takeReply(*question, keeper, end, reply);
                }
            });
        }
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
    }
    std::size_t size() const
    {
        return m_table.size();
    }

private:
    struct pending_question
    {
        std::string service;
        duration maximumAge;
        handler onEnd; ///< Empty once it has been called.
        std::size_t open = 0; ///< Replies that are still to come.
        bool isConfirmed = false; ///< Another node has seen this node's only build, and no other one, for long enough.
        bool isContradicted = false; ///< Another node has seen other builds.
    };

    void send(const std::string &keeper, const stream_message &message)
    {
        m_peers.send(keeper, message, [](peer_ask_end, const stream_reply &) {});
    }

    void sendToKeepers(std::span<const stream_record> records)
    {
        std::map<std::string, stream_message> messages;
        for (const stream_record &each : records) {
            for (const std::string &keeper : otherKeepersOf(each.stream)) {
                stream_message &message = messages[keeper];
                message.records.push_back(each);
                if (message.records.size() == m_options.recordsInMessage) {
                    send(keeper, std::exchange(message, {}));
                }
            }
        }
        for (const auto &[keeper, message] : messages) {
            if (!message.records.empty()) {
                send(keeper, message);
            }
        }
    }

    void takeReply(pending_question &question, const std::string &keeper, peer_ask_end end, const stream_reply &reply)
    {
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
        }
        if (question.open == 0) {
            inferOrigin(question);
        }
    }

    void inferOrigin(pending_question &question)
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
        std::exchange(question.onEnd, nullptr)(found);
    }

    /** Returns the keepers of a stream, this node left out. Each is the best of those nodes whose zone has no better one, while there are enough zones. */
    std::vector<std::string> otherKeepersOf(const std::string &stream) const
    {
        std::vector<std::pair<std::uint64_t, std::string>> ranked;
        for (const auto &[node, zone] : m_zoneOf) {
            ranked.emplace_back(rendezvousRank(stream, node), node);
        }
        std::ranges::sort(ranked, std::greater<>());
        std::vector<std::string> chosen;
        std::set<std::string> zones;
        for (const bool mayShareZone : { false, true }) {
            for (const auto &[rank, node] : ranked) {
                const bool isChosen = std::ranges::find(chosen, node) != chosen.end();
                if (chosen.size() < m_options.keepers && !isChosen && (mayShareZone || !zones.contains(m_zoneOf.at(node)))) {
                    chosen.push_back(node);
                    zones.insert(m_zoneOf.at(node));
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
    bool m_isLeaving = false;
};

} // namespace reedtrail
