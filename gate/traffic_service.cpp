// A gate has two event loops: that of the control thread, which the process host runs, and that of the traffic thread. They share only immutable snapshots;
// everything else is passed as a closure posted to the other loop. Latencies are collected here and handed to the control thread in batches, because a
// histogram belongs to the thread that renders the metrics page.
//
// gate_drain decides how a drain proceeds.

#include "gate/traffic_service.h"

#include "gate/caller_api.h"
#include "gate/idempotency_key_store.h"
#include "gate/load_poller.h"
#include "kernel/log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <openssl/rand.h>
#include <thread>

namespace reedtrail {
namespace {

constexpr std::size_t maximumLatenciesInBatch = 65536;
constexpr duration dumpTimeout = std::chrono::seconds(2);
constexpr duration drainCheckPeriod = std::chrono::milliseconds(20);

ticket_secret generateTicketSecret()
{
    ticket_secret secret{};
    RAND_bytes(secret.data(), static_cast<int>(secret.size()));
    return secret;
}

http_server_options callerServerOptions(const node_settings &settings)
{
    http_server_options options;
    options.address = settings.listen.callers;
    options.maximumConnections = static_cast<std::size_t>(settings.limits.maximumConnections);
    options.maximumBodyBytes = static_cast<std::size_t>(settings.limits.maximumBodyBytes);
    options.maximumHeaderBytes = static_cast<std::size_t>(settings.limits.maximumHeaderBytes);
    return options;
}

once_options deduplicatorOptions(const node_settings &settings)
{
    once_options options;
    options.table.maximumAnswers = static_cast<std::size_t>(settings.limits.keptAnswers);
    options.table.maximumAnswerBytes = static_cast<std::size_t>(settings.limits.keptAnswerBytes);
    return options;
}

std::string base36(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdefghijklmnopqrstuvwxyz";
    std::string text;
    do {
        text.insert(text.begin(), digits[value % digits.size()]);
        value /= digits.size();
    } while (value > 0);
    return text;
}

} // namespace

/** State of the traffic thread, and the functions that post work to it. */
struct traffic_service::implementation
{
    process_context &context;
    control_service &control;
    traffic_options options;
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard;
    http_client client;
    request_broker broker;
    idempotency_key_store keyStore;
    request_deduplicator deduplicator;
    draft_maker drafts;
    load_poller poller;
    caller_api api;
    http_server server;
    boost::asio::steady_timer metricsTimer;
    boost::asio::steady_timer drainTimer;
    std::thread thread;
    std::uint64_t lastRequestNumber = 0;
    std::vector<duration> latencies;
    std::uint64_t answersBelow500 = 0;
    std::uint64_t answers5xx = 0;
    gate_drain drain;
    std::function<void()> onDrained;

    implementation(process_context &theContext, control_service &theControl, traffic_options theOptions)
        : context(theContext)
        , control(theControl)
        , options(theOptions)
        , workGuard(io.get_executor())
        , client(io, {})
        , broker(io, client, context.settings.zone, context.processIncarnation, {})
        , keyStore(client, context.settings.stores, {})
        , deduplicator(io,
                       broker,
                       { context.settings.node, context.processIncarnation },
                       generateTicketSecret(),
                       deduplicatorOptions(context.settings),
                       deduplicatorDependencies())
        , drafts(broker, idSource())
        , poller(io,
                 client,
                 context.processIncarnation,
                 {},
                 [this](const server_load &load) {
                     broker.updateLoad(load);
                 })
        , api(io, broker, deduplicator, {}, apiLinks())
        , server(io,
                 callerServerOptions(context.settings),
                 [this](std::shared_ptr<http_exchange> exchange) {
                     api.handle(std::move(exchange));
                 })
        , metricsTimer(io)
        , drainTimer(io)
        , drain(options.drain)
    {
    }

    draft_maker::id_source idSource()
    {
        return [this] {
            const std::string number = base36(++lastRequestNumber);
            return request_ids{ request_id(number), context.settings.node.str() + "-" + base36(context.processIncarnation) + "-" + number };
        };
    }

