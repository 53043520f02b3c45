// Named requests on real sockets: two gates, a service that counts what it runs, and a store that loses answers or is silent.

#include "base/check.h"
#include "gate/testing/gate_fixture.h"
#include "gate/testing/scripted_server.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using testing::caller_answer;
using testing::callGate;
using testing::received_request;
using testing::scripted_connection;
using testing::scripted_server;

/** A store that keeps what is created, or does as its script says first. */
class small_store
{
public:
    explicit small_store(std::uint16_t port)
        : m_server("store", port, [this](scripted_connection &connection, const received_request &request) {
            answer(connection, request);
        })
    {
    }
    std::atomic<bool> isSilent{ false };
    std::atomic<int> answersToLose{ 0 };

private:
    void answer(scripted_connection &connection, const received_request &request)
    {
        if (isSilent) {
            connection.goSilent();
            return;
        }
        if (request.target == "/v3/lease/grant") {
            connection.respond(200, R"({"ID":"5","TTL":"86400"})");
            return;
        }
        const nlohmann::json txn = nlohmann::json::parse(request.body);
        const nlohmann::json &put = txn.at("success").front().begin().value();
        const std::string key = put.at("key");
        bool isNew = false;
        std::string value;
        {
            const std::lock_guard lock(m_mutex);
            isNew = m_values.try_emplace(key, put.at("value").get<std::string>()).second;
            value = m_values.at(key);
        }
        if (answersToLose > 0) {
            --answersToLose;
            connection.close();
            return;
        }
        nlohmann::json found{ { "key", key }, { "value", value }, { "create_revision", "2" }, { "mod_revision", "2" }, { "version", "1" } };
        nlohmann::json range{ { "response_range", { { "kvs", nlohmann::json::array({ found }) }, { "count", "1" } } } };
        nlohmann::json body{ { "header", { { "revision", "2" } } } };
        body["succeeded"] = isNew;
        body["responses"] = isNew ? nlohmann::json::array({ { { "response_put", nlohmann::json::object() } } }) : nlohmann::json::array({ range });
        connection.respond(200, body.dump());
    }

    std::mutex m_mutex;
    std::map<std::string, std::string> m_values;
    scripted_server m_server;
};

fleet_view withGates(fleet_view view, const std::vector<node_settings> &gates)
{
    for (const node_settings &gate : gates) {
        view.nodes.push_back({ gate.node, gate.zone, gate.listen.gatePeer.text() });
    }
    return view;
}

/** Two gates, a service that counts, and a store. */
class once_contract : public ::testing::Test
{
protected:
    once_contract()
        : m_store(31040)
        , m_server("desk-0",
                   31010,
                   [this](scripted_connection &connection, const received_request &request) {
                       m_script(connection, request);
                   })
        , m_one(testing::nodeSettingsOn("entry-a1", 31000))
        , m_other(testing::nodeSettingsOn("entry-b1", 31020))
    {
        m_one.stores = m_other.stores = { endpoint{ "127.0.0.1", 31040 } };
        const fleet_view view = withGates(testing::fleetViewOf({}, { 31010 }), { m_one, m_other });
        m_firstSteward.emplace(m_one.listen.stewardPeer, view);
        m_otherSteward.emplace(m_other.listen.stewardPeer, view);
        m_firstGate.emplace(m_one, 1000);
        m_otherGate.emplace(m_other, 1001);
        m_firstGate->waitForServers(1);
        m_otherGate->waitForServers(1);
    }

    void SetUp() override
    {
        setAbortOnFailedCheck(false);
    }
    void TearDown() override
    {
        EXPECT_EQ(failedChecks(), m_checksBefore);
    }
    static std::string ticketOf(std::uint16_t port)
    {
        return nlohmann::json::parse(callGate(port, "POST", "/v1/tickets", "").body).at("ticket");
    }
    static caller_answer order(std::uint16_t port, const testing::header_list &headers, const std::string &body = "menu")
    {
        return callGate(port, "POST", "/svc/desk/orders", body, headers);
    }

    std::uint64_t m_checksBefore = failedChecks();
    scripted_server::script m_script = [](scripted_connection &connection, const received_request &request) {
        connection.respond(200, "proof " + std::to_string(request.number));
    };
    small_store m_store;
    scripted_server m_server;
    node_settings m_one;
    node_settings m_other;
    std::optional<testing::fake_steward> m_firstSteward;
    std::optional<testing::fake_steward> m_otherSteward;
    std::optional<testing::running_gate> m_firstGate;
    std::optional<testing::running_gate> m_otherGate;
};

TEST_F(once_contract, ATicketRunsOnceThroughAnyGate)
{
    const testing::header_list headers{ { "Reedtrail-Ticket", ticketOf(31000) } };
    EXPECT_EQ(order(31020, headers).body, "proof 1") << "the other gate passes it on";
    EXPECT_EQ(order(31000, headers).body, "proof 1") << "the kept answer";
    const caller_answer again = order(31020, headers);
    EXPECT_EQ(again.body, "proof 1");
    EXPECT_EQ(again.fields.at("Reedtrail-Replayed"), "1");
    EXPECT_EQ(m_server.requests(), 1U);
}

