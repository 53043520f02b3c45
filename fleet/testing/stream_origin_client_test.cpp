// Nodes of three zones in virtual time that share which build began which stream, while servers of two builds come and go and nodes fail.

#include "base/random.h"
#include "fleet/stream_origin_client.h"
#include "harness/virtual_time.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

const std::string service = "s";

/** What is played. */
struct play
{
    std::size_t keepers = 3;
    std::uint64_t seed = 1;
    double killedShare = 0.35; ///< Of the nodes, at once, four times.
    bool hasRelease = true; ///< Servers of a second build come at 8 s; those of the first are gone at 24 s.
    double frozenShare = 0; ///< Of the nodes that are not killed: they neither send nor receive for two seconds.
    bool isTakenBack = false; ///< The second build is taken back: its servers are gone from 12 s on, and those of the first one stay.
    double cutShare = 0; ///< Of the nodes: from 7.5 s on they can't read the store for up to 14 s.
    double stillShare = 0; ///< Of the nodes: they stand still as long, from then on.
    double lostShare = 0; ///< Of the entries sent to other nodes: they do not arrive.
    duration streamLife = 6s; ///< Longest time that a stream lasts, and that a caller has to take it up.
    std::size_t spared = 0; ///< Nodes that are not killed while all others are, at allKilledAt.
    duration allKilledAt{}; ///< Zero: never.
    duration lastFailureAt{}; ///< The only failure after that; zero: the four at their usual times.
    bool isAnnounced = false; ///< The first node is stopped then, a second after it was told, instead of nodes that are killed.
    int lost = 0; ///< Nodes that are lost for good at 6 s, and stay in the list of nodes.
    int nodes = 9;
    duration lossInterval{}; ///< One more node is lost for good each time this has passed, from 10 s on, until one is left; zero: never.
};

/** What was seen. */
struct counts
{
    int begun = 0;
    int takenUp = 0;
    int known = 0;
    int missed = 0; ///< Unknown, though a node knew them that was there when they were taken up, and when the answer came.
    int wrong = 0; ///< The build that a node named is not the one that began the stream.
    int messages = 0;
};

class simulation;

/** Carries messages between nodes that are alive; satisfies stream_origin_peers. */
struct simulated_peers
{
    void send(const std::string &node, const stream_message &message, std::function<void(peer_ask_end, const stream_reply &)> onEnd);
    simulation *world = nullptr;
    int ownNode = 0;
};

struct simulated_node
{
    service_builds builds;
    simulated_peers peers;
    std::shared_ptr<stream_origin_client<simulated_peers, harness::virtual_time>> client;
    int incarnation = 0;
    bool isUp = true;
    bool isLost = false; ///< For good: its machine does not answer.
    time_point frozenUntil;
    time_point cutUntil; ///< Cut from the store.
};

class simulation
{
public:
    explicit simulation(const play &options)
        : m_options(options)
        , m_random(options.seed)
        , m_nodes(static_cast<std::size_t>(options.nodes))
        , m_open(m_nodes.size())
    {
        for (int i = 0; i < m_options.nodes; ++i) {
            m_list["node-" + std::to_string(i)] = { {}, "zone-" + std::to_string(i % 3), 1.0 };
        }
        for (int i = 0; i < m_options.nodes; ++i) {
            start(i);
        }
        scheduleStates();
        m_time.at(time_point(7s), [this] {
            beginStream();
        });
        m_time.at(time_point(7500ms), [this] {
            putNodesOutOfStep();
        });
        if (m_options.allKilledAt > duration::zero()) {
            killAllAndFailOnce();
            return;
        }
        if (m_options.lost > 0 || m_options.lossInterval > duration::zero()) {
            loseForGood();
            return;
        }
        for (const duration at : { 11s, 16s, 21s, 27s }) {
            m_time.at(time_point(at), [this] {
                failNodes();
            });
        }
    }

    counts run()
    {
        m_time.runUntil(time_point(std::max<duration>(32s, m_options.lastFailureAt + 5s)));
        return m_counts;
    }

