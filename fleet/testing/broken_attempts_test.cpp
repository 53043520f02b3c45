#include "fleet/broken_attempts.h"

#include <gtest/gtest.h>
#include <optional>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr time_point brokenAt(10s);

server_entry makeServer(const std::string &id, std::uint16_t port, std::int64_t startedAt)
{
    server_entry entry;
    entry.id = id;
    entry.service = "s";
    entry.address = { "127.0.0.1", port };
    entry.startedAt = startedAt;
    return entry;
}

/** An attempt at i-1 on port 1, started at 100, broke off. What do the registrations say afterwards? */
TEST(broken_attempts_test, laterInstanceAtSameIdOrAddressShowsEnd)
{
    struct row
    {
        const char *what;
        server_entry registered;
        duration after;
        bool isEnded;
    };
    const row rows[] = {
        { "the same instance", makeServer("i-1", 1, 100), 1s, false },
        { "a later one under its id", makeServer("i-1", 1, 101), 1s, true },
        { "a later one under its id, elsewhere", makeServer("i-1", 2, 101), 1s, true },
        { "a later one at its address", makeServer("i-2", 1, 101), 1s, true },
        { "an earlier one under its id, read late", makeServer("i-1", 1, 99), 1s, false },
        { "another server", makeServer("i-2", 2, 101), 1s, false },
        { "a later one, long after", makeServer("i-1", 1, 101), broken_attempts::memory + 1ms, false },
    };
    for (const row &each : rows) {
        SCOPED_TRACE(each.what);
        broken_attempts attempts;
        attempts.add({ {}, "r", "i-1", { "127.0.0.1", 1 }, 100, brokenAt });
        server_directory servers;
        servers.put(each.registered);
        EXPECT_EQ(attempts.takeEnded(brokenAt + each.after, servers).size(), each.isEnded ? 1U : 0U);
        EXPECT_TRUE(attempts.takeEnded(brokenAt + each.after, servers).empty()) << "an end counts once";
    }
}

/** An attempt at i-1 on port 1, started at 100, was left without an answer. What do the registrations say afterwards? */
TEST(broken_attempts_test, lapseShowsEndOfUnresponsiveServer)
{
    server_entry draining = makeServer("i-1", 1, 100);
    draining.isDraining = true;
    struct row
    {
        const char *what;
        std::optional<server_entry> registered;
        duration after;
        bool isEnded;
    };
    const row rows[] = {
        { "the same instance", makeServer("i-1", 1, 100), 1s, false },
        { "none", std::nullopt, 4s, true },
        { "none, long after", std::nullopt, broken_attempts::silentMemory + 1ms, false },
        { "a later one at its address", makeServer("i-2", 1, 101), 6s, true },
        { "the same instance, which drains", draining, 1s, false },
    };
    for (const row &each : rows) {
        SCOPED_TRACE(each.what);
        broken_attempts attempts;
        attempts.add({ {}, "r", "i-1", { "127.0.0.1", 1 }, 100, brokenAt, true });
        server_directory servers;
        if (each.registered) {
            servers.put(*each.registered);
        }
        EXPECT_EQ(attempts.takeEnded(brokenAt + each.after, servers).size(), each.isEnded ? 1U : 0U);
        EXPECT_TRUE(attempts.takeEnded(brokenAt + each.after, servers).empty()) << "an end counts once";
    }
}

/** Guards against innocent requests that count as crashing as a server that drains takes too long for them and then leaves. */
TEST(broken_attempts_test, serverThatDrainsAndLeavesHasNotEndedUnderRequest)
{
    broken_attempts attempts;
    attempts.add({ {}, "r", "i-1", { "127.0.0.1", 1 }, 100, brokenAt, true });
    server_entry draining = makeServer("i-1", 1, 100);
    draining.isDraining = true;
    server_directory servers;
    servers.put(draining);
    EXPECT_TRUE(attempts.takeEnded(brokenAt + 1s, servers).empty());
    EXPECT_TRUE(attempts.takeEnded(brokenAt + 2s, server_directory()).empty());
}

/** The same if only the server's own word tells that it leaves, as its registration was not read while it drained. */
TEST(broken_attempts_test, serverThatSaidThatItLeavesHasNotEndedUnderRequest)
{
    broken_attempts attempts;
    attempts.add({ {}, "r", "i-1", { "127.0.0.1", 1 }, 100, brokenAt, true });
    server_directory servers;
    servers.put(makeServer("i-1", 1, 100));
    servers.recordLeaving(brokenAt, "i-1");
    servers.remove(brokenAt + 1s, "i-1", std::nullopt);
    EXPECT_TRUE(attempts.takeEnded(brokenAt + 1s, servers).empty());
}

TEST(broken_attempts_test, instanceThatAnswersHasNotEnded)
{
    broken_attempts attempts;
    attempts.add({ {}, "r", "i-1", { "127.0.0.1", 1 }, 100, brokenAt, true });
    attempts.recordAnswer("i-1", 99);
    EXPECT_FALSE(attempts.isEmpty()) << "another instance";
    attempts.recordAnswer("i-1", 100);
    EXPECT_TRUE(attempts.isEmpty());
}

TEST(broken_attempts_test, tableIsBounded)
{
    broken_attempts attempts;
    server_directory servers;
    servers.put(makeServer("i-1", 1, 101));
    for (std::size_t i = 0; i < 2 * broken_attempts::maxAttempts; ++i) {
        attempts.add({ {}, "r", "i-1", { "127.0.0.1", 1 }, 100, brokenAt });
    }
    EXPECT_EQ(attempts.takeEnded(brokenAt, servers).size(), broken_attempts::maxAttempts);
}

} // namespace
} // namespace reedtrail
