// Contract of named requests, those with a ticket or an idempotency key: each runs at most once, whichever gate it is sent to. The tests use real sockets:
// two gates, a service that counts its requests, and a store that can drop its answers or stop answering.

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

/** A store that keeps the created records. It can be told to stop answering, or to apply writes and drop the answers. */
class test_store
{
public:
    explicit test_store(std::uint16_t port)
        : m_server("store", port, [this](scripted_connection &connection, const received_request &request) {
            answer(connection, request);
        })
    {
    }
    std::atomic<bool> isSilent{ false };
    std::atomic<int> answersToDrop{ 0 };

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
        if (answersToDrop > 0) {
            --answersToDrop;
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

/** Two gates, a service that counts its requests, and a store. */
class named_request_contract : public ::testing::Test
{
protected:
    named_request_contract()
        : m_store(31040)
        , m_server("desk-0",
                   31010,
                   [this](scripted_connection &connection, const received_request &request) {
                       m_script(connection, request);
                   })
        , m_firstNode(testing::nodeSettingsOn("entry-a1", 31000))
        , m_otherNode(testing::nodeSettingsOn("entry-b1", 31020))
    {
        m_firstNode.stores = m_otherNode.stores = { endpoint{ "127.0.0.1", 31040 } };
        const fleet_view view = withGates(testing::fleetViewOf({}, { 31010 }), { m_firstNode, m_otherNode });
        m_firstSteward.emplace(m_firstNode.listen.stewardPeer, view);
        m_otherSteward.emplace(m_otherNode.listen.stewardPeer, view);
        m_firstGate.emplace(m_firstNode, 1000);
        m_otherGate.emplace(m_otherNode, 1001);
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
    static std::string issueTicket(std::uint16_t port)
    {
        return nlohmann::json::parse(callGate(port, "POST", "/v1/tickets", "").body).at("ticket");
    }
    static caller_answer sendRequest(std::uint16_t port, const testing::header_list &headers, const std::string &body = "menu")
    {
        return callGate(port, "POST", "/svc/desk/orders", body, headers);
    }

    std::uint64_t m_checksBefore = failedChecks();
    scripted_server::script m_script = [](scripted_connection &connection, const received_request &request) {
        connection.respond(200, "proof " + std::to_string(request.number));
    };
    test_store m_store;
    scripted_server m_server;
    node_settings m_firstNode;
    node_settings m_otherNode;
    std::optional<testing::fake_steward> m_firstSteward;
    std::optional<testing::fake_steward> m_otherSteward;
    std::optional<testing::running_gate> m_firstGate;
    std::optional<testing::running_gate> m_otherGate;
};

TEST_F(named_request_contract, TicketRunsOnceThroughAnyGate)
{
    const testing::header_list headers{ { "Reedtrail-Ticket", issueTicket(31000) } };
    EXPECT_EQ(sendRequest(31020, headers).body, "proof 1") << "the other gate forwards the request";
    EXPECT_EQ(sendRequest(31000, headers).body, "proof 1") << "the stored answer is returned";
    const caller_answer again = sendRequest(31020, headers);
    EXPECT_EQ(again.body, "proof 1");
    EXPECT_EQ(again.fields.at("Reedtrail-Replayed"), "1");
    EXPECT_EQ(m_server.requests(), 1U);
}

TEST_F(named_request_contract, TicketIsBoundToItsCustomerAndContent)
{
    const std::string ticket = issueTicket(31000);
    EXPECT_EQ(sendRequest(31000, { { "Reedtrail-Ticket", ticket } }).body, "proof 1");
    EXPECT_EQ(sendRequest(31000, { { "Reedtrail-Ticket", ticket } }, "another menu").fields.at("Reedtrail-Error"), "ticket-unknown");
    EXPECT_EQ(sendRequest(31000, { { "Reedtrail-Ticket", ticket }, { "Authorization", "Bearer t2" } }).fields.at("Reedtrail-Error"), "ticket-unknown");
    EXPECT_EQ(sendRequest(31000, { { "Reedtrail-Ticket", "made up" } }).fields.at("Reedtrail-Error"), "ticket-unknown");
    EXPECT_EQ(m_server.requests(), 1U);
}

TEST_F(named_request_contract, TicketOfAStoppedGateHasUnknownOutcome)
{
    const testing::header_list headers{ { "Reedtrail-Ticket", issueTicket(31000) } };
    m_firstGate.reset();
    const caller_answer answer = sendRequest(31020, headers);
    EXPECT_EQ(answer.fields.at("Reedtrail-Error"), "ticket-foreign");
    EXPECT_EQ(answer.outcome(), "unknown");
    m_firstGate.emplace(m_firstNode, 2000);
    m_firstGate->waitForServers(1);
    EXPECT_EQ(sendRequest(31000, headers).fields.at("Reedtrail-Error"), "ticket-foreign") << "a restarted gate on the same node is a different issuer";
    EXPECT_EQ(m_server.requests(), 0U);
}

TEST_F(named_request_contract, IdempotencyKeyRunsOnceThroughAnyGate)
{
    const testing::header_list headers{ { "Idempotency-Key", "k1" } };
    EXPECT_EQ(sendRequest(31000, headers).body, "proof 1");
    EXPECT_EQ(sendRequest(31020, headers).body, "proof 1");
    EXPECT_EQ(sendRequest(31020, { { "Idempotency-Key", "k1" }, { "Authorization", "Bearer t2" } }).body, "proof 2")
        << "the same key of another customer is a different request";
    EXPECT_EQ(m_server.requests(), 2U);
}

TEST_F(named_request_contract, KeyRunsOnceIfTheClaimAnswerIsLost)
{
    const testing::header_list headers{ { "Idempotency-Key", "k1" } };
    m_store.answersToDrop = 1;
    EXPECT_EQ(sendRequest(31000, headers).body, "proof 1") << "the claim is retried and finds the record it created";
    EXPECT_EQ(sendRequest(31020, headers).body, "proof 1");
    EXPECT_EQ(m_server.requests(), 1U);
}

TEST_F(named_request_contract, StoreOutageBlocksKeysButNotTickets)
{
    m_store.isSilent = true;
    const caller_answer answer = sendRequest(31000, { { "Idempotency-Key", "k1" } });
    EXPECT_EQ(answer.outcome(), "unknown");
    EXPECT_NE(answer.body.find(R"("retrySafe":true)"), std::string::npos);
    EXPECT_EQ(m_server.requests(), 0U);
    EXPECT_EQ(sendRequest(31000, { { "Reedtrail-Ticket", issueTicket(31000) } }).body, "proof 1");
}

TEST_F(named_request_contract, UnknownOutcomeStaysUnknown)
{
    m_script = [](scripted_connection &connection, const received_request &) {
        connection.close();
    };
    const testing::header_list headers{ { "Reedtrail-Ticket", issueTicket(31000) } };
    EXPECT_EQ(sendRequest(31000, headers).outcome(), "unknown");
    EXPECT_EQ(sendRequest(31020, headers).outcome(), "unknown");
    EXPECT_EQ(sendRequest(31000, headers).outcome(), "unknown");
    EXPECT_EQ(m_server.requests(), 1U);
}

TEST_F(named_request_contract, NotRunIsFinalUntilTheAttemptNumberRises)
{
    m_script = [](scripted_connection &connection, const received_request &request) {
        if (request.number <= 3) {
            connection.respond(503, "", "Reedtrail-Not-Started: 1\r\n");
        } else {
            connection.respond(200, "proof");
        }
    };
    const testing::header_list headers{ { "Reedtrail-Ticket", issueTicket(31000) }, { "Reedtrail-Deadline-Ms", "400" } };
    const caller_answer refused = sendRequest(31000, headers);
    ASSERT_EQ(refused.outcome(), "not-run") << refused.body;
    const std::uint64_t sent = m_server.requests();
    EXPECT_EQ(sendRequest(31000, headers).outcome(), "not-run");
    EXPECT_EQ(m_server.requests(), sent) << "a late duplicate of the refused request must not run";
    m_script = [](scripted_connection &connection, const received_request &) {
        connection.respond(200, "proof");
    };
    EXPECT_EQ(sendRequest(31000, { headers.front(), { "Reedtrail-Attempt", "1" } }).body, "proof");
    EXPECT_EQ(sendRequest(31000, headers).body, "proof");
}

TEST_F(named_request_contract, DrainingGateReturnsStoredAnswersAndRunsNothingNew)
{
    const std::string used = issueTicket(31000);
    const std::string unused = issueTicket(31000);
    EXPECT_EQ(sendRequest(31000, { { "Reedtrail-Ticket", used } }).body, "proof 1");
    std::future<void> drained = m_firstGate->drain();
    // The drain command is posted from the control to the traffic thread. Until it arrives there, the gate correctly runs new requests.
    m_firstGate->waitUntil([](const nlohmann::json &state) {
        return state.at("traffic").at("drain") != "serving";
    });
    EXPECT_EQ(sendRequest(31000, { { "Reedtrail-Ticket", used } }).body, "proof 1");
    const caller_answer refused = sendRequest(31000, { { "Reedtrail-Ticket", unused } });
    EXPECT_EQ(refused.fields.at("Reedtrail-Error"), "draining");
    EXPECT_EQ(refused.outcome(), "not-run");
    drained.wait();
    EXPECT_EQ(m_server.requests(), 1U);
}

} // namespace
} // namespace reedtrail