    harness::virtual_time &time()
    {
        return m_time;
    }
    /** Delivers a message after a way between zones, if both ends are there. */
    void deliver(int from, int to, const stream_message &message, const std::function<void(peer_ask_end, const stream_reply &)> &onEnd)
    {
        ++m_counts.messages;
        const int incarnation = m_nodes[from].incarnation;
        const auto answer = [this, from, incarnation, onEnd](peer_ask_end end, const stream_reply &reply) {
            if (m_nodes[from].isUp && m_nodes[from].incarnation == incarnation) {
                onEnd(end, reply);
            }
        };
        m_time.after(way(), [this, to, message, answer] {
            simulated_node &node = m_nodes[to];
            const bool isLost = !message.records.empty() && m_random.chance(m_options.lostShare);
            if (isLost || !node.isUp || m_time.now() < node.frozenUntil) {
                m_time.after(node.isUp || node.isLost ? duration(150ms) : way(), [node = &node, answer] {
                    answer(node->isUp || node->isLost ? peer_ask_end::Silent : peer_ask_end::Gone, {});
                });
                return;
            }
            m_time.after(way(), [answer, reply = node.client->serve(message)] {
                answer(peer_ask_end::Answered, reply);
            });
        });
    }
    int indexOf(const std::string &node) const
    {
        return std::stoi(node.substr(node.find('-') + 1));
    }

private:
    duration way()
    {
        return duration(1000 + static_cast<std::int64_t>(m_random.below(1500)));
    }
    /** Returns the builds whose servers are registered. */
    std::vector<std::string> currentBuilds() const
    {
        const time_point now = m_time.now();
        if (!m_options.hasRelease || now < time_point(8s) || (m_options.isTakenBack && now >= time_point(12s))) {
            return { "v1" };
        }
        return now < time_point(24s) ? std::vector<std::string>{ "v1", "v2" } : std::vector<std::string>{ "v2" };
    }
    void start(int index)
    {
        simulated_node &node = m_nodes[index];
        ++node.incarnation;
        node.isUp = true;
        node.builds = service_builds();
        if (m_time.now() == time_point()) {
            node.builds.setFirstStart();
        }
        node.peers = { this, index };
        stream_origin_options options;
        options.keepers = m_options.keepers;
        node.client = std::make_shared<stream_origin_client<simulated_peers, harness::virtual_time>>(
            node.peers, m_time, "node-" + std::to_string(index), node.builds, options);
        node.client->setNodes(m_list);
        readState(index);
    }
    /** Reads the registrations. @return whether the store answers */
    bool readState(int index)
    {
        if (m_time.now() < m_nodes[index].cutUntil) {
            return false;
        }
        std::vector<server_entry> entries;
        for (const std::string &build : currentBuilds()) {
            server_entry entry;
            entry.id = "i-" + build;
            entry.service = service;
            entry.build = build;
            entries.push_back(entry);
        }
        std::vector<const server_entry *> pointers;
        pointers.reserve(entries.size());
        for (const server_entry &entry : entries) {
            pointers.push_back(&entry);
        }
        for (const std::string &uncertain : m_nodes[index].builds.update(m_time.now(), m_time.now(), pointers)) {
            m_nodes[index].client->sendEntriesOf(uncertain);
        }
        return true;
    }
    /** Each node reads the registrations about every 600 ms. */
    void scheduleStates()
    {
        for (int i = 0; i < m_options.nodes; ++i) {
            if (m_nodes[i].isUp && m_time.now() >= m_nodes[i].frozenUntil) {
                readState(i);
            }
        }
        m_time.after(duration(400000 + static_cast<std::int64_t>(m_random.below(400000))), [this] {
            scheduleStates();
        });
    }
    int anyNode()
    {
        int index = 0;
        do {
            index = static_cast<int>(m_random.below(m_nodes.size()));
        } while (!m_nodes[index].isUp || m_time.now() < m_nodes[index].frozenUntil);
        return index;
    }
    bool isAnyNodeThere() const
    {
        return std::ranges::any_of(m_nodes, [this](const simulated_node &node) {
            return node.isUp && m_time.now() >= node.frozenUntil;
        });
    }
    /** A stream begins at a server that its node knows. It breaks off if its node fails before it ends. */
    void beginStream()
    {
        if (!isAnyNodeThere()) {
            m_time.after(100ms, [this] {
                beginStream();
            });
            return;
        }
        const int index = anyNode();
        simulated_node &node = m_nodes[index];
        std::vector<std::string> builds = currentBuilds();
        if (!readState(index)) { // A node uses a server only after it has read its registration.
            const auto sole = node.builds.sole(service);
            builds = { sole ? sole->build : "v1" };
        }
        const std::string build = builds[m_random.below(builds.size())];
        const std::string id = "r" + std::to_string(++m_counts.begun);
        stream_origin origin;
        origin.service = service;
        origin.build = build;
        origin.isProven = true;
        node.client->record(id, origin, m_options.streamLife, m_options.streamLife);
        m_open[index].push_back({ id, build, m_time.now() + duration(500000 + static_cast<std::int64_t>(m_random.below(4000000))) });
        m_time.after(duration(static_cast<std::int64_t>(m_random.exponential(8000))), [this] {
            beginStream();
        });
    }
    void failNodes()
    {
        const bool mayAllFail = m_options.stillShare == 0;
        for (int i = mayAllFail ? 0 : 1; i < m_options.nodes; ++i) { // Somebody must be there to take streams up.
            if (m_random.chance(m_options.killedShare)) {
                kill(i);
            } else if (m_random.chance(m_options.frozenShare)) {
                m_nodes[i].frozenUntil = m_time.now() + duration(2s);
            }
        }
    }
    /** All nodes but those spared start again at once. Streams that break off then are not counted. */
    void killAllAndFailOnce()
    {
        m_time.at(time_point(m_options.allKilledAt), [this] {
            for (std::size_t i = m_options.spared; i < m_options.nodes; ++i) {
                m_open[i].clear();
                kill(static_cast<int>(i));
            }
        });
        m_time.at(time_point(m_options.lastFailureAt - 1s), [this] {
            if (m_options.isAnnounced) {
                m_nodes[0].client->prepareToLeave();
            }
        });
        m_time.at(time_point(m_options.lastFailureAt), [this] {
            m_options.isAnnounced ? kill(0) : failNodes();
        });
    }
    void loseForGood()
    {
        m_time.at(time_point(6s), [this] {
            for (int i = 0; i < m_options.lost; ++i) {
                lose(anyNode());
            }
        });
        if (m_options.lossInterval > duration::zero()) {
            m_time.at(time_point(10s), [this] {
                loseNext();
            });
        }
    }
    void loseNext()
    {
        if (std::ranges::count(m_nodes, true, &simulated_node::isUp) == 1) {
            return;
        }
        lose(anyNode());
        m_time.after(m_options.lossInterval, [this] {
            loseNext();
        });
    }
    void lose(int index)
    {
        m_nodes[index].isLost = true;
        kill(index);
    }
    void putNodesOutOfStep()
    {
        for (simulated_node &node : m_nodes) {
            const duration time(4000000 + static_cast<std::int64_t>(m_random.below(10000000)));
            if (m_random.chance(m_options.cutShare)) {
                node.cutUntil = m_time.now() + time;
            } else if (&node != &m_nodes.front() && m_random.chance(m_options.stillShare)) {
                node.frozenUntil = m_time.now() + time;
            }
        }
    }
    void kill(int index)
    {
        m_nodes[index].isUp = false;
        for (const open_stream &stream : std::exchange(m_open[index], {})) {
            if (stream.endsAt > m_time.now()) {
                m_time.after(duration(20000 + static_cast<std::int64_t>(m_random.below(300000))), [this, stream] {
                    takeUp(stream.id, stream.build);
                });
            }
        }
        if (m_nodes[index].isLost) {
            return;
        }
        m_time.after(500ms, [this, index] {
            start(index);
        });
    }
    bool isKept(const std::string &id)
    {
        stream_message question;
        question.askedStream = id;
        return std::ranges::any_of(m_nodes, [&](simulated_node &node) {
            return node.isUp && m_time.now() >= node.frozenUntil && !node.client->serve(question).origins.empty();
        });
    }
    void takeUp(const std::string &id, const std::string &build)
    {
        if (!isAnyNodeThere()) {
            m_time.after(100ms, [this, id, build] {
                takeUp(id, build);
            });
            return;
        }
        ++m_counts.takenUp;
        const bool wasKept = isKept(id);
        const int index = anyNode();
        const time_point takenUpAt = m_time.now();
        m_nodes[index].client->find(id, service, m_options.streamLife, [this, index, id, build, takenUpAt, wasKept](const found_origin &found) {
            bool isAccepted = found.source != origin_source::SoleBuild;
            if (!isAccepted) { // What is inferred from a sole build is read from the store once more (request_relay::judgeOrigin).
                readState(index);
                isAccepted = m_nodes[index].client->isSoleBuildStill(found.origin, takenUpAt);
            }
            if (found.source != origin_source::Unknown && isAccepted) {
                ++m_counts.known;
                m_counts.wrong += found.origin.build != build ? 1 : 0;
            } else if (wasKept && isKept(id)) {
                ++m_counts.missed;
            }
        });
    }