    deduplicator_dependencies deduplicatorDependencies()
    {
        deduplicator_dependencies dependencies;
        dependencies.nextIds = idSource();
        dependencies.forward = [this](const node_id &node, forwarded_request request, std::function<void(std::optional<forwarded_answer>)> onAnswer) {
            boost::asio::post(context.control, [this, node, request = std::move(request), onAnswer = std::move(onAnswer)]() mutable {
                control.forward(node, std::move(request), [this, onAnswer = std::move(onAnswer)](std::optional<forwarded_answer> answer) {
                    boost::asio::post(io, [onAnswer, answer = std::move(answer)]() mutable {
                        onAnswer(std::move(answer));
                    });
                });
            });
        };
        dependencies.claim = [this](const claim_record &claim, std::function<void(claim_result, const key_record &)> onAnswer) {
            keyStore.claim(claim, std::move(onAnswer));
        };
        return dependencies;
    }

    caller_api_callbacks apiLinks()
    {
        caller_api_callbacks links;
        links.nextIds = idSource();
        links.pull = [this](const pull_question &question, std::function<void(http_response)> onResponse) {
            boost::asio::post(context.control, [this, question, onResponse = std::move(onResponse)]() mutable {
                control.pull(question, [this, onResponse = std::move(onResponse)](http_response response) {
                    boost::asio::post(io, [onResponse, response = std::move(response)]() mutable {
                        onResponse(std::move(response));
                    });
                });
            });
        };
        links.onAnswered = [this](std::uint16_t status, duration latency) {
            ++(status < 500 ? answersBelow500 : answers5xx);
            if (latencies.size() < maximumLatenciesInBatch) {
                latencies.push_back(latency);
            }
        };
        return links;
    }

    /** Returns the functions that the control side calls; each only posts to the traffic thread. */
    traffic_handlers trafficCallbacks()
    {
        traffic_handlers trafficCallbacks;
        trafficCallbacks.useSnapshot = [this](snapshot_pointer snapshot) {
            boost::asio::post(io, [this, snapshot = std::move(snapshot)] {
                api.useSnapshot(snapshot);
                poller.useSnapshot(*snapshot);
                broker.useSnapshot(snapshot);
            });
        };
        trafficCallbacks.makeDraft = [this](draft_order order, draft_maker::draft_handler onDone) {
            boost::asio::post(io, [this, order = std::move(order), onDone = std::move(onDone)]() mutable {
                drafts.make(std::move(order), [this, onDone = std::move(onDone)](draft_result result, std::string payload) {
                    boost::asio::post(context.control, [onDone, result = std::move(result), payload = std::move(payload)]() mutable {
                        onDone(std::move(result), std::move(payload));
                    });
                });
            });
        };
        trafficCallbacks.cancelDraft = [this](const run_id &run, std::uint64_t draft) {
            boost::asio::post(io, [this, run, draft] {
                drafts.cancel(run, draft);
            });
        };
        trafficCallbacks.moveDraft = [this](const run_id &run, std::uint64_t draft) {
            boost::asio::post(io, [this, run, draft] {
                drafts.move(run, draft);
            });
        };
        trafficCallbacks.askProgress = [this](std::function<void(std::vector<draft_progress_item>)> onProgress) {
            boost::asio::post(io, [this, onProgress = std::move(onProgress)]() mutable {
                boost::asio::post(context.control, [onProgress = std::move(onProgress), items = drafts.progress()]() mutable {
                    onProgress(std::move(items));
                });
            });
        };
        trafficCallbacks.handleForwarded = [this](forwarded_request request, std::function<void(forwarded_answer)> onAnswer) {
            boost::asio::post(io, [this, request = std::move(request), onAnswer = std::move(onAnswer)]() mutable {
                api.handleForwarded(std::move(request), [this, onAnswer = std::move(onAnswer)](forwarded_answer answer) {
                    boost::asio::post(context.control, [onAnswer, answer = std::move(answer)]() mutable {
                        onAnswer(std::move(answer));
                    });
                });
            });
        };
        trafficCallbacks.usage.requestUsage = [this](std::function<void(usage_report)> onReport) {
            boost::asio::post(io, [this, onReport = std::move(onReport)]() mutable {
                boost::asio::post(context.control, [onReport = std::move(onReport), report = broker.makeUsageReport(context.settings.node)]() mutable {
                    onReport(std::move(report));
                });
            });
        };
        trafficCallbacks.usage.applyTotal = [this](usage_total total) {
            boost::asio::post(io, [this, total = std::move(total)] {
                broker.updateUsage(total);
            });
        };
        return trafficCallbacks;
    }

