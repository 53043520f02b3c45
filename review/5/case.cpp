// Case 5: a server runs a request that was smuggled inside an item of a batch job.
//
// A batch job has four items. With the disruption, the value of a header of one item contains line ends and, after them, the begin of a second request to a
// path of another route. The edge machine must not write that value into the item's request as it stands.

#include "review/standins/platform.h"

#include <algorithm>
#include <set>

namespace review {
namespace {

using nlohmann::json;

constexpr int items = 4;
constexpr int eventsOfItem = 3;
constexpr std::int64_t itemMs = 60;
constexpr std::int64_t readPauseMs = 400;
constexpr std::int64_t longestJobMs = 8000; ///< A job that the edge machine answers with 400, or whose item it never sends, keeps the rule.
constexpr const char *smuggledId = "smuggled0";

/** What a server has run. */
struct served_request
{
    std::string id;
    std::string path;
};

class run_log
{
public:
    explicit run_log(record_file &record)
        : m_record(record)
    {
    }
    void add(const std::string &server, const http_message &request)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({ request.get("Request-Id"), request.path() });
        m_record.line(server + " runs " + request.method + " " + request.target + ", Request-Id " + request.get("Request-Id"));
    }
    /** Returns the requests whose id no client sent, or whose path isn't that of the item with their id. */
    std::vector<served_request> unasked(const std::map<std::string, std::string> &asked)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<served_request> found;
        std::ranges::copy_if(m_runs, std::back_inserter(found), [&](const served_request &each) {
            const auto sent = asked.find(each.id);
            return sent == asked.end() || sent->second != each.path;
        });
        return found;
    }

private:
    std::mutex m_mutex;
    record_file &m_record;
    std::vector<served_request> m_runs;
};

class model_server
{
public:
    model_server(record_file &record, run_log &runs, std::string id)
        : m_record(record)
        , m_runs(runs)
        , m_id(std::move(id))
        , m_listener([this](tcp_connection &connection) {
            serve(connection);
        })
    {
    }

    std::uint16_t port() const
    {
        return m_listener.port();
    }

private:
    void serve(tcp_connection &connection)
    {
        while (const std::optional<http_message> request = connection.readRequest()) {
            if (!connection.write(answer(*request))) {
                return;
            }
        }
    }

    std::string answer(const http_message &request)
    {
        const std::string id = request.get("Request-Id");
        if (request.path() == "/-/report") {
            const json models = json::array({ { { "name", "m0" }, { "version", 1 }, { "adapters", json::array() } } });
            return encodeResponse(200, { { "Content-Type", "application/json" } }, json{ { "models", models }, { "busy", false }, { "sequence", 0 } }.dump());
        }
        if (id.empty()) {
            m_record.line(m_id + " rejects " + request.method + " " + request.target + ", which has no id");
            return encodeResponse(400, { { "Not-Executed", "1" } }, "");
        }
        const std::string expected = request.get("Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            return encodeResponse(421, { { "Request-Id", id }, { "Not-Executed", "1" } }, "");
        }
        m_runs.add(m_id, request);
        sleepMs(itemMs);
        std::string text;
        for (int i = std::atoi(request.get("Last-Event-Id").c_str()) + 1; i <= eventsOfItem; ++i) {
            text += "id: " + std::to_string(i) + "\ndata: " + id + "/" + std::to_string(i) + "\n\n";
        }
        return encodeResponse(
            200, { { "Request-Id", id }, { "Server-Signature", "sig." + id }, { "Weight-Versions", "1" }, { "Content-Type", "text/event-stream" } }, text);
    }

    record_file &m_record;
    run_log &m_runs;
    std::string m_id;
    tcp_listener m_listener;
};

