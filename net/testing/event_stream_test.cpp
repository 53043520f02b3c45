#include "net/event_stream.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

// Guards against events that are lost or damaged when a part ends within a line or line end: splits the input into parts of every size.
TEST(event_stream_test, readsEventsForEveryPartSize)
{
    const std::string text = "weight-versions: 7\nid: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: lines\r\n\r\n: comment\nid: 3\ndata:three\n\n";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        event_stream_reader reader;
        std::vector<server_event> events;
        std::string bytes;
        for (std::size_t at = 0; at < text.size(); at += size) {
            for (server_event &event : reader.feed(std::string_view(text).substr(at, size))) {
                bytes += event.bytes;
                events.push_back(std::move(event));
            }
        }
        ASSERT_EQ(events.size(), 3U) << "part size " << size;
        EXPECT_TRUE(reader.isBetweenEvents());
        EXPECT_EQ(bytes, text);
        EXPECT_EQ(events[0].others.at(0).value, "7");
        EXPECT_EQ(events[1].data, "two\nlines");
        EXPECT_EQ(events[2].id, "3");
        EXPECT_EQ(events[2].data, "three");
    }
}

// Guards against a truncated body that passes for a complete one.
TEST(event_stream_test, reportsIncompleteEvent)
{
    event_stream_reader reader;
    EXPECT_TRUE(reader.feed("id: 1\ndata: on").empty());
    EXPECT_FALSE(reader.isBetweenEvents());
    EXPECT_EQ(reader.feed("e\n\n").size(), 1U);
    EXPECT_TRUE(reader.isBetweenEvents());
}

} // namespace
} // namespace reedtrail
