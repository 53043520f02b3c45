// Two loops: the control thread's, which the process host runs, and the traffic thread's own. They share nothing but immutable snapshots; everything else
// passes as a closure posted to the other loop. Latencies are gathered here and handed to the control thread in batches, because a histogram belongs to the
// thread that makes the metrics page.
//
// How a drain proceeds is decided by gate_drain.

#include "gate/traffic_service.h"

#include "gate/caller_api.h"
#include "gate/load_poller.h"
#include "gate/store_claims.h"
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

ticket_secret drawSecret()
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

once_options deskOptions(const node_settings &settings)
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

/** All that lives on the traffic thread, and the way to it. */
struct traffic_service::implementation
{
    process_context &context;
    control_service &control;
    traffic_options options;
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    http_client client;
    request_broker broker;
    store_claims claims;
    once_desk desk;
    draft_maker drafts;
    load_poller poller;
    caller_api api;
    http_server server;
    boost::asio::steady_timer metricsTimer;
    boost::asio::steady_timer drainTimer;
    std::thread thread;
    std::uint64_t lastRequest = 0;
    std::vector<duration> latencies;
    std::uint64_t answeredWell = 0;
    std::uint64_t answeredBadly = 0;
    gate_drain drain;
    std::function<void()> onDrained;

    implementation(process_context &theContext, control_service &theControl, traffic_options theOptions)
        : context(theContext)
        , control(theControl)
        , options(theOptions)
        , work(io.get_executor())
        , client(io, {})
        , broker(io, client, context.settings.zone, context.processIncarnation, {})
        , claims(client, context.settings.stores, {})
        , desk(io, broker, { context.settings.node, context.processIncarnation }, drawSecret(), deskOptions(context.settings), deskLinks())
        , drafts(broker, idSource())
        , poller(io,
                 client,
                 context.processIncarnation,
                 {},
                 [this](const server_load &load) {
                     broker.takeLoad(load);
                 })
        , api(io, broker, desk, {}, apiLinks())
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
            const std::string number = base36(++lastRequest);
            return request_ids{ request_id(number), context.settings.node.str() + "-" + base36(context.processIncarnation) + "-" + number };
        };
    }

    once_links deskLinks()
    {
        once_links links;
        links.nextIds = idSource();
        links.forward = [this](const node_id &node, forwarded_request request, std::function<void(std::optional<forwarded_answer>)> onAnswer) {
            boost::asio::post(context.control, [this, node, request = std::move(request), onAnswer = std::move(onAnswer)]() mutable {
                control.forward(node, std::move(request), [this, onAnswer = std::move(onAnswer)](std::optional<forwarded_answer> answer) {
                    boost::asio::post(io, [onAnswer, answer = std::move(answer)]() mutable {
                        onAnswer(std::move(answer));
                    });
                });
            });
        };
        links.claim = [this](const claim_record &claim, std::function<void(claim_result, const key_record &)> onAnswer) {
            claims.claim(claim, std::move(onAnswer));
        };
        return links;
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
            ++(status < 500 ? answeredWell : answeredBadly);
            if (latencies.size() < maximumLatenciesInBatch) {
                latencies.push_back(latency);
            }
        };
        return links;
    }

    /** Returns what the control side calls; each function only posts. */
    traffic_handlers entry()
    {
        traffic_handlers entry;
        entry.useSnapshot = [this](snapshot_pointer snapshot) {
            boost::asio::post(io, [this, snapshot = std::move(snapshot)] {
                api.useSnapshot(snapshot);
                poller.useSnapshot(*snapshot);
                broker.useSnapshot(snapshot);
            });
        };
        entry.makeDraft = [this](draft_order order, draft_maker::draft_handler onDone) {
            boost::asio::post(io, [this, order = std::move(order), onDone = std::move(onDone)]() mutable {
                drafts.make(std::move(order), [this, onDone = std::move(onDone)](draft_result result, std::string payload) {
                    boost::asio::post(context.control, [onDone, result = std::move(result), payload = std::move(payload)]() mutable {
                        onDone(std::move(result), std::move(payload));
                    });
                });
            });
        };
        entry.cancelDraft = [this](const run_id &run, std::uint64_t draft) {
            boost::asio::post(io, [this, run, draft] {
                drafts.cancel(run, draft);
            });
        };
        entry.moveDraft = [this](const run_id &run, std::uint64_t draft) {
            boost::asio::post(io, [this, run, draft] {
                drafts.move(run, draft);
            });
        };
        entry.askProgress = [this](std::function<void(std::vector<draft_progress_item>)> onProgress) {
            boost::asio::post(io, [this, onProgress = std::move(onProgress)]() mutable {
                boost::asio::post(context.control, [onProgress = std::move(onProgress), items = drafts.progress()]() mutable {
                    onProgress(std::move(items));
                });
            });
        };
        entry.handleForwarded = [this](forwarded_request request, std::function<void(forwarded_answer)> onAnswer) {
            boost::asio::post(io, [this, request = std::move(request), onAnswer = std::move(onAnswer)]() mutable {
                api.handleForwarded(std::move(request), [this, onAnswer = std::move(onAnswer)](forwarded_answer answer) {
                    boost::asio::post(context.control, [onAnswer, answer = std::move(answer)]() mutable {
                        onAnswer(std::move(answer));
                    });
                });
            });
        };
        entry.usage.askUsage = [this](std::function<void(usage_report)> onReport) {
            boost::asio::post(io, [this, onReport = std::move(onReport)]() mutable {
                boost::asio::post(context.control, [onReport = std::move(onReport), report = broker.makeUsageReport(context.settings.node)]() mutable {
                    onReport(std::move(report));
                });
            });
        };
        entry.usage.useTotal = [this](usage_total total) {
            boost::asio::post(io, [this, total = std::move(total)] {
                broker.takeUsage(total);
            });
        };
        return entry;
    }

    void handOverMetricsLater()
    {
        metricsTimer.expires_after(options.metricsPeriod);
        metricsTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                handOverMetrics();
                handOverMetricsLater();
            }
        });
    }

    void handOverMetrics()
    {
        boost::asio::post(context.control,
                          [this,
                           batch = std::exchange(latencies, {}),
                           well = std::exchange(answeredWell, 0),
                           badly = std::exchange(answeredBadly, 0),
                           inFlight = server.exchangesInFlight(),
                           connections = server.connections()] {
                              metric_registry &metrics = context.metrics;
                              metric_latency &latency = metrics.latency("reedtrail_request_seconds", "Time from a caller's request to the head of its answer");
                              for (const duration each : batch) {
                                  latency.record(each);
                              }
                              metrics.counter("reedtrail_answers_total", "Answers to callers", R"(class="below-500")").add(well);
                              metrics.counter("reedtrail_answers_total", "Answers to callers", R"(class="5xx")").add(badly);
                              metrics.gauge("reedtrail_requests_in_flight", "Callers' requests without an answer").set(static_cast<double>(inFlight));
                              metrics.gauge("reedtrail_caller_connections", "Open connections of callers").set(static_cast<double>(connections));
                          });
    }

    void beginDrain(std::function<void()> done)
    {
        onDrained = std::move(done);
        drain.begin(monotonicNow());
        api.beginDrain();
        desk.beginDrain();
        drafts.beginDrain();
        continueDrain();
    }

    std::size_t workLeft() const
    {
        return server.exchangesInFlight() + broker.inFlight() + desk.waiting() + drafts.inFlight();
    }

    void continueDrain()
    {
        const drain_phase phase = drain.onCheck(monotonicNow(), workLeft());
        if (phase == drain_phase::Done) {
            handOverMetrics();
            boost::asio::post(context.control, std::exchange(onDrained, nullptr));
            return;
        }
        if (phase == drain_phase::Lingering) {
            server.stopAccepting();
        }
        drainTimer.expires_after(drainCheckPeriod);
        drainTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                continueDrain();
            }
        });
    }

    nlohmann::json dump() const
    {
        return { { "broker", broker.dump() },
                 { "once", desk.dump() },
                 { "draftsInFlight", drafts.inFlight() },
                 { "serversPolled", poller.servers() },
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
    m_implementation->control.setTraffic(m_implementation->entry());
    BOOST_LEAF_CHECK(m_implementation->server.start());
    m_implementation->handOverMetricsLater();
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