    struct open_stream
    {
        std::string id;
        std::string build;
        time_point endsAt;
    };
    play m_options;
    random_source m_random;
    harness::virtual_time m_time;
    std::map<std::string, store_peer> m_list;
    std::vector<simulated_node> m_nodes;
    std::vector<std::vector<open_stream>> m_open;
    counts m_counts;
};

void simulated_peers::send(const std::string &node, const stream_message &message, std::function<void(peer_ask_end, const stream_reply &)> onEnd)
{
    world->deliver(ownNode, world->indexOf(node), message, onEnd);
}

counts playSeeds(play options, std::uint64_t seeds)
{
    counts sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const counts one = simulation(options).run();
        sum.begun += one.begun;
        sum.takenUp += one.takenUp;
        sum.known += one.known;
        sum.missed += one.missed;
        sum.wrong += one.wrong;
        sum.messages += one.messages;
    }
    return sum;
}

double shareKnown(const counts &seen)
{
    return seen.takenUp == 0 ? 1 : static_cast<double>(seen.known) / seen.takenUp;
}

/** A third of the nodes are killed at once, four times, during and after a release. */
TEST(stream_origin_client_test, streamsOfKilledNodesAreTakenUpAtBuildThatBeganThem)
{
    for (const double frozenShare : { 0.0, 0.3 }) {
        const counts seen = playSeeds({ .frozenShare = frozenShare }, 40);
        EXPECT_EQ(seen.wrong, 0);
        EXPECT_GT(seen.takenUp, 1000);
        EXPECT_GT(shareKnown(seen), 0.5) << "new streams all begin here, and half of their share must go on";
        std::printf("frozen %.1f: %d of %d streams known, %.2f messages for a stream\n",
                    frozenShare,
                    seen.known,
                    seen.takenUp,
                    static_cast<double>(seen.messages) / seen.begun);
    }
}

