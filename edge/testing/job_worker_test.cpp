#include "edge/job_worker.h"

#include "edge/job_order.h"

#include "platform/testing/node_fixture.h"
#include "platform/testing/scripted_engine.h"

#include <algorithm>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::node_fixture;
using testing::scripted_engine;
using testing::served_run;
using testing::versionLine;

/** Returns a job of one item for the route of the fixture. */
job_spec singleItemJob()
{
    job_spec spec;
    job_item item;
    item.id = "item-1";
    item.path = "/j/1";
    item.expectedTokens = 10;
    spec.items.push_back(item);
    return spec;
}

/** The clocks of the node that accepted a job and of its owner jump in opposite directions. No item may be given up for that. */
TEST(job_worker_test, steppedClocksDoNotShortenLifetimeOfItems)
{
    for (const std::chrono::milliseconds offset : { std::chrono::milliseconds(-1h), std::chrono::milliseconds(-12s), std::chrono::milliseconds(1h) }) {
        node_fixture fixture;
        fixture.first.isStreaming = fixture.second.isStreaming = true;
        job_metadata metadata;
        metadata.host = "h";
        metadata.path = "/j/1";
        metadata.submittedAtMs = unixMilliseconds() + offset.count();
        std::size_t abandoned = 0;
        const auto worker = std::make_shared<job_worker>(*fixture.context,
                                                         *fixture.fleet,
                                                         "job",
                                                         metadata,
                                                         singleItemJob(),
                                                         fixture.loop.now(),
                                                         job_worker::recorder{ [&](const std::vector<item_result> &results, const std::string &) {
                                                                                  abandoned += results.size();
                                                                              },
                                                                               [](const std::string &) {},
                                                                               [] {
                                                                                   return false;
                                                                               } });
        worker->advance();
        EXPECT_TRUE(fixture.runUntil([&] {
            return abandoned > 0 || fixture.first.requests + fixture.second.requests > 0;
        }));
        worker->advance();
        EXPECT_EQ(abandoned, 0U) << offset.count();
        EXPECT_EQ(fixture.first.requests + fixture.second.requests, 1) << offset.count();
        worker->stop();
    }
}

/** Scorers that always fail are asked as often as the route of their call or that of the job allows, whatever the routes of other items' calls say. */
TEST(job_worker_test, itemIsAbandonedByLimitOfAnotherItemsRoute)
{
    node_fixture fixture;
    fixture.putConfiguration(2,
                             { { "j", "/j/", route_kind::Batch, true, 3 },
                               { "strict", "/strict/", route_kind::Idempotent, true, 2 },
                               { "lenient", "/lenient/", route_kind::Idempotent, true, 5 } });
    fixture.readAgain();
    std::map<std::string, int> scoreCalls;
    const served_run whole{ .version = "6", .parts = { { 0ms, "id: 1\ndata: a\n\n" } } };
    scripted_engine engine(fixture.loop, { whole });
    fixture.setScript([&](const std::shared_ptr<http_exchange> &exchange) {
        const std::string path(exchange->request().path());
        if (path == "/j/1") {
            engine.serve(exchange);
            return;
        }
        ++scoreCalls[path];
        exchange->respond({ http_status::internalError, testing::serverFields(exchange->request()), "failed" });
    });
    job_spec spec;
    for (const char *path : { "/strict/1", "/lenient/1", "/strict/2", "/lenient/2" }) {
        job_item item = singleItemJob().items.front();
        item.id = std::string("item") + path;
        item.score = score_call{ std::string("score") + path, "h", path, "" };
        spec.items.push_back(item);
    }
    const std::vector<item_result> results = fixture.runJob(spec);
    EXPECT_EQ(scoreCalls, (std::map<std::string, int>{ { "/strict/1", 3 }, { "/strict/2", 3 }, { "/lenient/1", 5 }, { "/lenient/2", 5 } }));
    for (const item_result &each : results) {
        EXPECT_FALSE(each.isCompleted) << each.id;
    }
}

