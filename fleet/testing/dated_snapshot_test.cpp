#include "fleet/dated_snapshot.h"

#include "base/cbor_codec.h"
#include "base/random.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

store_key_value itemOf(const std::string &key, store_revision revision, const std::string &value = "x")
{
    store_key_value item;
    item.key = key;
    item.value = value;
    item.modRevision = revision;
    return item;
}

/** Returns differences as text: "+key@revision" for a changed item, "-key" for a removed one. */
std::string textOf(const std::vector<store_watch_event> &changes)
{
    std::string text;
    for (const store_watch_event &event : changes) {
        const bool isRemoval = event.type == store_watch_event::kind::Delete;
        text += (text.empty() ? "" : " ") + std::string(isRemoval ? "-" : "+") + event.item.key;
        text += isRemoval ? "" : "@" + std::to_string(event.item.modRevision);
    }
    return text;
}

TEST(dated_snapshot_test, listingReportsDifferences)
{
    struct row
    {
        const char *what;
        store_revision revision;
        std::vector<store_key_value> items;
        const char *changes;
    };
    const row rows[] = { { "first listing", 10, { itemOf("a", 3), itemOf("b", 9) }, "+a@3 +b@9" },
                         { "nothing new", 12, { itemOf("a", 3), itemOf("b", 9) }, "" },
                         { "changed, added and removed", 15, { itemOf("b", 14), itemOf("c", 13) }, "+b@14 +c@13 -a" },
                         { "an older listing that arrives late", 12, { itemOf("a", 3) }, "" },
                         { "created again", 20, { itemOf("a", 19), itemOf("b", 14), itemOf("c", 13) }, "+a@19" } };
    dated_snapshot snapshot;
    for (const row &each : rows) {
        EXPECT_EQ(textOf(snapshot.replace(time_point(1s), { std::nullopt, each.revision, each.items })), each.changes) << each.what;
    }
}

TEST(dated_snapshot_test, momentNeverGoesBack)
{
    dated_snapshot snapshot;
    snapshot.replace(time_point(5s), { std::nullopt, 10, {} });
    snapshot.replace(time_point(3s), { std::nullopt, 10, {} });
    EXPECT_EQ(snapshot.askedAt(), time_point(5s));
    snapshot.replace(time_point(9s), { std::nullopt, 8, {} });
    EXPECT_EQ(snapshot.askedAt(), time_point(5s)) << "a state that is older than the one at hand does not make it newer";
}

TEST(dated_snapshot_test, replyCarriesAgeOverHops)
{
    dated_snapshot first;
    first.replace(time_point(100s), { std::nullopt, 10, { itemOf("a", 3) } });
    const snapshot_reply reply = first.replySince(time_point(100s) + 400ms, 0);
    EXPECT_EQ(reply.age(), 400ms);
    dated_snapshot second;
    const time_point askedSecond{ 7s }; // The clocks of two nodes have nothing in common.
    second.apply(askedSecond - reply.age(), reply);
    EXPECT_EQ(second.replySince(time_point(7s) + 100ms, 0).age(), 500ms);
}

TEST(dated_snapshot_test, replyHoldsDifferencesOrWholeState)
{
    dated_snapshot reader;
    reader.replace(time_point(1s), { std::nullopt, 10, { itemOf("a", 3), itemOf("b", 9) } });
    store_watch_event removal;
    removal.type = store_watch_event::kind::Delete;
    removal.item = itemOf("a", 16);
    store_watch_event shortLived = removal;
    shortLived.item = itemOf("x", 18); // It was created after the reader's first state, which a receiver may have seen.
    reader.advance(time_point(2s),
                   20,
                   std::vector{ store_watch_event{ store_watch_event::kind::Put, itemOf("b", 15) },
                                removal,
                                store_watch_event{ store_watch_event::kind::Put, itemOf("c", 17) },
                                shortLived });
    struct row
    {
        const char *what;
        store_revision since;
        bool isComplete;
        std::size_t items;
        std::size_t removed;
    };
    const row rows[] = { { "a receiver without a state, which passes them on", 0, true, 2, 2 },
                         { "a state from before the reader's listing", 9, true, 2, 2 },
                         { "the state of the reader's listing", 10, false, 2, 2 },
                         { "a state between", 16, false, 1, 1 },
                         { "the present state", 20, false, 0, 0 } };
    for (const row &each : rows) {
        const snapshot_reply reply = reader.replySince(time_point(2s), each.since);
        EXPECT_EQ(reply.isComplete, each.isComplete) << each.what;
        EXPECT_EQ(reply.items.size(), each.items) << each.what;
        EXPECT_EQ(reply.removed.size(), each.removed) << each.what;
    }
}