/** Fewer keepers lose more streams, but never take one up at another build. */
TEST(stream_origin_client_test, moreKeepersKnowMoreStreams)
{
    double before = -1;
    for (const std::size_t keepers : { 0U, 1U, 2U, 3U }) {
        const counts seen = playSeeds({ .keepers = keepers }, 40);
        EXPECT_EQ(seen.wrong, 0) << keepers;
        EXPECT_GT(shareKnown(seen), before) << keepers;
        before = shareKnown(seen);
        std::printf("%zu keepers: %.3f of the streams known, %.2f messages for a stream\n", keepers, before, static_cast<double>(seen.messages) / seen.begun);
    }
}

/**
 * Nodes stand still or are cut from the store while servers of a second build join, entries of streams are lost on the way, and the second build may be taken
 * back. Streams that began there were taken up at such nodes at the build that they knew.
 */
TEST(stream_origin_client_test, nodesOutOfStepTakeStreamsUpAtBuildThatTheyKnew)
{
    for (const bool isTakenBack : { false, true }) {
        for (const double lostShare : { 0.0, 0.5, 1.0 }) {
            for (const double outOfStep : { 0.2, 0.6 }) {
                const counts seen = playSeeds(
                    { .hasRelease = true, .isTakenBack = isTakenBack, .cutShare = outOfStep, .stillShare = outOfStep / 2, .lostShare = lostShare }, 40);
                EXPECT_EQ(seen.wrong, 0) << isTakenBack << " " << lostShare << " " << outOfStep;
                EXPECT_GT(seen.takenUp, 1000);
                std::printf("%s, %.1f of the entries lost, %.1f of the nodes cut: %d of %d streams known, %d wrong\n",
                            isTakenBack ? "taken back" : "release",
                            lostShare,
                            outOfStep,
                            seen.known,
                            seen.takenUp,
                            seen.wrong);
            }
        }
    }
}

