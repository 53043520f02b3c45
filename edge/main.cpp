// reedtrail-edge: serves callers and trainers on one entry VM of the users' platform.

#include "edge/batch_job_service.h"
#include "edge/caller_service.h"
#include "edge/contact_witness_client.h"
#include "edge/crash_guard.h"
#include "edge/edge_context.h"
#include "edge/fleet_cache.h"
#include "edge/job_forwarder.h"
#include "edge/listener_limits.h"
#include "edge/peer_service.h"
#include "edge/recording_store_transport.h"
#include "edge/usage_report_service.h"
#include "edge/weight_load_service.h"
#include "kernel/command_line.h"
#include "kernel/log.h"
#include "platform/node_file.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <malloc.h>
#include <map>
#include <unistd.h>

namespace reedtrail {
namespace {

constexpr duration logFlushInterval = std::chrono::milliseconds(250); // Longest delay of a log line; one write per line would cost more than the line itself.
constexpr duration callReportInterval = std::chrono::seconds(10); // Between log lines that sum up the calls to the store.
constexpr duration serverIdleTimeout = std::chrono::seconds(30); // For idle connections to servers that announce no keep-alive time.
constexpr std::size_t maxServerBodyBytes = 8U << 20U; // Twice what callers may send; a server in trouble may send bytes without end.
constexpr std::size_t maxServerBytesInFlight = 16U << 20U; // Of all responses under way; the smallest machines have 88 MB.
constexpr std::size_t maxIdleServerConnections = 24; // Per server: twice the slots of the largest server, so that a burst reuses existing connections.

/** Owns the event loop, the clients and the services of the process, and handles its signals. */
class edge_process
{
public:
    explicit edge_process(edge_settings settings)
        : m_startSettings(std::move(settings))
        , m_loop(m_io)
        , m_storeClient(m_io, storeClientOptions())
        , m_serverClient(m_io, serverClientOptions(m_startSettings))
        , m_peerClient(m_io, {})
        , m_transport(m_loop, m_storeClient, m_startSettings)
        , m_outages(m_startSettings.serverHeartbeat)
        , m_recordedTransport(m_loop, m_transport, m_outages)
        , m_store(m_io, m_recordedTransport)
        , m_context{ m_startSettings, std::to_string(unixMilliseconds()) + "-" + std::to_string(::getpid()), m_loop,    m_store,
                     m_serverClient,  std::make_shared<edge_lease>(m_store, m_loop, node_lease_options{}),   m_metrics, m_outages }
        , m_snapshotSource(m_loop, m_store, m_transport.path(), m_peerClient, m_context.settings, m_outages, std::hash<std::string>()(m_context.incarnation))
        , m_snapshotServer(m_context)
        , m_limitPeers(m_transport.path(), m_peerClient)
        , m_crashes(m_context, m_transport.path(), m_peerClient)
        , m_witnesses(m_loop, m_transport.path(), m_peerClient)
        , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    {
        if (m_context.settings.usage) {
            m_context.usage = std::make_shared<usage_ledger>(m_context.settings.node + "/" + m_context.incarnation);
        }
        m_context.requests = std::make_shared<reception>(limitsFor(m_context.settings).requests);
        m_context.requests->setEvictionListener([this](eviction_reason reason) {
            m_hasEvicted = true;
            m_metrics
                .counter("reedtrail_requests_evicted_total",
                         "Requests evicted while they were received, by reason",
                         "reason=\"" + std::string(nameOf(reason)) + "\"")
                .add();
        });
        m_context.randomSeed = std::hash<std::string>()(m_context.settings.node + m_context.incarnation);
    }

