// Measures the time and the memory allocations of a routing decision with 20, 100 and 600 servers at about half load. One decision covers a request that
// arrives and is dispatched, and the end of an earlier request. Google Benchmark takes the time; a replaced operator new counts the allocations.

#include "bench/benchmark.h"

#include "base/random.h"
#include "routing/request_scheduler.h"

#include <algorithm>
#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>
#include <vector>

namespace {
std::atomic<std::uint64_t> allocationCount{ 0 };
}

// Replaces the global operator new to count the allocations of the whole program.
void *operator new(std::size_t size)
{
    allocationCount.fetch_add(1, std::memory_order_relaxed);
    void *memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace reedtrail::bench {
namespace {

constexpr std::int64_t slotsPerServer = 64;
constexpr std::uint64_t promptTemplates = 500;
constexpr std::uint64_t prefixBlocks = 6;
constexpr std::size_t idCount = 200000;
constexpr int warmUpRounds = 60000;
constexpr std::size_t batchSize = 64; ///< Decisions timed together, so that the cost of starting and stopping the clock is negligible.
constexpr int batches = 4000;

/** A scheduler whose servers report half of their slots as busy, and a generator of requests for it. */
class scheduler_fixture
{
public:
    scheduler_fixture(std::int64_t servers, std::uint64_t seed)
        : m_random(seed)
        , m_scheduler({}, zone_id("z0"), seed)
    {
        fleet_document document;
        document.customers.resize(8);
        for (std::size_t index = 0; index < document.customers.size(); ++index) {
            document.customers[index].id = customer_id("c" + std::to_string(index));
            m_customers.push_back(document.customers[index].id);
        }
        pool_settings pool;
        pool.id = m_pool;
        for (std::int64_t index = 0; index < servers; ++index) {
            server_settings server;
            server.id = server_id("s" + std::to_string(index));
            server.zone = zone_id(index % 4 == 0 ? "z0" : "z1");
            server.slots = slotsPerServer;
            pool.servers.push_back(server);
        }
        document.pools.push_back(pool);
        m_scheduler.applyDocument(m_now, document, {}, m_actions);
        reportLoads(document);
        for (std::size_t index = 0; index < idCount; ++index) {
            m_ids.push_back(request_id("r" + std::to_string(index)));
        }
        for (int round = 0; round < warmUpRounds; ++round) {
            decide(nextRequest());
        }
    }
    /** Advances the clock by 100 us, runs due timers and returns the next request. Not part of the measured decision. */
    arriving_request nextRequest()
    {
        m_now += std::chrono::microseconds(100);
        m_actions.clear();
        m_scheduler.onTimer(m_now, m_actions);
        m_actions.clear();
        arriving_request request;
        request.id = m_ids[m_nextId++ % m_ids.size()];
        request.customer = m_customers[m_random.below(m_customers.size())];
        request.pool = m_pool;
        request.deadline = m_now + std::chrono::seconds(30);
        request.expectedTokens = 100;
        const std::uint64_t chosen = m_random.below(promptTemplates) + 1;
        for (std::uint64_t block = 1; block <= prefixBlocks; ++block) {
            request.prefixHashes.push_back((chosen * 64 + block) * 0x9E3779B97F4A7C15U);
        }
        return request;
    }
    /** Runs one measured decision: the arrival of @p request, and the end of the request that arrived openRequests arrivals earlier. */
    void decide(arriving_request request)
    {
        m_actions.clear();
        m_scheduler.onArrival(m_now, std::move(request), m_actions);
        ++m_decisions;
        if (m_decisions > openRequests) {
            m_scheduler.onAttemptEnd(m_now, m_ids[(m_decisions - openRequests - 1) % m_ids.size()], 1, attempt_end::Answered, m_actions);
        }
    }

private:
    static constexpr std::size_t openRequests = 64;
    void reportLoads(const fleet_document &document)
    {
        for (const server_settings &server : document.pools[0].servers) {
            server_load load;
            load.server = server.id;
            load.running = slotsPerServer / 2;
            load.slots = slotsPerServer;
            load.sequence = 1;
            m_scheduler.onLoad(m_now, load, m_actions);
        }
    }

    random_source m_random;
    time_point m_now{ std::chrono::seconds(100) };
    pool_id m_pool{ "p" };
    std::vector<customer_id> m_customers;
    std::vector<request_id> m_ids;
    request_scheduler m_scheduler;
    request_scheduler::actions m_actions;
    std::size_t m_decisions = 0;
    std::size_t m_nextId = 0; ///< Index of the id of the next request.
};

/** Mean cost of one decision. */
struct decide_result
{
    double nanoseconds = 0;
    double allocations = 0;
};

/** Stores the time of the last run instead of printing it. */
class capturing_reporter : public ::benchmark::BenchmarkReporter
{
public:
    bool ReportContext(const Context &) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    void ReportRuns(const std::vector<Run> &runs) override // NOLINT(readability-identifier-naming)
    {
        for (const Run &run : runs) {
            nanoseconds = run.GetAdjustedRealTime();
        }
    }
    double nanoseconds = 0;
};

decide_result measure(std::int64_t servers, std::uint64_t seed)
{
    scheduler_fixture setup(servers, seed);
    std::uint64_t allocations = 0;
    std::uint64_t rounds = 0;
    ::benchmark::ClearRegisteredBenchmarks();
    ::benchmark::RegisterBenchmark("decide", [&](::benchmark::State &state) {
        std::vector<arriving_request> batch(batchSize);
        for (auto unused : state) {
            static_cast<void>(unused);
            state.PauseTiming();
            for (arriving_request &request : batch) {
                request = setup.nextRequest();
            }
            const std::uint64_t before = allocationCount.load();
            state.ResumeTiming();
            for (arriving_request &request : batch) {
                setup.decide(std::move(request));
            }
            state.PauseTiming();
            allocations += allocationCount.load() - before;
            rounds += batchSize;
            state.ResumeTiming();
        }
    })->Iterations(batches);
    capturing_reporter reporter;
    ::benchmark::RunSpecifiedBenchmarks(&reporter);
    return { reporter.nanoseconds / batchSize, static_cast<double>(allocations) / static_cast<double>(rounds) };
}

void runDecide(const bench_options &options, bench_report &report)
{
    double smallestFleetTime = 0;
    double largestFleetTime = 0;
    double allocations = 0;
    for (const std::int64_t servers : { 20, 100, 600 }) {
        printProgress(std::to_string(servers) + " servers");
        const decide_result result = measure(servers, options.seed);
        report.figure("nanosecondsAt" + std::to_string(servers), result.nanoseconds, "ns");
        smallestFleetTime = servers == 20 ? result.nanoseconds : smallestFleetTime;
        largestFleetTime = result.nanoseconds;
        allocations = std::max(allocations, result.allocations);
    }
    report.figure("allocations", allocations, "per decision", exactly(0));
    report.figure("costOf600Over20", largestFleetTime / smallestFleetTime, "ratio", atMost(2));
}

const registered_benchmark decide("decide", "Time and allocations of a routing decision", {}, runDecide);

} // namespace
} // namespace reedtrail::bench