TEST(stream_origin_client_test, nothingIsSentWhileServiceHasOneBuild)
{
    const counts calm = playSeeds({ .killedShare = 0, .hasRelease = false }, 5);
    EXPECT_EQ(calm.messages, 0);
    const counts seen = playSeeds({ .hasRelease = false }, 20);
    EXPECT_EQ(seen.wrong, 0);
    EXPECT_LT(seen.messages, 3 * seen.begun) << "only questions, and the streams of nodes that have just started";
    EXPECT_GT(shareKnown(seen), 0.5);
    std::printf("one build: %d of %d streams known\n", seen.known, seen.takenUp);
}

/**
 * Guards against streams that nobody can take up for a while after all nodes have started: their nodes told no keeper of them any more, and no other node had
 * observed their service for as long as a stream of the route may last.
 */
TEST(stream_origin_client_test, streamsAreKnownHoweverLongAgoAllNodesStarted)
{
    for (const duration after : { 5s, 25s, 39s, 61s, 66s, 90s }) {
        const counts seen = playSeeds({ .killedShare = 0.35, .hasRelease = false, .streamLife = 62s, .allKilledAt = 10s, .lastFailureAt = 10s + after }, 8);
        EXPECT_EQ(seen.wrong, 0);
        EXPECT_GT(seen.takenUp, 500);
        EXPECT_GT(shareKnown(seen), 0.5) << toSeconds(after) << " s after the start of all nodes";
    }
}

/** Guards against streams of a node that is stopped while all others have just started: neither could they infer what began them, nor had they been told. */
TEST(stream_origin_client_test, streamsOfStoppedNodeAreKnownToNodesThatHaveJustStarted)
{
    const counts seen = playSeeds({ .hasRelease = false, .streamLife = 62s, .spared = 1, .allKilledAt = 10s, .lastFailureAt = 16s, .isAnnounced = true }, 40);
    EXPECT_EQ(seen.wrong, 0);
    EXPECT_GT(seen.takenUp, 500);
    EXPECT_EQ(seen.known, seen.takenUp);
}

/** Guards against streams whose keepers are lost nodes that stay in the list: once the node that began such a stream was lost, too, its build was unknown. */
TEST(stream_origin_client_test, streamsAreKnownAfterMostNodesWereLostForGood)
{
    for (const int lost : { 1, 3, 5, 7 }) {
        const counts seen = playSeeds({ .lost = lost, .lossInterval = 4s }, 20);
        EXPECT_EQ(seen.wrong, 0);
        EXPECT_GT(seen.takenUp, 200);
        EXPECT_EQ(seen.missed, 0) << lost << " nodes lost before";
        EXPECT_GT(shareKnown(seen), 0.5) << "new streams all begin here, and half of their share must go on";
        std::printf("%d nodes lost: %d of %d streams known, %d missed, %.2f messages for a stream\n",
                    lost,
                    seen.known,
                    seen.takenUp,
                    seen.missed,
                    static_cast<double>(seen.messages) / seen.begun);
    }
}

