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
        EXPECT_EQ(textOf(snapshot.replace(time_point(1s), each.revision, each.items)), each.changes) << each.what;
    }
}

TEST(dated_snapshot_test, momentNeverGoesBack)
{
    dated_snapshot snapshot;
    snapshot.replace(time_point(5s), 10, {});
    snapshot.replace(time_point(3s), 10, {});
    EXPECT_EQ(snapshot.askedAt(), time_point(5s));
    snapshot.replace(time_point(9s), 8, {});
    EXPECT_EQ(snapshot.askedAt(), time_point(5s)) << "a state that is older than the one at hand does not make it newer";
}

TEST(dated_snapshot_test, replyCarriesAgeOverHops)
{
    dated_snapshot first;
    first.replace(time_point(100s), 10, std::vector{ itemOf("a", 3) });
    const snapshot_reply reply = first.replySince(time_point(100s) + 400ms, 0);
    EXPECT_EQ(reply.age(), 400ms);
    dated_snapshot second;
    const time_point askedSecond{ 7s }; // The clocks of two nodes have nothing in common.
    ASSERT_TRUE(second.apply(askedSecond - reply.age(), reply));
    EXPECT_EQ(second.replySince(time_point(7s) + 100ms, 0).age(), 500ms);
}

TEST(dated_snapshot_test, replyWithUnknownItemIsRejected)
{
    dated_snapshot reader;
    reader.replace(time_point(1s), 10, std::vector{ itemOf("a", 3), itemOf("b", 9) });
    dated_snapshot node;
    EXPECT_FALSE(node.apply(time_point(1s), reader.replySince(time_point(1s), 5))) << "item a is left out, and the node does not have it";
    EXPECT_FALSE(node.isPresent());
    ASSERT_TRUE(node.apply(time_point(1s), reader.replySince(time_point(1s), 0)));
    EXPECT_EQ(node.size(), 2U);
}

TEST(dated_snapshot_test, messagesKeepBytesThatAreNoText)
{
    snapshot_reply reply;
    reply.revision = 7;
    reply.keys = { "a" };
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
                reader.replace(time_point(duration(step)), revision, listing());
            }
            if (random.chance(0.4) && reader.isPresent()) {
                const auto changes = node.apply(time_point(duration(step)), reader.replySince(time_point(duration(step)), node.revision()));
                if (!changes) {
                    continue;
                }
                for (const store_watch_event &event : *changes) {
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
