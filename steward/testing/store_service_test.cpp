#include "net/http_server.h"
#include "steward/store_service.h"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t storePort = 29950; // Lies below the ephemeral port range, so that no outgoing connection takes it.

/** Runs a store_service against an HTTP server whose answers the test defines. */
class store_service_test : public ::testing::Test
{
protected:
    using page = std::function<void(const std::shared_ptr<http_exchange> &)>;

    store_service_test()
    {
        m_settings.stores.push_back({ "127.0.0.1", storePort });
    }

    void serve(page answer)
    {
        m_server = std::make_unique<http_server>(m_io, http_server_options{ .address = { "127.0.0.1", storePort } }, std::move(answer));
        ASSERT_TRUE(m_server->start());
    }

    store_service &service()
    {
        if (!m_service) {
            store_service_options options;
            options.callTimeout = 300ms;
            m_service = std::make_unique<store_service>(m_context, options);
        }
        return *m_service;
    }

    template<class Answer>
    Answer await(const std::function<void(std::function<void(const Answer &)>)> &begin)
    {
        std::optional<Answer> received;
        begin([&](const Answer &answer) {
            EXPECT_FALSE(received) << "the handler ran more than once";
            received = answer;
            m_io.stop();
        });
        EXPECT_FALSE(received) << "the handler ran inside the call";
        m_io.restart();
        m_io.run_for(10s);
        return received.value_or(Answer{ .error = failure{ error_kind::Internal, "no answer" } });
    }

    store_txn_answer write()
    {
        return await<store_txn_answer>([this](const auto &onAnswer) {
            store_txn call;
            call.onSuccess.emplace_back(store_put{ "key", "value", 0 });
            service().txn(call, onAnswer);
        });
    }
    store_range_answer read()
    {
        return await<store_range_answer>([this](const auto &onAnswer) {
            service().range({ "key", false, 0 }, onAnswer);
        });
    }

    boost::asio::io_context m_io;
    node_settings m_settings;
    metric_registry m_metrics;
    kernel m_kernel;
    std::map<std::string, http_server::handler> m_pages;
    process_context m_context{ m_io, m_settings, m_metrics, m_kernel, 1, m_pages };
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<store_service> m_service;
};

/** How the store answers a call, and the errors that a write and a read must end with. */
struct answer_case
{
    const char *name;
    std::function<void(const std::shared_ptr<http_exchange> &)> answer; ///< If empty, nothing listens on the store's port.
    error_kind expectedWriteError;
    error_kind expectedReadError;
};

class store_service_answer_test : public store_service_test, public ::testing::WithParamInterface<answer_case>
{
};

// Guards against reporting a write as not executed when it may have been: a write that got no valid answer after it was sent must end with StoreUnknown.
TEST_P(store_service_answer_test, mapsEachAnswerToTheSafeError)
{
    if (GetParam().answer) {
        serve(GetParam().answer);
    }
    const store_txn_answer written = write();
    EXPECT_EQ(written.error ? written.error->kind : error_kind::None, GetParam().expectedWriteError);
    const store_range_answer found = read();
    EXPECT_EQ(found.error ? found.error->kind : error_kind::None, GetParam().expectedReadError);
}

void respond(const std::shared_ptr<http_exchange> &exchange, std::uint16_t status, const char *body)
{
    exchange->respond(jsonResponse(status, body));
}