/** The same in a large deployment, whose nodes meet each lost one for the first time. */
TEST(stream_origin_client_test, streamsAreKnownAfterMostOfManyNodesWereLostForGood)
{
    const counts seen = playSeeds({ .lost = 250, .nodes = 300, .lossInterval = 1s }, 1);
    EXPECT_EQ(seen.wrong, 0);
    EXPECT_GT(seen.takenUp, 100);
    EXPECT_EQ(seen.missed, 0);
    EXPECT_GT(shareKnown(seen), 0.5) << "new streams all begin here, and half of their share must go on";
    std::printf("250 of 300 nodes lost: %d of %d streams known, %d missed, %.2f messages for a stream\n",
                seen.known,
                seen.takenUp,
                seen.missed,
                static_cast<double>(seen.messages) / seen.begun);
}

/** Guards against streams whose keepers are lost one after the other while the stream lasts, and are not replaced. */
TEST(stream_origin_client_test, streamsOutliveTheirKeepersOneByOne)
{
    for (const duration interval : { 250ms, 700ms, 2000ms, 6000ms }) {
        const counts seen = playSeeds({ .lossInterval = interval }, 20);
        EXPECT_EQ(seen.wrong, 0);
        EXPECT_GT(seen.takenUp, 1000);
        EXPECT_EQ(seen.missed, 0) << toSeconds(interval) << " s between two losses";
        EXPECT_GT(shareKnown(seen), 0.5) << "new streams all begin here, and half of their share must go on";
        std::printf("%.2f s between losses: %d of %d streams known, %d missed, %.2f messages for a stream\n",
                    toSeconds(interval),
                    seen.known,
                    seen.takenUp,
                    seen.missed,
                    static_cast<double>(seen.messages) / seen.begun);
    }
}

stream_origin originOf(const std::string &build)
{
    stream_origin origin;
    origin.service = service;
    origin.build = build;
    return origin;
}

/** A node that was stopped passes a stream's first event on after the deadline of its request; another request names a deadline in years. */
TEST(stream_origin_client_test, streamAnsweredAfterItsDeadlineCrashesNode)
{
    harness::virtual_time time;
    simulated_peers peers;
    const service_builds builds;
    const auto client = std::make_shared<stream_origin_client<simulated_peers, harness::virtual_time>>(peers, time, "node-0", builds);
    client->record("late", originOf("v1"), -1s, 62s);
    client->record("endless", originOf("v1"), 100000h, 62s);
    EXPECT_EQ(client->size(), 1U);
    time.runUntil(time_point(1h));
    client->expire();
    EXPECT_EQ(client->size(), 0U) << "no stream is kept for longer than streams last";
}

TEST(stream_origin_table_test, whatBeganStreamNeverChanges)
{
    stream_origin_table table(4);
    const time_point now(1s);
    table.put(now, "a", originOf("v1"), 2s);
    table.put(now, "a", originOf("v2"), 4s);
    EXPECT_EQ(table.find(now, "a")->origin.build, "v1");
    EXPECT_NE(table.find(now + 3s, "a"), nullptr) << "it is kept for longer";
    EXPECT_EQ(table.find(now + 4s, "a"), nullptr);
}

/** The table is bounded, and a lookup of an unknown stream adds no row. */
TEST(stream_origin_table_test, fullTableDropsRowThatEndsFirst)
{
    stream_origin_table table(3);
    const time_point now(1s);
    table.put(now, "long", originOf("v1"), 9s);
    for (int i = 0; i < 1000; ++i) {
        table.put(now, "short-" + std::to_string(i), originOf("v1"), 2s);
        EXPECT_EQ(table.find(now, "unknown-" + std::to_string(i)), nullptr);
        EXPECT_LE(table.size(), 3U);
    }
    EXPECT_NE(table.find(now, "long"), nullptr);
}

} // namespace
} // namespace reedtrail
