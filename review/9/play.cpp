// Servers in trouble fail requests that they have run, without saying that they have not run them. What does the client of a request that may run once get?

#include "review/standins-2/deployment.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace reedtrail::review {
namespace {

using nlohmann::json;

constexpr int nodeCount = 2;
constexpr int serverCount = 7; // One of them is in trouble: a share of 0.15.
constexpr int failingOfTen = 4; // Of its requests: a share of 0.4.
constexpr std::size_t clientCount = 12;
constexpr milliseconds workTime(60);
constexpr milliseconds clientsAt(4000);
constexpr milliseconds troubleAt(6000);
constexpr milliseconds troubleEnd(14000);
constexpr milliseconds endAt(16000);

class grey_case
{
public:
    grey_case()
        : m_fleet("review/9")
    {
    }

    int run()
    {
        if (!m_fleet.start()) {
            return caseNotRun;
        }
        const json route{ { "name", "r-file" }, { "hostname", "chat.example" }, { "prefix", "/file/" },     { "kind", "non_idempotent" }, { "timeoutMs", 1500 },
                          { "priority", 2 },    { "service", "desk" },          { "targetLatencyMs", 600 }, { "maxAttempts", 2 } };
        m_fleet.configure(json::array({ route }), json::array({ json{ { "name", "desk" }, { "healthPath", "/health" }, { "maxConns", 110 } } }));
        for (int i = 0; i < serverCount; ++i) {
            const std::string zone = std::string("zone-") + static_cast<char>('a' + i % nodeCount);
            const bool isStarted = m_fleet.addServer("desk-" + std::to_string(i), "desk", zone, [this, i](auto exchange) {
                serve(std::move(exchange), i);
            });
            if (!isStarted) {
                return caseNotRun;
            }
        }
        m_fleet.startNodes(nodeCount);
        m_fleet.after(clientsAt, [this] {
            for (std::size_t i = 0; i < clientCount; ++i) {
                startFiling(i % nodeCount);
            }
        });
        m_fleet.run(endAt);
        return judge();
    }

private:
    /** Runs a request. The server that had most requests before is the one that gets into trouble. */
    void serve(std::shared_ptr<http_exchange> exchange, int server)
    {
        if (exchange->request().path() == "/health") {
            exchange->respond({ 200, {}, "" });
            return;
        }
        const std::string id(exchange->request().fields.get("Request-Id"));
        const std::string record = exchange->request().body;
        m_run.insert(id);
        ++m_filed[record];
        const bool isTroubleTime = m_fleet.now() > troubleAt.count() && m_fleet.now() < troubleEnd.count();
        if (!isTroubleTime) {
            ++m_requestsOf[server];
        }
        const int busiest = static_cast<int>(std::ranges::max_element(m_requestsOf) - m_requestsOf.begin());
        const bool isTroubled = hasTrouble() && isTroubleTime && server == busiest;
        const bool doesFail = isTroubled && ++m_greyRequests % 10 < failingOfTen;
        m_fleet.after(workTime, [this, exchange, id, doesFail] {
            if (exchange->isGone()) {
                return;
            }
            if (doesFail) {
                m_fleet.note("server has run " + id + " and answers 503, without Not-Executed");
            }
            exchange->respond(signedAnswer(exchange->request(), doesFail ? 503 : 200, doesFail ? "failed after the record was written" : "filed"));
        });
    }

    void startFiling(std::size_t node)
    {
        file(node, "record " + newId(), 0);
    }

    /** Files a record; comes back only after a promise that it has not been filed, with a new id, as clients do. */
    void file(std::size_t node, const std::string &record, int tries)
    {
        const std::string id = newId();
        http_request request;
        request.method = "POST";
        request.target = "/file/1";
        request.body = record;
        request.fields = { { "Host", "chat.example" }, { "Request-Id", id }, { "Deadline-Ms", "1500" } };
        http_call_options options;
        options.deadline = milliseconds(1500);
        m_fleet.client().call(
            m_fleet.nodes()[node].callers, std::move(request), options, [this, node, id, record, tries](const http_call_end &end, const http_response &answer) {
                const bool isPromise = end.error == error_kind::None && (answer.status == 503 || answer.status == 429);
                ++m_answers[end.error == error_kind::None ? answer.status : 0];
                if (isPromise && m_run.contains(id)) {
                    ++m_falsePromises;
                    m_fleet.note("client of " + id + " is answered " + std::to_string(answer.status) + ", though a server has run it");
                }
                m_fleet.after(milliseconds(20), [this, node, record, tries, isPromise] {
                    isPromise &&tries == 0 ? file(1 - node, record, tries + 1) : startFiling(node);
                });
            });
    }

    int judge()
    {
        int twice = 0;
        for (const auto &[record, count] : m_filed) {
            twice += count > 1 ? 1 : 0;
        }
        std::string result;
        for (const auto &[status, count] : m_answers) {
            result += std::to_string(status) + ": " + std::to_string(count) + ", ";
        }
        result += "answered 429 or 503 and has run: " + std::to_string(m_falsePromises) + "; records filed twice: " + std::to_string(twice);
        m_fleet.note(result);
        m_fleet.note(m_falsePromises > 0 ? "REFUSED is broken" : "REFUSED held");
        std::printf("%s: %s\n", m_falsePromises > 0 ? "broken" : "held", result.c_str());
        if (m_answers[200] == 0 || (hasTrouble() && m_greyRequests == 0)) {
            return caseNotRun;
        }
        return m_falsePromises > 0 ? ruleBroken : ruleHeld;
    }

    deployment m_fleet;
    std::set<std::string> m_run; ///< Ids of requests that a server ran.
    std::map<std::string, int> m_filed; ///< How often each record was filed.
    std::map<int, int> m_answers; ///< By status; 0 for none.
    std::array<int, serverCount> m_requestsOf{}; ///< Of each server, outside of the trouble.
    int m_greyRequests = 0;
    int m_falsePromises = 0;
};

} // namespace
} // namespace reedtrail::review

int main()
{
    return reedtrail::review::grey_case().run();
}