TEST_F(once_contract, ATicketIsBoundToItsCustomerAndContent)
{
    const std::string ticket = ticketOf(31000);
    EXPECT_EQ(order(31000, { { "Reedtrail-Ticket", ticket } }).body, "proof 1");
    EXPECT_EQ(order(31000, { { "Reedtrail-Ticket", ticket } }, "another menu").fields.at("Reedtrail-Error"), "ticket-unknown");
    EXPECT_EQ(order(31000, { { "Reedtrail-Ticket", ticket }, { "Authorization", "Bearer t2" } }).fields.at("Reedtrail-Error"), "ticket-unknown");
    EXPECT_EQ(order(31000, { { "Reedtrail-Ticket", "made up" } }).fields.at("Reedtrail-Error"), "ticket-unknown");
    EXPECT_EQ(m_server.requests(), 1U);
}

TEST_F(once_contract, ATicketOfAGateThatIsGoneIsUnknown)
{
    const testing::header_list headers{ { "Reedtrail-Ticket", ticketOf(31000) } };
    m_firstGate.reset();
    const caller_answer answer = order(31020, headers);
    EXPECT_EQ(answer.fields.at("Reedtrail-Error"), "ticket-foreign");
    EXPECT_EQ(answer.outcome(), "unknown");
    m_firstGate.emplace(m_one, 2000);
    m_firstGate->waitForServers(1);
    EXPECT_EQ(order(31000, headers).fields.at("Reedtrail-Error"), "ticket-foreign") << "a later process of the node is another issuer";
    EXPECT_EQ(m_server.requests(), 0U);
}

TEST_F(once_contract, AnIdempotencyKeyRunsOnceThroughAnyGate)
{
    const testing::header_list headers{ { "Idempotency-Key", "k1" } };
    EXPECT_EQ(order(31000, headers).body, "proof 1");
    EXPECT_EQ(order(31020, headers).body, "proof 1");
    EXPECT_EQ(order(31020, { { "Idempotency-Key", "k1" }, { "Authorization", "Bearer t2" } }).body, "proof 2") << "another customer's key of the same text";
    EXPECT_EQ(m_server.requests(), 2U);
}

TEST_F(once_contract, AKeyWhoseClaimAnswerIsLostStillRunsOnce)
{
    const testing::header_list headers{ { "Idempotency-Key", "k1" } };
    m_store.answersToLose = 1;
    EXPECT_EQ(order(31000, headers).body, "proof 1") << "the claim is sent again and finds its own record";
    EXPECT_EQ(order(31020, headers).body, "proof 1");
    EXPECT_EQ(m_server.requests(), 1U);
}

TEST_F(once_contract, AKeyIsUnknownWhileTheStoreIsOutAndTicketsGoOn)
{
    m_store.isSilent = true;
    const caller_answer answer = order(31000, { { "Idempotency-Key", "k1" } });
    EXPECT_EQ(answer.outcome(), "unknown");
    EXPECT_NE(answer.body.find(R"("retrySafe":true)"), std::string::npos);
    EXPECT_EQ(m_server.requests(), 0U);
    EXPECT_EQ(order(31000, { { "Reedtrail-Ticket", ticketOf(31000) } }).body, "proof 1");
}

TEST_F(once_contract, AnOutcomeThatIsUnknownStaysUnknown)
{
    m_script = [](scripted_connection &connection, const received_request &) {
        connection.close();
    };
    const testing::header_list headers{ { "Reedtrail-Ticket", ticketOf(31000) } };
    EXPECT_EQ(order(31000, headers).outcome(), "unknown");
    EXPECT_EQ(order(31020, headers).outcome(), "unknown");
    EXPECT_EQ(order(31000, headers).outcome(), "unknown");
    EXPECT_EQ(m_server.requests(), 1U);
}

TEST_F(once_contract, NotRunIsFinalUntilTheCallerRaisesItsAttempt)
{
    m_script = [](scripted_connection &connection, const received_request &request) {
        if (request.number <= 3) {
            connection.respond(503, "", "Reedtrail-Not-Started: 1\r\n");
        } else {
            connection.respond(200, "proof");
        }
    };
    const testing::header_list headers{ { "Reedtrail-Ticket", ticketOf(31000) }, { "Reedtrail-Deadline-Ms", "400" } };
    const caller_answer refused = order(31000, headers);
    ASSERT_EQ(refused.outcome(), "not-run") << refused.body;
    const std::uint64_t sent = m_server.requests();
    EXPECT_EQ(order(31000, headers).outcome(), "not-run");
    EXPECT_EQ(m_server.requests(), sent) << "a copy that comes late does not run after all";
    m_script = [](scripted_connection &connection, const received_request &) {
        connection.respond(200, "proof");
    };
    EXPECT_EQ(order(31000, { headers.front(), { "Reedtrail-Attempt", "1" } }).body, "proof");
    EXPECT_EQ(order(31000, headers).body, "proof");
}

TEST_F(once_contract, ADrainingGateGivesKeptAnswersAndRunsNothingNew)
{
    const std::string used = ticketOf(31000);
    const std::string unused = ticketOf(31000);
    EXPECT_EQ(order(31000, { { "Reedtrail-Ticket", used } }).body, "proof 1");
    std::future<void> drained = m_firstGate->drain();
    // The order to drain crosses two threads; until it has arrived the gate rightly runs what comes.
    m_firstGate->waitUntil([](const nlohmann::json &state) {
        return state.at("traffic").at("drain") != "serving";
    });
    EXPECT_EQ(order(31000, { { "Reedtrail-Ticket", used } }).body, "proof 1");
    const caller_answer refused = order(31000, { { "Reedtrail-Ticket", unused } });
    EXPECT_EQ(refused.fields.at("Reedtrail-Error"), "draining");
    EXPECT_EQ(refused.outcome(), "not-run");
    drained.wait();
    EXPECT_EQ(m_server.requests(), 1U);
}

} // namespace
} // namespace reedtrail
