// The cost of the gate on loopback: requests a second and latency through a whole gate (its two services, on sockets) beside the same calls straight to the
// stand-in server, in turns within one run, so that whatever else the machine does touches both alike.

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

/** What a round of calls gave. */
struct round_figures
{
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    double seconds = 0;
    std::vector<duration> latencies;
};

/** Makes calls on a number of connections, each the next as soon as the last is answered. */
class closed_loop_caller
{
public:
    closed_loop_caller(const endpoint &where, http_request request)
        : m_where(where)
        , m_request(std::move(request))
    {
    }

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

/** Answers every request with a short text. */
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

void add(round_figures &sum, const round_figures &round)
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
    closed_loop_caller straight({ "127.0.0.1", serverPort }, { "GET", "/menu", {}, "" });
    closed_loop_caller through({ "127.0.0.1", gatePort }, { "GET", "/svc/desk/menu", { { "Authorization", "Bearer t1" } }, "" });
    std::array<round_figures, 4> sums{}; // few straight, few through, many straight, many through
    for (std::size_t round = 0; round < rounds; ++round) {
        bench::progress("round " + std::to_string(round + 1) + " of " + std::to_string(rounds));
        add(sums[0], straight.run(fewConnections));
        add(sums[1], through.run(fewConnections));
        add(sums[2], straight.run(manyConnections));
        add(sums[3], through.run(manyConnections));
    }
    const double straightMedian = quantileMicroseconds(sums[0], 0.5);
    const double throughMedian = quantileMicroseconds(sums[1], 0.5);
    const double straightTail = quantileMicroseconds(sums[0], 0.99);
    const double throughTail = quantileMicroseconds(sums[1], 0.99);
    report.figure("failed", static_cast<double>(sums[0].failed + sums[1].failed + sums[2].failed + sums[3].failed), "requests", bench::exactly(0));
    report.figure("requestsPerSecond", perSecond(sums[3]), "requests/s").baseline("straight", perSecond(sums[2]));
    report.figure("requestsPerSecondRatio", perSecond(sums[3]) / perSecond(sums[2]), "of straight");
    report.figure("p50", throughMedian, "us").baseline("straight", straightMedian);
    report.figure("p99", throughTail, "us").baseline("straight", straightTail);
    report.figure("addedP50", throughMedian - straightMedian, "us");
    report.figure("addedP99", throughTail - straightTail, "us");
    report.figure("p50Ratio", throughMedian / straightMedian, "of straight");
    report.figure("p99Ratio", throughTail / straightTail, "of straight");
}

const bench::registered_benchmark
    gateCost("gate", "Requests a second and latency through a gate on loopback, beside the server alone", { .nodes = 1, .servers = 1 }, runGate);

} // namespace
} // namespace reedtrail