INSTANTIATE_TEST_SUITE_P(answers,
                         store_service_answer_test,
                         ::testing::Values(answer_case{ "good",
                                                        [](const auto &exchange) {
                                                            respond(exchange, 200, R"({"header":{"revision":"7"},"succeeded":true})");
                                                        },
                                                        error_kind::None,
                                                        error_kind::None },
                                           answer_case{ "connectionRefused", {}, error_kind::StoreUnavailable, error_kind::StoreUnavailable },
                                           answer_case{ "noAnswer",
                                                        [held = std::make_shared<std::vector<std::shared_ptr<http_exchange>>>()](const auto &exchange) {
                                                            held->push_back(exchange);
                                                        },
                                                        error_kind::StoreUnknown,
                                                        error_kind::StoreUnavailable },
                                           answer_case{ "connectionCut",
                                                        [](const auto &exchange) {
                                                            exchange->abort();
                                                        },
                                                        error_kind::StoreUnknown,
                                                        error_kind::StoreUnavailable },
                                           answer_case{ "leaderChanged",
                                                        [](const auto &exchange) {
                                                            respond(exchange, 503, R"({"error":"etcdserver: leader changed"})");
                                                        },
                                                        error_kind::StoreUnknown,
                                                        error_kind::StoreUnavailable },
                                           answer_case{ "tooManyRequests",
                                                        [](const auto &exchange) {
                                                            respond(exchange, 429, R"({"error":"etcdserver: too many requests"})");
                                                        },
                                                        error_kind::StoreUnavailable,
                                                        error_kind::StoreUnavailable },
                                           answer_case{ "leaseNotFound",
                                                        [](const auto &exchange) {
                                                            respond(exchange, 404, R"({"error":"etcdserver: requested lease not found","code":5})");
                                                        },
                                                        error_kind::NotFound,
                                                        error_kind::NotFound },
                                           answer_case{ "invalidJson",
                                                        [](const auto &exchange) {
                                                            respond(exchange, 200, "<html>");
                                                        },
                                                        error_kind::StoreUnknown,
                                                        error_kind::StoreUnavailable },
                                           answer_case{ "wrongTypes",
                                                        [](const auto &exchange) {
                                                            respond(exchange, 200, R"({"header":{"revision":[1]},"succeeded":"x","kvs":3})");
                                                        },
                                                        error_kind::StoreUnknown,
                                                        error_kind::StoreUnavailable },
                                           answer_case{ "badBase64",
                                                        [](const auto &exchange) {
                                                            respond(exchange,
                                                                    200,
                                                                    R"({"kvs":[{"key":"!!!"}],"responses":[{"response_range":{"kvs":[{"key":"!!!"}]}}]})");
                                                        },
                                                        error_kind::StoreUnknown,
                                                        error_kind::StoreUnavailable }),
                         [](const auto &each) {
                             return each.param.name;
                         });

// Guards against overloading the store: calls beyond the rate budget must fail without being sent.
TEST_F(store_service_test, refusesCallsBeyondTheBudget)
{
    int received = 0;
    serve([&](const auto &exchange) {
        ++received;
        respond(exchange, 200, "{}");
    });
    store_service_options options;
    options.budget = { .callsPerSecond = 1e-6, .burst = 2, .commitReserve = 0, .backgroundReserve = 0 };
    m_service = std::make_unique<store_service>(m_context, options);
    EXPECT_FALSE(read().error);
    EXPECT_FALSE(read().error);
    EXPECT_EQ(read().error->kind, error_kind::StoreUnavailable);
    EXPECT_EQ(received, 2);
}

// Guards against retrying a dead store address forever: after a failed call the next call must use the next address.
TEST_F(store_service_test, usesNextStoreAfterFailure)
{
    m_settings.stores.insert(m_settings.stores.begin(), { "127.0.0.1", storePort + 1 });
    serve([](const auto &exchange) {
        respond(exchange, 200, R"({"header":{"revision":"7"}})");
    });
    EXPECT_EQ(read().error->kind, error_kind::StoreUnavailable);
    EXPECT_FALSE(read().error);
    EXPECT_TRUE(service().isReachable());
}

// Guards against losing watch events when a line arrives in several parts, and against reporting the end of a watch twice or without its compact revision.
TEST_F(store_service_test, readsSplitWatchLinesAndReportsEnd)
{
    serve([](const auto &exchange) {
        exchange->startStream({ 200, {}, "" });
        exchange->write(R"({"result":{"header":{"revision":"4"},"created":true}})"
                        "\n"
                        R"({"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"a2V5","value":"dmFs)");
        exchange->write(R"(dWU=","mod_revision":"5"}},{"type":"DELETE","kv":{"key":"a2V5","mod_revision":"6"}}]}})"
                        "\n"
                        R"({"result":{"canceled":true,"compact_revision":"9"}})"
                        "\n");
        exchange->finishStream();
    });
    std::vector<std::string> seen;
    std::optional<store_watch_end> ended;
    service().watch({ "key", false, 3 },
                    { [&](const store_watch_report &report) {
                         for (const store_watch_event &event : report.events) {
                             seen.push_back(event.item.key + "=" + event.item.value + "@" + std::to_string(event.item.modRevision));
                         }
                     },
                      [&](const store_watch_end &end) {
                          EXPECT_FALSE(ended);
                          ended = end;
                          m_io.stop();
                      } });
    m_io.run_for(10s);
    EXPECT_EQ(seen, (std::vector<std::string>{ "key=value@5", "key=@6" }));
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->error.kind, error_kind::Stale);
    EXPECT_EQ(ended->compactRevision, 9U);
}

} // namespace
} // namespace reedtrail