/** A store may hide changes before it drops its history, and still name the revision that it has reached. What a peer was not shown must not undo what was. */
TEST(dated_snapshot_test, peerThatWasNotShownChangeUndoesIt)
{
    const auto change = [](store_watch_event::kind type, const std::string &key, store_revision revision) {
        return store_watch_event{ type, itemOf(key, revision) };
    };
    const auto put = store_watch_event::kind::Put;
    const auto removal = store_watch_event::kind::Delete;
    dated_snapshot peer;
    peer.replace(time_point(1s), { std::nullopt, 10, { itemOf("a", 3), itemOf("b", 9), itemOf("c", 5) } });
    peer.advance(time_point(2s), 14, std::vector{ change(removal, "a", 12) });
    dated_snapshot early;
    early.apply(time_point(2s), peer.replySince(time_point(2s), 0));
    peer.advance(time_point(3s), 20, {}); // It was shown neither the new "a" of 16 nor the end of "c" at 18, nor "d" of 19.
    struct row
    {
        const char *what;
        store_revision since;
        const char *changes;
    };
    const row rows[] = {
        { "differences with the removal before the new item", 11, "" },
        { "the whole state", 4, "" },
        { "the whole state for a receiver without one", 0, "" },
    };
    for (const row &each : rows) {
        dated_snapshot receiver = early;
        receiver.advance(time_point(3s), 20, std::vector{ change(put, "a", 16), change(removal, "c", 18), change(put, "d", 19) });
        EXPECT_EQ(textOf(receiver.apply(time_point(3s), peer.replySince(time_point(3s), each.since))), each.changes) << each.what;
        EXPECT_EQ(receiver.size(), 3U) << each.what << ": a, b and d";
    }
    // Once the peer has been shown everything, its state is passed on: "d" has left, and "c" is there again.
    peer.replace(time_point(4s), { std::nullopt, 30, { itemOf("a", 16), itemOf("b", 9), itemOf("c", 25) } });
    dated_snapshot receiver = early;
    receiver.advance(time_point(3s), 20, std::vector{ change(put, "a", 16), change(removal, "c", 18), change(put, "d", 19) });
    EXPECT_EQ(textOf(receiver.apply(time_point(4s), peer.replySince(time_point(4s), 11))), "+c@25 -d");
}

/** What a node learned from a peer's whole state it passes on with the removals, so that the next one keeps no key that is gone. */
TEST(dated_snapshot_test, removalsAreLostOnTheirWayThroughWholeState)
{
    dated_snapshot first;
    first.replace(time_point(1s), { std::nullopt, 10, { itemOf("a", 3) } });
    store_watch_event removal;
    removal.type = store_watch_event::kind::Delete;
    removal.item = itemOf("b", 15); // Came at 12 and went at 15.
    first.advance(time_point(2s), 20, std::vector{ removal });
    for (const store_revision known : { 0U, 5U }) {
        dated_snapshot second;
        if (known > 0) {
            second.replace(time_point(1s), { std::nullopt, known, { itemOf("a", 3) } });
        }
        second.apply(time_point(2s), first.replySince(time_point(2s), known));
        dated_snapshot third;
        third.replace(time_point(1s), { std::nullopt, 13, { itemOf("a", 3), itemOf("b", 12) } });
        EXPECT_EQ(textOf(third.apply(time_point(2s), second.replySince(time_point(2s), 9))), "-b") << known;
        EXPECT_EQ(textOf(third.apply(time_point(2s), second.replySince(time_point(2s), 13))), "") << known;
    }
}

