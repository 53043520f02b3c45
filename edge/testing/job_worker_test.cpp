#include "edge/job_worker.h"

#include "edge/testing/node_fixture.h"

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::node_fixture;

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
        fixture.run(150ms);
        worker->advance();
        EXPECT_EQ(abandoned, 0U) << offset.count();
        EXPECT_EQ(fixture.first.requests + fixture.second.requests, 1) << offset.count();
        worker->stop();
    }
}

} // namespace
} // namespace reedtrail
