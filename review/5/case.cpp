// Case 5: items of a batch job are abandoned before their reward calls have failed as often as the routes allow.
//
// A trainer's batch job has 64 items. The reward call of the first one goes through a route with maxAttempts 2, those of the others through a route with
// maxAttempts 4; the batch job's own route has 4 as well. With the disruption, the reward calls of two of the others always fail, as a few calls do.

#include "review/standins/platform.h"

#include <algorithm>
#include <set>

namespace review {
namespace {

using nlohmann::json;

constexpr int items = 64;
constexpr int itemsOfGroup = 2;
constexpr int eventsOfItem = 4;
constexpr int lenientAttempts = 4;
constexpr int strictAttempts = 2;
constexpr std::int64_t eventPauseMs = 20;
constexpr std::int64_t scoreMs = 40;
constexpr std::int64_t readPauseMs = 400;
constexpr std::int64_t longestJobMs = 30000; ///< Half of itemTtlS.

/** Calls that the servers have answered. */
class answer_log
{
public:
    explicit answer_log(record_file &record)
        : m_record(record)
    {
    }
    void add(const std::string &server, const std::string &request, int status)
    {
        const std::lock_guard lock(m_mutex);
        m_failures[request] += status == 500 ? 1 : 0;
        m_record.line(server + " answers " + request + " with " + std::to_string(status));
    }
    int failuresOf(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        return m_failures[request];
    }

private:
    std::mutex m_mutex;
    record_file &m_record;
    std::map<std::string, int> m_failures;
};

/** A server of the model, or one that judges texts. */
class job_server
{
public:
    job_server(answer_log &answers, std::string id, std::set<std::string> failing)
        : m_answers(answers)
        , m_id(std::move(id))
        , m_failing(std::move(failing))
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
            const std::string id = request->get("Request-Id");
            if (request->path() == "/-/report") {
                const json models = json::array({ { { "name", "m0" }, { "version", 1 }, { "adapters", json::array() } } });
                const json report{ { "stage", "both" }, { "models", models }, { "busy", false },    { "sequence", 0 }, { "queued", 0 },
                                   { "active", 0 },     { "kvUsed", 0 },      { "kvTotal", 40000 }, { "handles", 0 } };
                connection.write(encodeResponse(200, { { "Content-Type", "application/json" } }, report.dump()));
                continue;
            }
            if (request->get("Expect-Instance") != m_id) {
                connection.write(encodeResponse(421, { { "Request-Id", id }, { "Not-Executed", "1" } }, ""));
            } else if (request->path().starts_with("/judge")) {
                sleepMs(scoreMs);
                const int status = m_failing.contains(id) ? 500 : 200;
                m_answers.add(m_id, id, status);
                connection.write(encodeResponse(status, { { "Request-Id", id }, { "Server-Signature", "sig." + id } }, "judged"));
            } else if (!runItem(connection, id, std::atoi(request->get("Last-Event-Id").c_str()))) {
                return;
            }
        }
    }

    bool runItem(tcp_connection &connection, const std::string &id, int lastEvent)
    {
        std::string text;
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: sig." + id
                         + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = lastEvent + 1; i <= eventsOfItem; ++i) {
            sleepMs(eventPauseMs);
            const std::string event = "id: " + std::to_string(i) + "\ndata: " + id + "/" + std::to_string(i) + "\n\n";
            char size[24];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!connection.write(size + event + "\r\n")) {
                return false;
            }
        }
        m_answers.add(m_id, id, 200);
        return connection.write("0\r\n\r\n");
    }

    answer_log &m_answers;
    std::string m_id;
    std::set<std::string> m_failing;
    tcp_listener m_listener;
};

json makeJob()
{
    json rows = json::array();
    for (int i = 0; i < items; ++i) {
        const std::string number = std::to_string(i);
        rows.push_back({ { "id", "item" + number },
                         { "path", "/roll/" + number },
                         { "headers", { { "Model", "m0" }, { "Token-Count", "271,8" }, { "Prompt-Prefix", "9c2e41:255,5d07b" + number + ":16" } } },
                         { "body", encodeBase64("prompt " + number) },
                         { "tokens", 279 },
                         { "group", "g" + std::to_string(i / itemsOfGroup) },
                         { "scorer",
                           { { "id", "score" + number },
                             { "hostname", hostName },
                             { "path", std::string(i == 0 ? "/judge-a/" : "/judge-b/") + number },
                             { "body", encodeBase64("judge " + number) } } } });
    }
    return { { "step", 0 }, { "model", "m0" }, { "minVersion", 1 }, { "groupCount", items / itemsOfGroup }, { "items", rows } };
}

