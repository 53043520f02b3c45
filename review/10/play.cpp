// A batch job is ended while the answer of the store that would tell its node is lost. For how long does the node go on with it?

#include "review/standins-2/deployment.h"

#include "platform/base64.h"

#include <cstdio>
#include <set>

namespace reedtrail::review {
namespace {

using nlohmann::json;

constexpr int jobCount = 8;
constexpr int itemsOfJob = 20;
constexpr int itemsOfFirstJob = 260; // It takes most places of the servers for some 15 s.
constexpr milliseconds firstTextTime(2000);
constexpr milliseconds textTime(8000);
constexpr int slots = 12;
constexpr milliseconds firstJobAt(4000);
constexpr milliseconds jobsAt(9000);
constexpr milliseconds secondNodeAt(6000);
constexpr milliseconds endsAt(12000);
constexpr milliseconds endAt(26000);
constexpr milliseconds countedFrom(9900); // The time for which answers may be lost, 4.5 s, around the loss.
constexpr milliseconds countedUntil(14400);
constexpr milliseconds lossTime(300); // In which answers to watches are lost, around the ends.
constexpr int cancelMs = 3000;
constexpr int contactMs = 3000;

class end_case
{
public:
    end_case()
        : m_fleet("review/10")
    {
    }

    int run()
    {
        if (!m_fleet.start() || !startStorePath()) {
            return caseNotRun;
        }
        const json roll{ { "name", "r-roll" }, { "hostname", "chat.example" }, { "prefix", "/roll/" },     { "kind", "rollout" }, { "timeoutMs", 10000 },
                         { "priority", 1 },    { "service", "engines" },       { "targetLatencyMs", 400 }, { "maxAttempts", 3 },  { "runTargetMs", 7500 },
                         { "itemTtlS", 60 } };
        const json engine{ { "slots", slots }, { "kvTokens", 36488 }, { "models", json::array({ json{ { "name", "m0" } } }) } };
        m_fleet.configure(json::array({ roll }),
                          json::array({ json{ { "name", "engines" }, { "healthPath", "/health" }, { "maxConns", 160 }, { "engine", engine } } }));
        for (int i = 0; i < 3; ++i) {
            const bool isStarted = m_fleet.addServer("engine-" + std::to_string(i), "engines", "zone-a", [this](auto exchange) {
                runItem(std::move(exchange));
            });
            if (!isStarted) {
                return caseNotRun;
            }
        }
        m_fleet.startNodes(1);
        m_fleet.after(firstJobAt, [this] {
            submit(m_firstJob, itemsOfFirstJob);
        });
        m_fleet.after(jobsAt, [this] {
            for (int i = 0; i < jobCount; ++i) {
                m_jobs.push_back(newId());
                submit(m_jobs.back(), itemsOfJob);
            }
        });
        m_fleet.after(secondNodeAt, [this] {
            m_fleet.note("a machine is added");
            m_fleet.addNode();
        });
        m_fleet.after(endsAt, [this] {
            m_losesAnswers = hasTrouble();
            for (const std::string &job : m_jobs) {
                end(job);
            }
        });
        m_fleet.after(endsAt + lossTime, [this] {
            m_losesAnswers = false;
        });
        m_fleet.run(endAt);
        return judge();
    }

private:
    /** Starts the path to the store, on which answers can be lost. */
    bool startStorePath()
    {
        const endpoint path = m_fleet.freeEndpoint();
        m_path = std::make_unique<http_server>(m_fleet.io(), http_server_options{ .address = path }, [this](std::shared_ptr<http_exchange> exchange) {
            passToStore(std::move(exchange));
        });
        m_fleet.setStorePath(path);
        return static_cast<bool>(m_path->start());
    }

    void passToStore(std::shared_ptr<http_exchange> exchange)
    {
        http_request request{ exchange->request().method, exchange->request().target, {}, exchange->request().body };
        request.fields.set("Content-Type", "application/json");
        const bool isWatchOfJob = request.path() == "/-/kv-watch" && request.query("prefix").value_or("").starts_with("reedtrail/job/");
        http_call_options options;
        options.silenceTimeout = std::chrono::seconds(40);
        const auto call = m_storeClient.call(
            m_fleet.storeAddress(), std::move(request), options, [this, exchange, isWatchOfJob](const http_call_end &end, const http_response &answer) {
                m_answers += m_fleet.now() >= countedFrom.count() && m_fleet.now() < countedUntil.count() ? 1 : 0;
                if (end.error != error_kind::None) {
                    exchange->abort();
                } else if (isWatchOfJob && m_losesAnswers) {
                    m_fleet.note("the answer to a watch is lost: " + exchange->request().target);
                    m_lost.push_back(exchange); // Nothing further comes on this connection.
                } else {
                    exchange->respond({ answer.status, { { "Content-Type", "application/json" } }, answer.body });
                }
            });
        exchange->onGone([weak = std::weak_ptr(call)] {
            if (const auto pending = weak.lock()) {
                pending->cancel();
            }
        });
    }

