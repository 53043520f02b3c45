// Measures the overhead of a gate on loopback: requests per second and latency through a complete gate (its two services, on real sockets) and of the same
// calls sent directly to the stand-in server. Rounds of both alternate within one run, so that other load on the machine affects both alike.

#include "bench/benchmark.h"
#include "gate/testing/gate_fixture.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <string>
#include <vector>

namespace reedtrail {
namespace {

constexpr std::uint16_t serverPort = 31110;
constexpr std::uint16_t gatePort = 31100;
constexpr std::size_t rounds = 4;
constexpr duration roundTime = std::chrono::milliseconds(1500);
constexpr std::size_t fewConnections = 4;
constexpr std::size_t manyConnections = 64;

/** Result of one round of calls, or the sum over several rounds. */
struct round_figures
{
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    double seconds = 0;
    std::vector<duration> latencies;
};

/** Closed-loop load generator: each connection sends its next call as soon as the previous one has ended. */
class closed_loop_caller
{
public:
    closed_loop_caller(const endpoint &where, http_request request)
        : m_where(where)
        , m_request(std::move(request))
    {
    }

    /** Calls on @p connections connections for roundTime. @return the result of the round */
    round_figures run(std::size_t connections)
    {
        http_client client(m_io, { .maximumIdlePerEndpoint = connections });
        m_figures = {};
        m_begin = monotonicNow();
        for (std::size_t each = 0; each < connections; ++each) {
            callNext(client);
        }
        m_io.restart();
        m_io.run();
        m_figures.seconds = toSeconds(monotonicNow() - m_begin);
        return std::move(m_figures);
    }

private:
    void callNext(http_client &client)
    {
        const time_point begin = monotonicNow();
        if (begin - m_begin >= roundTime) {
            return;
        }
        client.call(m_where, m_request, {}, [this, &client, begin](const http_call_end &end, const http_response &response) {
            const bool isGood = end.error == error_kind::None && response.status == 200;
            isGood ? ++m_figures.answered : ++m_figures.failed;
            m_figures.latencies.push_back(monotonicNow() - begin);
            callNext(client);
        });
    }

    boost::asio::io_context m_io;
    endpoint m_where;
    http_request m_request;
    round_figures m_figures;
    time_point m_begin;
};

/** Backend server that answers every request with a short text, and /load with a load report. */
class echo_server
{
public:
    echo_server()
    {
        m_loop.run([this] {
            http_server_options options;
            options.address = { "127.0.0.1", serverPort };
            m_server = std::make_unique<http_server>(m_loop.io, options, [](const std::shared_ptr<http_exchange> &exchange) {
                const bool isLoad = exchange->request().path() == "/load";
                exchange->respond(isLoad ? jsonResponse(200, R"({"server":"desk-0","waiting":0,"running":0,"slots":1000,"state":"ready"})")
                                         : textResponse(200, "the menu of the day"));
            });
            const std::optional<failure> error = failureOf([&]() -> result<void> {
                return m_server->start();
            });
            if (error) {
                throw std::runtime_error(error->detail);
            }
        });
    }
    ~echo_server()
    {
        m_loop.run([this] {
            m_server.reset();
        });
    }

private:
    testing::running_loop m_loop;
    std::unique_ptr<http_server> m_server;
};

void accumulate(round_figures &sum, const round_figures &round)
{
    sum.answered += round.answered;
    sum.failed += round.failed;
    sum.seconds += round.seconds;
    sum.latencies.insert(sum.latencies.end(), round.latencies.begin(), round.latencies.end());
}

double perSecond(const round_figures &figures)
{
    return static_cast<double>(figures.answered) / figures.seconds;
}

/** Returns the quantile @p share of the latencies, or 0 if there are none. Reorders the latencies. */
double quantileMicroseconds(round_figures &figures, double share)
{
    if (figures.latencies.empty()) {
        return 0;
    }
    const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(figures.latencies.size() - 1));
    std::nth_element(figures.latencies.begin(), figures.latencies.begin() + place, figures.latencies.end());
    return static_cast<double>(figures.latencies[static_cast<std::size_t>(place)].count());
}

void runGate(const bench::bench_options &, bench::bench_report &report)
{
    const echo_server server;
    const node_settings settings = testing::nodeSettingsOn("entry-a1", gatePort);
    fleet_view view = testing::fleetViewOf({}, { serverPort });
    view.document["pools"][1]["servers"][0]["slots"] = 1000;
    view.document["pools"][1]["silenceTimeoutMs"] = 5000;
    testing::fake_steward steward(settings.listen.stewardPeer, view);
    testing::running_gate gate(settings);
    gate.waitForServers(1);
    closed_loop_caller direct({ "127.0.0.1", serverPort }, { "GET", "/menu", {}, "" });
    closed_loop_caller throughGate({ "127.0.0.1", gatePort }, { "GET", "/svc/desk/menu", { { "Authorization", "Bearer t1" } }, "" });
    std::array<round_figures, 4> sums{}; // Few connections direct, few through the gate, many direct, many through the gate.
    for (std::size_t round = 0; round < rounds; ++round) {
        bench::printProgress("round " + std::to_string(round + 1) + " of " + std::to_string(rounds));
        accumulate(sums[0], direct.run(fewConnections));
        accumulate(sums[1], throughGate.run(fewConnections));
        accumulate(sums[2], direct.run(manyConnections));
        accumulate(sums[3], throughGate.run(manyConnections));
    }
    const double directMedian = quantileMicroseconds(sums[0], 0.5);
    const double gateMedian = quantileMicroseconds(sums[1], 0.5);
    const double directP99 = quantileMicroseconds(sums[0], 0.99);
    const double gateP99 = quantileMicroseconds(sums[1], 0.99);
    report.figure("failed", static_cast<double>(sums[0].failed + sums[1].failed + sums[2].failed + sums[3].failed), "requests", bench::exactly(0));
    report.figure("requestsPerSecond", perSecond(sums[3]), "requests/s").baseline("straight", perSecond(sums[2]));
    report.figure("requestsPerSecondRatio", perSecond(sums[3]) / perSecond(sums[2]), "of straight");
    report.figure("p50", gateMedian, "us").baseline("straight", directMedian);
    report.figure("p99", gateP99, "us").baseline("straight", directP99);
    report.figure("addedP50", gateMedian - directMedian, "us");
    report.figure("addedP99", gateP99 - directP99, "us");
    report.figure("p50Ratio", gateMedian / directMedian, "of straight");
    report.figure("p99Ratio", gateP99 / directP99, "of straight");
}

const bench::registered_benchmark
    gateCost("gate", "Requests per second and latency through a gate on loopback, compared with direct calls", { .nodes = 1, .servers = 1 }, runGate);

} // namespace
} // namespace reedtrail