json makeConfiguration()
{
    json roll = makeRoute("roll", "/roll/", "rollout", "lm");
    roll["maxAttempts"] = lenientAttempts;
    roll["runTargetMs"] = 7500;
    roll["itemTtlS"] = 60;
    json strict = makeRoute("judge-a", "/judge-a/", "idempotent", "judges");
    strict["maxAttempts"] = strictAttempts;
    json lenient = makeRoute("judge-b", "/judge-b/", "idempotent", "judges");
    lenient["maxAttempts"] = lenientAttempts;
    const json engine{ { "slots", 12 }, { "kvTokens", 40382 }, { "models", json::array({ { { "name", "m0" } } }) } };
    return { { "version", 1 },
             { "routes", json::array({ roll, strict, lenient }) },
             { "services",
               json::array({ { { "name", "lm" }, { "healthPath", "/health" }, { "maxConns", 160 }, { "engine", engine } },
                             { { "name", "judges" }, { "healthPath", "/health" }, { "maxConns", 110 } } }) },
             { "limits", json::object() } };
}

[[noreturn]] void run(const case_setup &setup)
{
    record_file record(setup.record);
    metadata_store store(record);
    answer_log answers(record);
    const std::set<std::string> failing = setup.hasTrouble ? std::set<std::string>{ "score23", "score46" } : std::set<std::string>{};
    store.put("op/config", makeConfiguration());
    std::vector<std::unique_ptr<job_server>> servers;
    for (int i = 0; i < 4; ++i) {
        const std::string id = "i-" + std::to_string(i);
        servers.push_back(std::make_unique<job_server>(answers, id, failing));
        json entry = makeRegistration(i < 2 ? "lm" : "judges", servers.back()->port(), i % 2 == 0 ? "zone-a" : "zone-b", i < 2 ? 12 : 6, unixMs(), "v1");
        if (i < 2) {
            entry["models"] = json::array({ { { "name", "m0" }, { "version", 1 }, { "adapters", json::array() } } });
        }
        store.put("servers/" + id, entry);
    }
    deployment nodes(setup, store.port(), 2);
    if (!nodes.start()) {
        record.line("the edge machines did not become ready");
        finish(nodes, couldNotRun);
    }
    const call_result accepted = callOnce(nodes.edge(0).callers(), "POST", "/roll/7c41e0", { { "Request-Id", "job0" } }, makeJob().dump(), 5000);
    record.line("the batch job is answered " + std::to_string(accepted.status));
    if (accepted.status != 202) {
        finish(nodes, couldNotRun);
    }
    int listed = 0;
    int tooEarly = 0;
    int completed = 0;
    const std::int64_t deadline = elapsedMs() + longestJobMs;
    while (listed < items && elapsedMs() < deadline) {
        const std::uint16_t port = nodes.edge(static_cast<std::size_t>(listed) % nodes.edges()).callers();
        const call_result page = callOnce(port, "GET", "/-/lots/job0?after=" + std::to_string(listed), { { "Wait-Ms", "1000" } }, "", 4000);
        const json body = json::parse(page.body, nullptr, false);
        for (const json &result : page.status == 200 && body.is_object() ? body.at("results") : json::array()) {
            ++listed;
            const auto item = result.at("id").get<std::string>();
            const bool isAbandoned = result.at("state").get<std::string>() == "abandoned";
            const int failures = answers.failuresOf("score" + item.substr(4));
            const int allowed = item == "item0" ? strictAttempts : lenientAttempts;
            const bool isTooEarly = isAbandoned && failures < allowed;
            tooEarly += isTooEarly ? 1 : 0;
            completed += isAbandoned ? 0 : 1;
            record.line(item + " is listed as " + result.at("state").get<std::string>() + " after " + std::to_string(failures)
                        + " answers of 500 to its reward call, of " + std::to_string(allowed) + " that its route allows" + (isTooEarly ? ": TOO EARLY" : ""));
        }
        sleepMs(readPauseMs);
    }
    record.line("listed " + std::to_string(listed) + " of " + std::to_string(items) + ", completed " + std::to_string(completed) + ", abandoned too early "
                + std::to_string(tooEarly));
    if (tooEarly == 0 && (nodes.hasEnded() || listed < items || completed < items - static_cast<int>(failing.size()))) {
        finish(nodes, couldNotRun);
    }
    finish(nodes, tooEarly > 0 ? ruleBroken : ruleHeld);
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