    int run()
    {
        m_transport.onDirectCall([this](const platform::call_description &call) {
            m_metrics
                .counter("reedtrail_store_calls_total",
                         "Calls to the store by kind and subject",
                         "kind=\"" + std::string(call.kind) + "\",subject=\"" + call.subject + "\"")
                .add();
            ++m_storeCalls[std::string(call.kind) + (call.subject.empty() ? "" : " ") + call.subject];
        });
        auto fleet = std::make_unique<fleet_cache>(m_context, m_snapshotSource, m_snapshotServer, m_limitPeers);
        auto jobs = std::make_unique<batch_job_service>(m_context, *fleet);
        auto weightLoads = std::make_unique<weight_load_service>(m_context, *fleet, m_snapshotSource, m_snapshotServer);
        auto usage = std::make_unique<usage_report_service>(m_context, *weightLoads, m_transport.path(), m_peerClient);
        const auto origins = std::make_unique<stream_origins>(m_context, *fleet, m_transport.path(), m_peerClient);
        auto callers = std::make_unique<caller_service>(m_context, *fleet, m_crashes, *origins, *jobs, m_forwarder);
        m_context.isIsolated = [this] {
            return m_transport.path().isIsolated(m_loop.now());
        };
        auto peers =
            std::make_unique<peer_service>(m_context.settings, m_loop, m_store, m_transport, m_snapshotSource, m_snapshotServer, m_context.requests, [this] {
                m_context.lease->acquire([](store_lease_id) {});
            });
        m_transport.onStoreRecovered([jobs = jobs.get()] {
            jobs->onStoreRecovered();
        });
        peers->setHasUrgentStoreWork([jobs = jobs.get()] {
            return jobs->needsLease();
        });
        peers->onForwardedCall([callers = callers.get()](std::shared_ptr<http_exchange> exchange) {
            callers->dispatchForwarded(std::move(exchange));
        });
        peers->setCrashGuard(m_crashes);
        fleet->onChange([this, fleet = fleet.get()] {
            m_crashes.onServersChanged(fleet->directory());
        });
        peers->onFirstPeers([fleet = fleet.get()] {
            fleet->beginReading();
        });
        peers->onLimitAsks([fleet = fleet.get()](const std::shared_ptr<http_exchange> &exchange) {
            fleet->serveLimitAsks(exchange);
        });
        peers->onStreamMessages([origins = origins.get()](const std::shared_ptr<http_exchange> &exchange) {
            origins->serve(exchange);
        });
        peers->onUsageMessages([usage = usage.get()](const std::shared_ptr<http_exchange> &exchange) {
            usage->serve(exchange);
        });
        peers->onContactQuestion([this](const std::shared_ptr<http_exchange> &exchange) {
            contact_witness_client::serve(exchange, m_outages, m_loop.now());
        });
        fleet->setWitness([this](std::function<void(std::optional<time_point>)> onAnswer) {
            m_witnesses.ask(std::move(onAnswer));
        });
        m_limitPeers.setNodeListAge([peers = peers.get()] {
            return peers->nodeListAge();
        });
        peers->onPeersChanged([this, fleet = fleet.get(), peers = peers.get(), weightLoads = weightLoads.get(), origins = origins.get(), usage = usage.get()](
                                  std::map<std::string, store_peer> nodes) {
            const edge_settings &settings = m_context.settings;
            nodes[settings.node] = { settings.peers.value_or(endpoint{}), settings.zone, settings.processorShare };
            updateJobHosts(nodes);
            fleet->setNodes(nodes, peers->wasRegistered());
            m_crashes.setNodes(nodes);
            origins->setNodes(nodes);
            weightLoads->setNodes(nodes);
            usage->setNodes(nodes);
        });
        m_context.lease->setRenewalCondition([weightLoads = weightLoads.get(), jobs = jobs.get(), peers = peers.get()] {
            return weightLoads->needsLease() || jobs->needsLease() || peers->servesWatchingPeers();
        });
        m_services.add("peers", std::move(peers));
        m_callers = callers.get();
        m_origins = origins.get();
        // Services drain in reverse order: jobs and the leadership are released while callers are still served.
        m_services.add("fleet", std::move(fleet));
        m_services.add("usage", std::move(usage)); // Hands its ledger over once no caller is served any more.
        m_services.add("callers", std::move(callers));
        m_services.add("orders", std::move(weightLoads));
        m_services.add("jobs", std::move(jobs));
        if (const std::optional<failure> error = failureOf([&] {
                return m_services.start();
            })) {
            std::fprintf(stderr, "reedtrail-edge: %s\n", error->detail.c_str());
            return answerFor(error->kind).exitCode;
        }
        logLine(log_level::Info, "started", { { "program", "reedtrail-edge" }, { "version", REEDTRAIL_VERSION }, { "incarnation", m_context.incarnation } });
        awaitSignal();
        scheduleLogFlush();
        scheduleCallReport();
        m_loop.run([this](const char *reason) {
            logLine(log_level::Error, "handler-failed", { { "reason", reason } });
            m_metrics.counter("reedtrail_handler_failures_total", "Handlers that an exception has left").add();
        });
        m_services.stop();
        reportStoreCalls();
        logLine(log_level::Info, "stopped", {});
        flushLog();
        return 0;
    }

private:
    static http_client_options serverClientOptions(const edge_settings &settings)
    {
        http_client_options options;
        options.idleTimeout = serverIdleTimeout;
        options.maximumIdlePerEndpoint = maxIdleServerConnections;
        options.maximumIdle = limitsFor(settings).idleServerConnections;
        options.maximumBodyBytes = maxServerBodyBytes;
        options.maximumBytesInFlight = maxServerBytesInFlight;
        return options;
    }

    static http_client_options storeClientOptions()
    {
        http_client_options options;
        options.probesQuietConnections = true; // Watches are long polls of many seconds, so only probes detect a dead connection.
        return options;
    }