    void runItem(std::shared_ptr<http_exchange> exchange)
    {
        const http_request &request = exchange->request();
        if (request.path() == "/-/report") {
            exchange->respond(jsonResponse(
                200,
                R"({"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":36488,"handles":0})"));
            return;
        }
        const std::string id(request.fields.get("Request-Id"));
        if (m_active >= slots * 3) {
            exchange->respond({ 503, { { "Request-Id", id }, { "Not-Executed", "1" } }, "" });
            return;
        }
        const std::string job = m_jobOf[id];
        const auto ended = m_endedAt.find(job);
        if (ended != m_endedAt.end()) {
            const auto late = m_fleet.now() - ended->second;
            m_latest = std::max(m_latest, late);
            if (late > std::max(cancelMs, static_cast<int>(lossTime.count()) + contactMs)) {
                ++m_late;
                m_fleet.note("server runs item " + id + " of " + job + ", " + std::to_string(late) + " ms after its end was acknowledged");
            }
        }
        ++m_active;
        http_response head = signedAnswer(request, 200, "");
        head.fields.set("Content-Type", "text/event-stream");
        head.fields.set("Weight-Versions", "1");
        exchange->startStream(std::move(head));
        m_fleet.after(job == m_firstJob ? firstTextTime : textTime, [this, exchange] {
            --m_active;
            exchange->write("id: 1\ndata: text\n\n");
            exchange->finishStream();
        });
    }

    void submit(const std::string &job, int itemCount)
    {
        json items = json::array();
        for (int i = 0; i < itemCount; ++i) {
            const std::string id = newId();
            m_jobOf[id] = job;
            items.push_back({ { "id", id },
                              { "path", "/roll/1/" + std::to_string(i) },
                              { "headers", { { "Model", "m0" }, { "Token-Count", "540,400" }, { "Prompt-Prefix", "9c2e41:300,5d07b8:240" } } },
                              { "body", platform::encodeBase64("prompt") },
                              { "tokens", 940 },
                              { "group", "g" + std::to_string(i / 4) } });
        }
        http_request request;
        request.method = "POST";
        request.target = "/roll/1";
        request.fields = { { "Host", "chat.example" }, { "Request-Id", job }, { "Content-Type", "application/json" } };
        request.body = json{ { "step", 0 }, { "model", "m0" }, { "minVersion", 1 }, { "groupCount", itemCount / 4 }, { "items", items } }.dump();
        m_fleet.client().call(m_fleet.nodes()[0].callers, std::move(request), {}, [this, job](const http_call_end &, const http_response &answer) {
            m_fleet.note("batch job " + job + " is answered " + std::to_string(answer.status));
            m_accepted += answer.status == 202 ? 1 : 0;
        });
    }

    void end(const std::string &job)
    {
        http_request request;
        request.method = "DELETE";
        request.target = "/-/lots/" + job;
        request.fields = { { "Host", "chat.example" } };
        m_fleet.client().call(m_fleet.nodes()[1].callers, std::move(request), {}, [this, job](const http_call_end &end, const http_response &answer) {
            m_fleet.note("the end of " + job + " is answered " + std::to_string(end.error == error_kind::None ? answer.status : 0));
            if (answer.status == 200) {
                m_endedAt.emplace(job, m_fleet.now());
            }
        });
    }

    int judge()
    {
        const std::string result = "jobs accepted: " + std::to_string(m_accepted) + ", ended: " + std::to_string(m_endedAt.size())
            + "; answers of the store lost: " + std::to_string(m_lost.size()) + " of " + std::to_string(m_answers)
            + " in 4.5 s; items too late: " + std::to_string(m_late) + ", the last one " + std::to_string(m_latest) + " ms after the end of its job";
        m_fleet.note(result);
        m_fleet.note(m_late > 0 ? "UNASKED is broken" : "UNASKED held");
        std::printf("%s: %s\n", m_late > 0 ? "broken" : "held", result.c_str());
        if (m_accepted <= jobCount || static_cast<int>(m_endedAt.size()) < jobCount) {
            return caseNotRun;
        }
        return m_late > 0 ? ruleBroken : ruleHeld;
    }

    deployment m_fleet;
    http_client m_storeClient{ m_fleet.io(), {} };
    std::unique_ptr<http_server> m_path;
    std::vector<std::shared_ptr<http_exchange>> m_lost;
    std::string m_firstJob = newId();
    std::vector<std::string> m_jobs;
    std::map<std::string, std::string> m_jobOf; ///< By id of the item.
    std::map<std::string, std::int64_t> m_endedAt; ///< When the end of a job was acknowledged.
    bool m_losesAnswers = false;
    int m_answers = 0; ///< Of the store in the time for which answers may be lost.
    int m_active = 0;
    int m_accepted = 0;
    int m_late = 0;
    std::int64_t m_latest = 0;
};

} // namespace
} // namespace reedtrail::review

int main()
{
    return reedtrail::review::end_case().run();
}
