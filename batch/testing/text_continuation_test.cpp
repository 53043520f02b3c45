#include "batch/text_continuation.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

/** A text of a certain origin, of whose build a server is registered. */
text_continuation makeText(duration waited, duration timeToRepeat)
{
    return { .hasServerOfBuild = true, .isOriginCertain = true, .waited = waited, .timeToRepeat = timeToRepeat };
}

TEST(text_continuation_test, waitsAsLongAsMakingTextAgainTakes)
{
    struct row
    {
        const char *what;
        text_continuation text;
        bool shouldWait;
    };
    const row rows[] = {
        { "it has just broken off", makeText(0s, 1s), true },
        { "a short text", makeText(100ms, 5ms), true },
        { "a short text that has waited for its proof", makeText(200ms, 5ms), false },
        { "a long text", makeText(900ms, 1s), true },
        { "making it again would be done by now", makeText(1s, 1s), false },
        { "a very long text", makeText(1500ms, 20s), false },
    };
    for (const row &each : rows) {
        SCOPED_TRACE(each.what);
        EXPECT_EQ(each.text.shouldWait(), each.shouldWait);
        EXPECT_EQ(each.text.mayUseFailedServer(), !each.shouldWait) << "the last resort before it is begun anew";
        EXPECT_TRUE(each.text.mayStart());
    }
}

TEST(text_continuation_test, nothingIsWorthWaitingForWithoutServerOrOrigin)
{
    text_continuation text = makeText(0s, 20s);
    text.hasServerOfBuild = false;
    EXPECT_FALSE(text.mayStart());
    EXPECT_FALSE(text.shouldWait());
    text = makeText(0s, 20s);
    text.isOriginCertain = false;
    EXPECT_FALSE(text.mayStart());
    EXPECT_FALSE(text.shouldWait());
    text.mayOriginBecomeCertain = true;
    EXPECT_TRUE(text.shouldWait());
    EXPECT_FALSE(text.mayStart());
}

TEST(text_continuation_test, serverThatFailsAgainAndAgainIsLeft)
{
    text_continuation text = makeText(2s, 1s);
    text.breaksWithoutEvent = text_continuation::maxBreaksWithoutEvent;
    EXPECT_FALSE(text.mayUseFailedServer());
    EXPECT_FALSE(text.shouldWait());
}

} // namespace
} // namespace reedtrail