/** Behaviours of model servers that a text must survive: whole, in order, and with the versions that made it. */
TEST(job_worker_test, textSurvivesBehavioursOfModelServers)
{
    struct row
    {
        const char *what;
        std::vector<served_run> runs;
        std::string text;
        std::vector<std::uint64_t> versions;
        std::vector<std::string> resumedAfter;
    };
    const served_run whole{ .version = "6", .parts = { { 0ms, "id: 1\ndata: a\n\n" }, { 5ms, "id: 2\ndata: b\n\n" } } };
    const served_run full{ .status = http_status::unavailable, .isNotExecuted = true };
    const row rows[] = {
        { "a request that is larger than the memory left is rejected as if the server were full", { full, full, whole }, "a\nb", { 6 }, { "", "", "" } },
        { "a preempted request pauses in the middle of its stream",
          { { .version = "6", .parts = { { 0ms, "id: 1\ndata: a\n\n" }, { 700ms, "id: 2\ndata: b\n\n" } } } },
          "a\nb",
          { 6 },
          { "" } },
        { "an event holds several tokens",
          { { .version = "6", .parts = { { 0ms, "id: 1\ndata: a few tokens\n\nid: 2\ndata: and more\n\n" } } } },
          "a few tokens\nand more",
          { 6 },
          { "" } },
        { "the version changes within the stream",
          { { .version = "6", .parts = { { 0ms, "id: 1\ndata: a\n\n" }, { 5ms, versionLine(7) + "id: 2\ndata: b\n\n" } } } },
          "a\nb",
          { 6, 7 },
          { "" } },
        { "the stream is cut in the middle of an event",
          { { .version = "6", .parts = { { 0ms, "id: 1\ndata: a\n\nid: 2\nda" } }, .isCut = true },
            { .version = "7", .parts = { { 0ms, "id: 2\ndata: b\n\n" } } } },
          "a\nb",
          { 6, 7 },
          { "", "1" } },
        { "a piece of the stream arrives byte by byte",
          { { .version = "6", .parts = { { 0ms, "id: 1\nd" }, { 5ms, "ata: a" }, { 5ms, "\n" }, { 5ms, "\nid: 2\ndata: b\n\n" } } } },
          "a\nb",
          { 6 },
          { "" } },
    };
    for (const row &each : rows) {
        SCOPED_TRACE(each.what);
        node_fixture fixture;
        scripted_engine engine(fixture.loop, each.runs);
        fixture.setScript([&engine](const std::shared_ptr<http_exchange> &exchange) {
            engine.serve(exchange);
        });
        const std::vector<item_result> results = fixture.runJob(singleItemJob());
        ASSERT_EQ(results.size(), 1U);
        EXPECT_TRUE(results.front().isCompleted);
        EXPECT_EQ(results.front().output, each.text);
        EXPECT_EQ(results.front().versions, each.versions);
        EXPECT_EQ(engine.resumedAfter, each.resumedAfter);
    }
}

/** A job whose items find no place says how much waits, until when and since when, so that another one may go first. */
TEST(job_worker_test, jobWithoutPlacesMakesNoClaim)
{
    testing::node_fixture fixture;
    fixture.first.isStreaming = fixture.second.isStreaming = true;
    const auto worker = fixture.startJob(11); // The two servers have four places each.
    EXPECT_TRUE(fixture.runUntil([&] {
        return worker->progress().count(item_stage::Running) == 8;
    }));
    EXPECT_TRUE(worker->isShortOfPlaces());
    EXPECT_EQ(worker->places(), 8);
    const time_point now = fixture.loop.now();
    const std::optional<work_claim> claim = worker->claim(now);
    ASSERT_TRUE(claim);
    EXPECT_EQ(claim->value, 1);
    EXPECT_GT(claim->due, now);
    EXPECT_GE(claim->work, std::chrono::seconds(3)) << "three items wait, and a text takes about a second";
    EXPECT_LE(claim->waitingSince, now);
    worker->stop();
    EXPECT_FALSE(fixture.startJob(0)->claim(now)) << "nothing waits";
}

/** A job that competes with no other one was ranked as if it had a single place, and was put off behind the scores of jobs of other models. */
TEST(job_worker_test, jobThatIsAloneIsPutOff)
{
    testing::node_fixture fixture;
    fixture.first.isStreaming = fixture.second.isStreaming = true;
    const std::vector<std::shared_ptr<job_worker>> workers = { fixture.startJob(100) };
    const std::vector<waiting_job> order = orderWaitingJobs(fixture.loop.now(), workers);
    ASSERT_EQ(order.size(), 1U);
    EXPECT_GT(order[0].claim.work, order[0].claim.due - fixture.loop.now()) << "too much for one place";
    EXPECT_EQ(order[0].rank, room_rank::InTime);
    EXPECT_FALSE(isRoomShort(order));
    workers[0]->stop();
}

} // namespace
} // namespace reedtrail
