#include "base/cbor_codec.h"
#include "base/decision_log.h"
#include "base/hash.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

TEST(decision_log, keepsTheNewestAndCutsLongDetails)
{
    decision_log log(3);
    for (int i = 0; i < 5; ++i) {
        log.add({ time_point(std::chrono::seconds(i)),
                  decision_kind::Routed,
                  subject_kind::Request,
                  i % 2 == 0 ? "even" : "odd",
                  error_kind::None,
                  std::string(1000, 'x') });
    }
    EXPECT_EQ(log.added(), 5U);
    EXPECT_EQ(log.newest(10).size(), 3U);
    EXPECT_EQ(log.newest(10).front().at, time_point(std::chrono::seconds(2)));
    EXPECT_EQ(log.about(subject_kind::Request, "even").size(), 2U);
    EXPECT_EQ(log.about(subject_kind::Run, "even").size(), 0U);
    EXPECT_EQ(log.newest(1).front().detail.size(), decision_log::detailLimit);
}

TEST(rendezvous, movesOnlyTheKeysOfTheCandidateThatLeft)
{
    const std::vector<std::string> before{ "a", "b", "c", "d" };
    const std::vector<std::string> after{ "a", "b", "d" };
    for (int i = 0; i < 1000; ++i) {
        const std::string key = "key" + std::to_string(i);
        const std::string &old = before[rendezvousChoose(key, before, 1)[0]];
        if (old != "c") {
            EXPECT_EQ(after[rendezvousChoose(key, after, 1)[0]], old);
        }
    }
    EXPECT_EQ(rendezvousChoose("key", before, 9).size(), 4U);
}

TEST(cbor_codec, refusesBytesThatAreNoMessage)
{
    const envelope sent{ "ping", 7, true, { { "a", 1 } } };
    const std::vector<std::uint8_t> bytes = encodeEnvelope(sent);
    const result<envelope> received = decodeEnvelope(bytes);
    ASSERT_TRUE(received);
    EXPECT_EQ(received->name, "ping");
    EXPECT_EQ(received->correlation, 7U);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_CHECK(decodeEnvelope(std::span(bytes).first(size)));
            return {};
        });
        EXPECT_TRUE(error) << size;
    }
}

} // namespace
} // namespace reedtrail