    /** Passes all known nodes, including this one, to the assignment of jobs to hosts. */
    void updateJobHosts(const std::map<std::string, store_peer> &knownNodes)
    {
        std::map<std::string, job_host> nodes;
        for (const auto &[name, node] : knownNodes) {
            nodes[name] = { node.address, node.zone, node.processorShare };
        }
        m_forwarder.hosts().setNodes(std::move(nodes));
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reload();
            } else {
                beginDrain();
            }
            awaitSignal();
        });
    }

    /** Reloads the time limits from the settings file. Addresses and names change only with a restart. */
    void reload()
    {
        edge_settings settings;
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(settings, platform::readNodeFile(platform::nodeFilePath()));
            return {};
        });
        if (error) {
            logLine(log_level::Error, "settings-not-reloaded", { { "reason", error->detail } });
            return;
        }
        m_context.settings.maxDrainDelay = settings.maxDrainDelay;
        m_context.settings.maxConfigurationDelay = settings.maxConfigurationDelay;
        m_context.settings.shutdownGracePeriod = settings.shutdownGracePeriod;
        m_context.settings.orderHandoverInterval = settings.orderHandoverInterval;
        logLine(log_level::Info, "settings-reloaded", {});
    }

    void beginDrain()
    {
        if (m_context.isDraining) {
            return;
        }
        m_context.isDraining = true;
        m_context.drainStartedAt = m_loop.now();
        logLine(log_level::Info, "draining", {});
        m_callers->announceShutdown();
        m_origins->prepareToLeave();
        m_services.drain([this] {
            m_io.stop();
        });
    }

    void scheduleLogFlush()
    {
        m_loop.after(logFlushInterval, [this] {
            flushLog();
            if (std::exchange(m_hasEvicted, false)) {
                ::malloc_trim(0); // The heap keeps what evicted requests have left between longer-lived blocks, and the next crowd would come on top.
            }
            scheduleLogFlush();
        });
    }

    void scheduleCallReport()
    {
        m_loop.after(callReportInterval, [this] {
            reportStoreCalls();
            scheduleCallReport();
        });
    }

    /** Logs the calls to the store, and the connections opened to backend servers, since the last report. */
    void reportStoreCalls()
    {
        const std::uint64_t opened = m_serverClient.openedConnections();
        const std::uint64_t newConnections = opened - std::exchange(m_reportedConnections, opened);
        if (m_storeCalls.empty() && newConnections == 0) {
            return;
        }
        m_metrics.counter("reedtrail_server_connections_total", "Connections opened to backend servers").add(newConnections);
        std::string calls;
        for (const auto &[what, count] : std::exchange(m_storeCalls, {})) {
            calls += (calls.empty() ? "" : ", ") + what + ": " + std::to_string(count);
        }
        logLine(log_level::Info, "store-calls", { { "calls", calls }, { "server-connections", std::to_string(newConnections) } });
    }

    const edge_settings m_startSettings;
    boost::asio::io_context m_io{ 1 };
    asio_loop m_loop;
    http_client m_storeClient;
    http_client m_serverClient;
    http_client m_peerClient;
    failover_store_transport m_transport;
    outage_tracker m_outages;
    recording_store_transport m_recordedTransport;
    edge_store m_store;
    metric_registry m_metrics;
    edge_context m_context;
    peer_snapshot_source m_snapshotSource;
    snapshot_server m_snapshotServer;
    limit_peer_client m_limitPeers;
    crash_guard m_crashes;
    contact_witness_client m_witnesses;
    job_forwarder m_forwarder{ m_loop, m_peerClient, m_metrics, m_context.settings.node };
    kernel m_services;
    caller_service *m_callers = nullptr;
    stream_origins *m_origins = nullptr;
    bool m_hasEvicted = false; ///< Requests were evicted since the last flush of the log.
    std::uint64_t m_reportedConnections = 0; ///< Connections to backend servers up to the last report.
    std::map<std::string, std::uint64_t> m_storeCalls; ///< Since the last report, by kind and subject.
    boost::asio::signal_set m_signals;
};

} // namespace
} // namespace reedtrail

int main(int argc, char **argv)
{
    using namespace reedtrail;
    command_line commandLine("reedtrail-edge", "Serves callers and trainers on one entry VM of the users' platform.");
    commandLine.option("settings", "FILE", "Settings file of the platform (that of the environment)");
    commandLine.flag("check-settings", "Check the settings and stop");
    commandLine.option("log-level", "LEVEL", "debug, info, warning or error (info)");
    const parsed_line parsed = commandLine.parse(argc, argv);
    if (parsed.exitCode) {
        return *parsed.exitCode;
    }
    std::signal(SIGPIPE, SIG_IGN);
    edge_settings settings;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(settings, platform::readNodeFile(parsed.value("settings", platform::nodeFilePath())));
        return {};
    });
    if (error) {
        std::fprintf(stderr, "reedtrail-edge: %s\n", error->detail.c_str());
        return answerFor(error->kind).exitCode;
    }
    if (parsed.has("check-settings")) {
        return 0;
    }
    const std::optional<log_level> level = logLevelNamed(parsed.value("log-level", "info"));
    if (!level) {
        std::fprintf(stderr, "reedtrail-edge: --log-level takes debug, info, warning or error\n");
        return answerFor(error_kind::BadUsage).exitCode;
    }
    startBufferedLogging(*level, settings.node);
    edge_process process(std::move(settings));
    return process.run();
}
