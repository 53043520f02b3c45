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
    explicit mixed_fixture(http_client_options clientOptions = {})
        : node_fixture(std::move(clientOptions))
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

    /** Returns an origin of the stream that stream() asks for. */
    static stream_origin originAt(const std::string &build, const std::string &prompt = "prompt")
    {
        stream_origin origin;
        origin.request = identify(outlineOf("POST", "h", "/t/1", prompt), prompt).digest;
        origin.service = "s";
        origin.build = build;
        origin.isProven = true;
        return origin;
    }
    std::size_t runs() const
    {
        return firstEngine.askedAfter.size() + secondEngine.askedAfter.size();
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

/** The server breaks an item's run off and is gone. The text is made anew by the other build, without a rest of the old one. */
TEST(mixed_builds_test, textIsBegunAnewOnceNoServerOfItsBuildIsLeft)
{
    mixed_fixture fixture;
    fixture.firstEngine.eventsBeforeCut = fixture.secondEngine.eventsBeforeCut = 3;
    std::vector<std::string> texts;
    const auto worker = fixture.startItem(texts);
    worker->advance();
    ASSERT_TRUE(fixture.runUntil([&] {
        return worker->progress().state(0).lastEvent == 3;
    }));
    const bool hasFirstBegun = !fixture.firstEngine.askedAfter.empty();
    build_engine &other = hasFirstBegun ? fixture.secondEngine : fixture.firstEngine;
    other.eventsBeforeCut = 0;
    fixture.removeServer(hasFirstBegun ? "i-1" : "i-2");
    fixture.awaitNewState();
    EXPECT_TRUE(fixture.runUntil([&] {
        worker->advance();
        return !texts.empty();
    }));
    worker->stop();
    ASSERT_EQ(texts.size(), 1U);
    EXPECT_EQ(texts.front(), wholeText(other.build));
}

/** The owner of a job stores the partial text with its build, and its successor goes on at that build only. */
TEST(mixed_builds_test, successorGoesOnAtBuildOfStoredText)
{
    for (const std::string build : { "v1", "v2", "" }) {
        SCOPED_TRACE(build);
        mixed_fixture fixture;
        std::vector<std::string> texts;
        const auto worker = fixture.startItem(texts);
        worker->restore(std::vector<item_draft>{ { "item-1", build + "\n" + build, 2, { 6 }, false, build } });
        EXPECT_TRUE(fixture.runUntil([&] {
            worker->advance();
            return !texts.empty();
        }));
        worker->stop();
        ASSERT_EQ(texts.size(), 1U);
        EXPECT_TRUE(texts.front() == wholeText("v1") || texts.front() == wholeText("v2")) << texts.front();
        EXPECT_EQ(fixture.continuedRuns(), build.empty() ? 0U : 1U) << "a text of an unknown build is begun anew";
        if (!build.empty()) {
            EXPECT_EQ(texts.front(), wholeText(build));
        }
    }
}

/** A caller takes up a stream that a server of build v1 began, and only a server of v2 is left. */
TEST(mixed_builds_test, clientsStreamIsContinuedOnServerOfOtherBuild)
{
    mixed_fixture fixture;
    fixture.fleet->recordLeaving("i-1", "test");
    fixture.stream({ { "Last-Event-Id", "1" }, { "Resumes", "request-at-v1" } });
    EXPECT_EQ(fixture.continuedRuns(), 0U);
}

/** Callers take a stream up at any time; it goes on at the build that began it, whichever server that is. */
TEST(mixed_builds_test, callersStreamGoesOnAtBuildThatBeganIt)
{
    for (const std::string build : { "v1", "v2" }) {
        SCOPED_TRACE(build);
        mixed_fixture fixture;
        fixture.origins->record("begun", mixed_fixture::originAt(build), 5s, 60s);
        const auto exchange = fixture.stream({ { "Last-Event-Id", "2" }, { "Resumes", "begun" } });
        EXPECT_EQ(exchange->response.status, http_status::ok);
        EXPECT_EQ(buildsIn(exchange->response.body), std::set<std::string>{ build });
        EXPECT_EQ(exchange->response.body.find("id: 3\n"), 0U) << exchange->response.body;
        EXPECT_FALSE(exchange->isAborted);
    }
}

/** A stream that this node relayed is known under the id of the attempt that brought its first event, also after several attempts. */
TEST(mixed_builds_test, streamIsTakenUpAfterSeveralAttempts)
{
    mixed_fixture fixture;
    fixture.firstEngine.eventsBeforeCut = fixture.secondEngine.eventsBeforeCut = 1;
    const auto first = fixture.stream({ { "Request-Id", "a1" } });
    ASSERT_TRUE(first->isAborted);
    const std::set<std::string> builds = buildsIn(first->response.body);
    ASSERT_EQ(builds.size(), 1U);
    const auto second = fixture.stream({ { "Request-Id", "a2" }, { "Last-Event-Id", "3" }, { "Resumes", "a1" } });
    EXPECT_EQ(buildsIn(second->response.body), builds);
    const auto third = fixture.stream({ { "Request-Id", "a3" }, { "Last-Event-Id", "5" }, { "Resumes", "a1" } });
    EXPECT_EQ(buildsIn(third->response.body), builds);
}

/** Claims that name no stream, or another one, get one clear answer, and no server is asked. */
TEST(mixed_builds_test, claimsThatNameNoKnownStreamAreRefusedAtOnce)
{
    struct row
    {
        const char *what;
        http_fields fields;
        std::uint16_t status;
    };
    const row rows[] = {
        { "unknown", { { "Last-Event-Id", "2" }, { "Resumes", "nobody" } }, http_status::unavailable },
        { "of another request", { { "Last-Event-Id", "2" }, { "Resumes", "other" } }, http_status::unavailable },
        { "of another service", { { "Last-Event-Id", "2" }, { "Resumes", "elsewhere" } }, http_status::unavailable },
        { "begun by an unknown build", { { "Last-Event-Id", "2" }, { "Resumes", "unknown-build" } }, http_status::unavailable },
        { "begun by a build without servers", { { "Last-Event-Id", "2" }, { "Resumes", "v0" } }, http_status::unavailable },
        { "begun by an instance that is not known", { { "Last-Event-Id", "2" }, { "Resumes", "unproven" } }, http_status::unavailable },
        { "no claim", { { "Last-Event-Id", "2" } }, http_status::unavailable },
        { "no event", { { "Resumes", "begun" } }, http_status::badRequest },
        { "named twice", { { "Last-Event-Id", "2" }, { "Resumes", "begun" }, { "Resumes", "begun" } }, http_status::badRequest },
        { "two events", { { "Last-Event-Id", "2" }, { "Last-Event-Id", "3" }, { "Resumes", "begun" } }, http_status::badRequest },
        { "very long", { { "Last-Event-Id", "2" }, { "Resumes", std::string(5000, 'x') } }, http_status::badRequest },
        { "garbage", { { "Last-Event-Id", "2" }, { "Resumes", "a\x01 b" } }, http_status::badRequest },
    };
    mixed_fixture fixture;
    fixture.origins->record("begun", mixed_fixture::originAt("v1"), 60s, 60s);
    fixture.origins->record("other", mixed_fixture::originAt("v1", "another prompt"), 60s, 60s);
    fixture.origins->record("unknown-build", mixed_fixture::originAt(""), 60s, 60s);
    fixture.origins->record("v0", mixed_fixture::originAt("v0"), 60s, 60s);
    stream_origin elsewhere = mixed_fixture::originAt("v1");
    elsewhere.service = "another service";
    fixture.origins->record("elsewhere", elsewhere, 60s, 60s);
    stream_origin unproven = mixed_fixture::originAt("v1");
    unproven.isProven = false;
    unproven.server = "i-9";
    unproven.startedAt = 100;
    fixture.origins->record("unproven", unproven, 60s, 60s);
    const std::size_t known = fixture.origins->size();
    for (const row &each : rows) {
        SCOPED_TRACE(each.what);
        const auto exchange = fixture.stream(each.fields);
        EXPECT_EQ(exchange->response.status, each.status);
        EXPECT_NE(exchange->response.body.find("error"), std::string::npos);
        EXPECT_EQ(fixture.runs(), 0U);
    }
    EXPECT_EQ(fixture.origins->size(), known) << "a claim enters nothing";
    EXPECT_EQ(fixture.stream({ { "Last-Event-Id", "2" }, { "Resumes", "begun" } })->response.status, http_status::ok);
}

/** The store does not answer, so what began a stream on a new connection is not known now, but may be soon. */
TEST(mixed_builds_test, streamIsTakenUpOnceStoreTellsWhatBeganIt)
{
    mixed_fixture fixture;
    ASSERT_EQ(fixture.stream({ { "Request-Id", "warm" } })->response.status, http_status::ok) << "the registrations are read";
    stream_origin origin = mixed_fixture::originAt("v1");
    origin.isProven = false;
    origin.server = "i-1";
    origin.startedAt = 100;
    fixture.origins->record("begun", origin, 60s, 60s);
    fixture.transport.isCut = true;
    const http_fields claim{ { "Last-Event-Id", "2" }, { "Resumes", "begun" } };
    const auto refused = fixture.stream(claim);
    EXPECT_EQ(refused->response.status, http_status::unavailable);
    EXPECT_NE(refused->response.fields.get("Retry-After"), "");
    fixture.transport.isCut = false;
    fixture.run(300ms);
    EXPECT_EQ(buildsIn(fixture.stream(claim)->response.body), std::set<std::string>{ "v1" });
}

/** The server has started again under its id, with other software, and its registration is not read yet. What it begins is not known to be of any build. */
TEST(mixed_builds_test, streamOfRestartedServerIsNotTakenForThatOfItsOldBuild)
{
    mixed_fixture fixture({ .idleTimeout = 0ms }); // Each request opens a connection.
    fixture.fleet->recordLeaving("i-2", "test");
    fixture.enter("i-3", fixture.second.address, "ready", 100, "v1");
    EXPECT_EQ(fixture.stream({ { "Request-Id", "warm" } })->response.status, http_status::ok) << "the registrations are read";
    // From here on i-1 is v3, and breaks its stream off. What goes on at v1, i-3, would not fit.
    fixture.firstEngine.build = "v3";
    fixture.firstEngine.eventsBeforeCut = 2;
    fixture.secondEngine.build = "v1";
    fixture.secondEngine.eventsBeforeCut = 2;
    fixture.enter(fixture.first.id, fixture.first.address, "ready", 900, "v3");
    for (int i = 0; i < 6; ++i) {
        const auto exchange = fixture.stream({ { "Request-Id", "r" + std::to_string(i) } });
        EXPECT_LE(buildsIn(exchange->response.body).size(), 1U) << exchange->response.body;
    }
}

/**
 * A node has known one build since the deployment started, and is cut from the store while servers of another one join. A stream that began at one of them
 * through another node is taken up here.
 */
TEST(mixed_builds_test, nodeCutFromStoreGoesOnAtBuildThatItKnew)
{
    node_fixture fixture({}, std::nullopt, true);
    build_engine engine(fixture.loop, "v1");
    mixed_fixture::attach(fixture.first, engine);
    mixed_fixture::attach(fixture.second, engine);
    const auto takeUp = [&](const std::string &begunElsewhere) {
        const auto exchange = fixture.startRequest("prompt", "/t/1", { { "Last-Event-Id", "2" }, { "Resumes", begunElsewhere } });
        EXPECT_TRUE(fixture.runUntil([&] {
            return exchange->isDone;
        }));
        return exchange;
    };
    EXPECT_EQ(takeUp("a")->response.status, http_status::ok) << "there was never another build";
    fixture.transport.isCut = true;
    const auto refused = takeUp("b");
    EXPECT_EQ(refused->response.status, http_status::unavailable);
    EXPECT_EQ(refused->response.body.find("data:"), std::string::npos) << refused->response.body;
    EXPECT_NE(refused->response.fields.get("Retry-After"), "") << "the store may soon tell";
    fixture.transport.isCut = false;
    fixture.enter("i-3", { "127.0.0.1", testing::firstServerPort + 9 }, "ready", 500, "v2");
    fixture.run(300ms);
    const auto mixed = takeUp("c");
    EXPECT_EQ(mixed->response.status, http_status::unavailable) << "it may have begun at v2";
    EXPECT_EQ(mixed->response.fields.get("Retry-After"), "");
}

/** The server that would go on has started again with other software. Its events are held back until the registrations are read, and never passed on. */
TEST(mixed_builds_test, eventsOfRestartedServerAreNotPassedOn)
{
    mixed_fixture fixture({ .idleTimeout = 0ms }); // Each request opens a connection.
    fixture.origins->record("begun", mixed_fixture::originAt("v2"), 5s, 60s);
    EXPECT_EQ(fixture.stream({ { "Request-Id", "warm" } })->response.status, http_status::ok) << "the registrations are read";
    fixture.secondEngine.build = "v3";
    fixture.enter(fixture.second.id, fixture.second.address, "ready", 900, "v3");
    const auto exchange = fixture.stream({ { "Last-Event-Id", "2" }, { "Resumes", "begun" } });
    EXPECT_EQ(buildsIn(exchange->response.body), std::set<std::string>{}) << exchange->response.body;
    EXPECT_GE(exchange->response.status, 500);
}

} // namespace
} // namespace reedtrail