    void scheduleMetricsFlush()
    {
        metricsTimer.expires_after(options.metricsPeriod);
        metricsTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                flushMetrics();
                scheduleMetricsFlush();
            }
        });
    }

    void flushMetrics()
    {
        boost::asio::post(context.control,
                          [this,
                           latencyBatch = std::exchange(latencies, {}),
                           countBelow500 = std::exchange(answersBelow500, 0),
                           count5xx = std::exchange(answers5xx, 0),
                           inFlight = server.exchangesInFlight(),
                           connections = server.connections()] {
                              metric_registry &metrics = context.metrics;
                              metric_latency &latency = metrics.latency("reedtrail_request_seconds", "Time from a caller's request to the head of its answer");
                              for (const duration each : latencyBatch) {
                                  latency.record(each);
                              }
                              metrics.counter("reedtrail_answers_total", "Answers to callers", R"(class="below-500")").add(countBelow500);
                              metrics.counter("reedtrail_answers_total", "Answers to callers", R"(class="5xx")").add(count5xx);
                              metrics.gauge("reedtrail_requests_in_flight", "Callers' requests without an answer").set(static_cast<double>(inFlight));
                              metrics.gauge("reedtrail_caller_connections", "Open connections of callers").set(static_cast<double>(connections));
                          });
    }

    void beginDrain(std::function<void()> done)
    {
        onDrained = std::move(done);
        drain.begin(monotonicNow());
        api.beginDrain();
        deduplicator.beginDrain();
        drafts.beginDrain();
        advanceDrain();
    }

    std::size_t openWorkCount() const
    {
        return server.exchangesInFlight() + broker.inFlight() + deduplicator.waitingCount() + drafts.inFlight();
    }

    void advanceDrain()
    {
        const drain_phase phase = drain.advance(monotonicNow(), openWorkCount());
        if (phase == drain_phase::Done) {
            flushMetrics();
            boost::asio::post(context.control, std::exchange(onDrained, nullptr));
            return;
        }
        if (phase == drain_phase::Lingering) {
            server.stopAccepting();
        }
        drainTimer.expires_after(drainCheckPeriod);
        drainTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                advanceDrain();
            }
        });
    }

    nlohmann::json dump() const
    {
        return { { "broker", broker.dump() },
                 { "once", deduplicator.dump() },
                 { "draftsInFlight", drafts.inFlight() },
                 { "serversPolled", poller.serverCount() },
                 { "exchangesInFlight", server.exchangesInFlight() },
                 { "connections", server.connections() },
                 { "idleServerConnections", client.idleConnections() },
                 { "drain", drainPhaseName(drain.phase()) } };
    }
};

traffic_service::traffic_service(process_context &context, control_service &control, traffic_options options)
    : m_implementation(std::make_unique<implementation>(context, control, options))
{
}

traffic_service::~traffic_service()
{
    stop();
}

result<void> traffic_service::start(kernel &)
{
    m_implementation->control.setTraffic(m_implementation->trafficCallbacks());
    BOOST_LEAF_CHECK(m_implementation->server.start());
    m_implementation->scheduleMetricsFlush();
    m_implementation->thread = std::thread([this] {
        m_implementation->io.run();
    });
    return {};
}

void traffic_service::drain(std::function<void()> done)
{
    boost::asio::post(m_implementation->io, [this, done = std::move(done)]() mutable {
        m_implementation->beginDrain(std::move(done));
    });
}

void traffic_service::stop()
{
    m_implementation->io.stop();
    if (m_implementation->thread.joinable()) {
        m_implementation->thread.join();
    }
}

nlohmann::json traffic_service::dump() const
{
    const auto promise = std::make_shared<std::promise<nlohmann::json>>();
    std::future<nlohmann::json> future = promise->get_future();
    boost::asio::post(m_implementation->io, [this, promise] {
        promise->set_value(m_implementation->dump());
    });
    if (future.wait_for(dumpTimeout) != std::future_status::ready) {
        return { { "error", "the traffic thread did not answer" } };
    }
    return future.get();
}

} // namespace reedtrail