json makeJob(bool hasTrouble)
{
    const std::string harmless = "note";
    const std::string smuggled = harmless + "\r\nContent-Length: 0\r\n\r\nPOST /pay/all HTTP/1.1\r\nHost: " + hostName + "\r\nRequest-Id: " + smuggledId;
    json rows = json::array();
    for (int i = 0; i < items; ++i) {
        const std::string number = std::to_string(i);
        rows.push_back({ { "id", "item" + number },
                         { "path", "/roll/" + number },
                         { "headers",
                           { { "Model", "m0" },
                             { "Token-Count", "271,8" },
                             { "Prompt-Prefix", "9c2e41:255,5d07b" + number + ":16" },
                             { "X-Note", hasTrouble && i == 2 ? smuggled : harmless } } },
                         { "body", encodeBase64("prompt " + number) },
                         { "tokens", 279 },
                         { "group", "g" + number } });
    }
    return { { "step", 0 }, { "model", "m0" }, { "minVersion", 1 }, { "groupCount", items }, { "items", rows } };
}

[[noreturn]] void run(const case_setup &setup)
{
    record_file record(setup.record);
    metadata_store store(record);
    run_log runs(record);
    json roll = makeRoute("roll", "/roll/", "rollout", "lm");
    roll["runTargetMs"] = 7500;
    roll["itemTtlS"] = 60;
    const json engine{ { "slots", 12 }, { "kvTokens", 40382 }, { "models", json::array({ { { "name", "m0" } } }) } };
    store.put("op/config",
              { { "version", 1 },
                { "routes", json::array({ roll, makeRoute("pay", "/pay/", "non_idempotent", "ledger") }) },
                { "services",
                  json::array({ { { "name", "lm" }, { "healthPath", "/health" }, { "maxConns", 160 }, { "engine", engine } },
                                { { "name", "ledger" }, { "healthPath", "/health" }, { "maxConns", 110 } } }) },
                { "limits", json::object() } });
    model_server first(record, runs, "i-1");
    model_server second(record, runs, "i-2");
    for (model_server *each : { &first, &second }) {
        json entry = makeRegistration("lm", each->port(), "zone-a", 12, unixMs(), "v1");
        entry["models"] = json::array({ { { "name", "m0" }, { "version", 1 }, { "adapters", json::array() } } });
        store.put(each == &first ? "servers/i-1" : "servers/i-2", entry);
    }
    deployment nodes(setup, store.port(), 2);
    if (!nodes.start()) {
        record.line("the edge machines did not become ready");
        finish(nodes, couldNotRun);
    }
    std::map<std::string, std::string> asked;
    for (int i = 0; i < items; ++i) {
        asked["item" + std::to_string(i)] = "/roll/" + std::to_string(i);
    }
    const std::string job = makeJob(setup.hasTrouble).dump();
    record.line("a client submits " + job);
    const call_result accepted = callOnce(nodes.edge(0).callers(), "POST", "/roll/7c41e0", { { "Request-Id", "job0" } }, job, 5000);
    record.line("the batch job is answered " + std::to_string(accepted.status));
    std::size_t listed = 0;
    const std::int64_t deadline = elapsedMs() + longestJobMs;
    while (accepted.status == 202 && listed < items && elapsedMs() < deadline) {
        const call_result page = callOnce(nodes.edge(1).callers(), "GET", "/-/lots/job0?after=" + std::to_string(listed), { { "Wait-Ms", "1000" } }, "", 4000);
        const json body = json::parse(page.body, nullptr, false);
        listed += page.status == 200 && body.is_object() ? body.at("results").size() : 0;
        sleepMs(readPauseMs);
    }
    callOnce(nodes.edge(0).callers(), "DELETE", "/-/lots/job0", {}, "", 4000);
    const std::vector<served_request> unasked = runs.unasked(asked);
    for (const served_request &each : unasked) {
        record.line("RUN THAT NOBODY SENT: " + each.path + ", Request-Id " + each.id);
    }
    record.line("listed " + std::to_string(listed) + " of " + std::to_string(items) + ", runs that nobody sent " + std::to_string(unasked.size()));
    if (unasked.empty() && (nodes.hasEnded() || (!setup.hasTrouble && listed < items))) {
        finish(nodes, couldNotRun);
    }
    finish(nodes, unasked.empty() ? ruleHeld : ruleBroken);
}

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    const std::optional<review::case_setup> setup = review::readSetup(argc, argv);
    if (!setup) {
        return review::couldNotRun;
    }
    review::run(*setup);
}
