// Servers of two builds, versions of their software, serve one service. What two builds write does not fit together.

#include "platform/testing/build_engine.h"
#include "platform/testing/node_fixture.h"

#include <set>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::build_engine;
using testing::node_fixture;
using testing::recorded_exchange;
using testing::test_server;

/** A node with a server of build v1 and one of v2. */
struct mixed_fixture : node_fixture
{
    mixed_fixture()
    {
        attach(first, firstEngine);
        attach(second, secondEngine);
        enter(second.id, second.address, "ready", 100, "v2");
        awaitNewState();
    }
    static void attach(test_server &server, build_engine &engine)
    {
        server.script = [&engine](const std::shared_ptr<http_exchange> &exchange) {
            engine.serve(exchange);
        };
    }
    /** Lets the state at hand become too old, so that the next request reads the registrations again. */
    void awaitNewState()
    {
        run(1300ms);
    }
    /** Starts a job of one item. @param texts receives the texts of its results */
    std::shared_ptr<job_worker> startItem(std::vector<std::string> &texts)
    {
        job_spec spec;
        job_item item;
        item.id = "item-1";
        item.path = "/j/1";
        item.expectedTokens = 10;
        spec.items.push_back(item);
        job_metadata metadata;
        metadata.host = "h";
        metadata.path = "/j/1";
        const auto record = [&texts](const std::vector<item_result> &results, const std::string &) {
            for (const item_result &each : results) {
                texts.push_back(each.output);
            }
        };
        job_worker::recorder recorder{ record,
                                       [this](const std::string &drafts) {
                                           keptDrafts = drafts;
                                       },
                                       [] {
                                           return false;
                                       } };
        return std::make_shared<job_worker>(*context, *fleet, "job", metadata, spec, loop.now(), recorder);
    }
    /** Runs a job of one item to its result. @return its text */
    std::string runItem()
    {
        std::vector<std::string> texts;
        const auto worker = startItem(texts);
        EXPECT_TRUE(runUntil([&] {
            worker->advance();
            return !texts.empty();
        }));
        worker->stop();
        return texts.empty() ? "" : texts.front();
    }
    /** Sends a caller's request for a stream and returns the answer once it has ended. */
    std::shared_ptr<recorded_exchange> stream(const http_fields &fields = {}, const std::string &body = "prompt")
    {
        const auto exchange = startRequest(body, "/t/1", fields);
        EXPECT_TRUE(runUntil([&] {
            return exchange->isDone;
        }));
        return exchange;
    }
    /** Returns how often servers were asked to go on after an event. */
    std::size_t continuedRuns() const
    {
        const auto count = [](const build_engine &engine) {
            return static_cast<std::size_t>(std::ranges::count_if(engine.askedAfter, [](const std::string &after) {
                return !after.empty();
            }));
        };
        return count(firstEngine) + count(secondEngine);
    }
    build_engine &engineThatBegan()
    {
        return firstEngine.askedAfter.empty() ? secondEngine : firstEngine;
    }

    build_engine firstEngine{ loop, "v1" };
    build_engine secondEngine{ loop, "v2" };
    std::string keptDrafts;
};

std::string wholeText(const std::string &build)
{
    std::string text = build;
    for (int i = 1; i < build_engine::eventsOfStream; ++i) {
        text += "\n" + build;
    }
    return text;
}

/** Returns the builds whose events a stream holds. */
std::set<std::string> buildsIn(const std::string &stream)
{
    std::set<std::string> builds;
    for (const char *build : { "v1", "v2", "v3" }) {
        if (stream.find(std::string("data: ") + build) != std::string::npos) {
            builds.insert(build);
        }
    }
    return builds;
}

/** The server breaks the stream off, and only a server of another build is left. */
TEST(mixed_builds_test, streamIsContinuedOnServerOfOtherBuild)
{
    mixed_fixture fixture;
    fixture.firstEngine.eventsBeforeCut = fixture.secondEngine.eventsBeforeCut = 2;
    const auto exchange = fixture.stream();
    EXPECT_EQ(buildsIn(exchange->response.body).size(), 1U) << exchange->response.body;
}

/** An item's run breaks off, and only a server of another build is free. */
TEST(mixed_builds_test, textOfItemHoldsEventsOfTwoBuilds)
{
    mixed_fixture fixture;
    fixture.firstEngine.eventsBeforeCut = fixture.secondEngine.eventsBeforeCut = 4;
    const std::string text = fixture.runItem();
    EXPECT_TRUE(text == wholeText("v1") || text == wholeText("v2")) << text;
}

/** A caller takes up a stream that a server of build v1 began, and only a server of v2 is left. */
TEST(mixed_builds_test, clientsStreamIsContinuedOnServerOfOtherBuild)
{
    mixed_fixture fixture;
    fixture.fleet->recordLeaving("i-1", "test");
    fixture.stream({ { "Last-Event-Id", "1" }, { "Resumes", "request-at-v1" } });
    EXPECT_EQ(fixture.continuedRuns(), 0U);
}

} // namespace
} // namespace reedtrail