TEST(dated_snapshot_test, overlappingChangesAreTakenOnce)
{
    const auto removalAt = [](const std::string &key, store_revision revision) {
        store_watch_event event;
        event.type = store_watch_event::kind::Delete;
        event.item = itemOf(key, revision);
        return event;
    };
    const auto putAt = [](const std::string &key, store_revision revision) {
        return store_watch_event{ store_watch_event::kind::Put, itemOf(key, revision) };
    };
    struct row
    {
        const char *what;
        store_revision revision;
        std::vector<store_watch_event> events;
        const char *differences;
    };
    const row rows[] = { { "new changes", 14, { putAt("a", 11), removalAt("b", 12) }, "+a@11 -b" },
                         { "the same again, and one that was hidden", 16, { putAt("a", 11), removalAt("b", 12), putAt("c", 13) }, "+c@13" },
                         { "a key that came and went", 20, { putAt("d", 17), removalAt("d", 18) }, "" },
                         { "removed and created again", 25, { removalAt("a", 21), putAt("a", 22) }, "+a@22" },
                         { "an old removal again", 27, { removalAt("a", 21) }, "" },
                         { "an answer that was overtaken", 26, { removalAt("a", 26) }, "" } };
    dated_snapshot snapshot;
    snapshot.replace(time_point(1s), { std::nullopt, 10, { itemOf("a", 3), itemOf("b", 9) } });
    for (const row &each : rows) {
        EXPECT_EQ(textOf(snapshot.advance(time_point(1s), each.revision, each.events)), each.differences) << each.what;
    }
}

/** A key that is removed between two partial reads of a listing is missing, though the listing bears the first read's revision. */
TEST(dated_snapshot_test, removalBetweenPartialReadsReachesReceivers)
{
    dated_snapshot reader;
    reader.replace(time_point(1s), { std::nullopt, 10, { itemOf("a", 3), itemOf("z", 4) } });
    dated_snapshot node;
    node.replace(time_point(2s), { std::nullopt, 20, { itemOf("a", 3), itemOf("z", 4) } });
    reader.replace(time_point(2s), { std::nullopt, 20, { itemOf("a", 3) }, 22 });
    node.apply(time_point(3s), reader.replySince(time_point(3s), node.revision()));
    EXPECT_EQ(node.size(), 1U);
}

TEST(dated_snapshot_test, messagesKeepBytesThatAreNoText)
{
    snapshot_reply reply;
    reply.revision = 7;
    reply.items = { { "a", std::string("\xff\x00\xfe", 3), 7 } };
    const auto bytes = encodeMessage(reply);
    snapshot_reply received;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(message, decodeEnvelope(bytes));
        BOOST_LEAF_ASSIGN(received, decodeBody<snapshot_reply>(message));
        return {};
    });
    ASSERT_FALSE(error);
    EXPECT_EQ(received.items.front().value, reply.items.front().value);
}

/** Random histories: nodes that read from readers at random have the state of a revision between the reader's last listing and the present. */
TEST(dated_snapshot_test, randomRepliesGiveStatesOfTheStore)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_source random(seed);
        std::map<std::string, store_key_value> store;
        std::map<store_revision, std::map<std::string, store_revision>> history; // The slow oracle: the keys and revisions of every state.
        store_revision revision = 1;
        const auto listing = [&] {
            std::vector<store_key_value> items;
            items.reserve(store.size());
            for (const auto &[key, item] : store) {
                items.push_back(item);
            }
            return items;
        };
        const auto remember = [&] {
            for (const auto &[key, item] : store) {
                history[revision][key] = item.modRevision;
            }
        };
        dated_snapshot readers[2];
        dated_snapshot node;
        std::map<std::string, store_revision> followed; // The node's state, from the differences alone.
        for (int step = 0; step < 120; ++step) {
            ++revision;
            const std::string key(1, static_cast<char>('a' + random.below(8)));
            if (random.chance(0.3)) {
                store.erase(key);
            } else {
                store[key] = itemOf(key, revision);
            }
            history[revision];
            remember();
            dated_snapshot &reader = readers[random.below(2)];
            if (random.chance(0.3)) {
                reader.replace(time_point(duration(step)), { std::nullopt, revision, listing() });
            }
            if (random.chance(0.4) && reader.isPresent()) {
                for (const store_watch_event &event : node.apply(time_point(duration(step)), reader.replySince(time_point(duration(step)), node.revision()))) {
                    if (event.type == store_watch_event::kind::Delete) {
                        EXPECT_EQ(followed.erase(event.item.key), 1U) << "seed " << seed;
                    } else {
                        followed[event.item.key] = event.item.modRevision;
                    }
                }
                EXPECT_EQ(followed, history.at(node.revision())) << "seed " << seed << ", step " << step;
            }
        }
    }
}

} // namespace
} // namespace reedtrail
