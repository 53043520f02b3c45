// Case 11: clients hand in many batch jobs of legal size at once. Each is accepted as soon as a node has room to record it; what the node then holds of it is
// charged to nobody.

#include "platform/base64.h"
#include "review/standins-3/back_end.h"
#include "review/standins-3/memory_watch.h"

#include <cstdlib>

namespace reedtrail::review {
namespace {

constexpr int memoryMegabytes = 110; // Of an edge machine of the sheet.
constexpr int engines = 4;
constexpr int engineSlots = 8;
constexpr int jobs = 60;
constexpr int itemsOfJob = 20;
constexpr std::size_t largeItemBytes = 70U << 10U;
constexpr std::size_t smallItemBytes = 600;
constexpr int eventsOfItem = 5;
constexpr milliseconds eventInterval(100);
constexpr milliseconds retryPause(1000); // Of a client whose job was refused.
constexpr milliseconds readInterval(500);
constexpr milliseconds judgedAfter(60000);
constexpr std::size_t machinesOfFault = 2;

/** A client's batch job. */
struct client_job
{
    std::string id;
    std::string document;
    bool isAccepted = false;
    bool isEnded = false;
    std::size_t read = 0;
};

class jobs_case
{
public:
    explicit jobs_case(const case_options &options)
        : m_options(options)
        , m_platform(options)
        , m_watch(m_platform, memoryMegabytes)
    {
    }

    int run()
    {
        using nlohmann::json;
        const json models = json::array({ json{ { "name", "m0" }, { "version", 1 }, { "adapters", json::array() } } });
        m_platform.writeConfiguration(
            json::array({ deployment::route(
                "/roll/", "rollout", "models", { { "timeoutMs", 10000 }, { "runTargetMs", 7500 }, { "itemTtlS", 120 }, { "targetLatencyMs", 400 } }) }),
            json::array({ json{ { "name", "models" },
                                { "healthPath", "/health" },
                                { "engine", { { "slots", engineSlots }, { "models", json::array({ json{ { "name", "m0" } } }) } } } } }));
        for (int i = 1; i <= engines; ++i) {
            const back_end_facts facts{ "models", "i-" + std::to_string(i), "1", engineSlots, models };
            m_servers.push_back(std::make_unique<back_end>(m_platform, facts, [this](back_end &, std::shared_ptr<http_exchange> exchange) {
                serve(std::move(exchange));
            }));
        }
        for (const char *zone : { "z1", "z2", "z3" }) {
            m_platform.addNode(zone, memoryMegabytes);
        }
        m_platform.whenReady([this] {
            m_watch.start();
            m_platform.after(milliseconds(4000), [this] {
                m_platform.record((m_options.hasTrouble ? "TROUBLE: " : "") + std::to_string(jobs) + " clients hand in a job each");
                for (int i = 0; i < jobs; ++i) {
                    m_jobs.push_back(std::make_shared<client_job>(makeJob(i)));
                    submit(m_jobs.back());
                }
            });
            m_platform.after(judgedAfter, [this] {
                judge();
            });
        });
        return m_platform.run();
    }

private:
    client_job makeJob(int index) const
    {
        using nlohmann::json;
        const std::string id = "job" + std::to_string(index);
        const std::string body(m_options.hasTrouble ? largeItemBytes : smallItemBytes, static_cast<char>('a' + index % 26));
        json items = json::array();
        for (int i = 0; i < itemsOfJob; ++i) {
            items.push_back({ { "id", id + "x" + std::to_string(i) },
                              { "path", "/roll/" + std::to_string(i) },
                              { "headers", { { "Model", "m0" }, { "Token-Count", "100,50" } } },
                              { "body", platform::encodeBase64(body) },
                              { "tokens", 150 },
                              { "group", "g" + std::to_string(i / 4) } });
        }
        const json document{ { "step", index }, { "model", "m0" }, { "minVersion", 1 }, { "groupCount", itemsOfJob / 4 }, { "items", items } };
        return { id, document.dump(), false, false, 0 };
    }

    /** Streams the events of an item. */
    void serve(std::shared_ptr<http_exchange> exchange)
    {
        const http_request &request = exchange->request();
        const std::string id(request.fields.get("Request-Id"));
        if (m_running >= engines * engineSlots * 2) {
            exchange->respond({ 503, { { "Request-Id", id }, { "Not-Executed", "1" } }, "" });
            return;
        }
        ++m_running;
        const std::string last(request.fields.get("Last-Event-Id"));
        exchange->startStream(
            { 200, { { "Content-Type", "text/event-stream" }, { "Request-Id", id }, { "Server-Signature", "s-" + id }, { "Weight-Versions", "1" } }, "" });
        sendEvent(std::move(exchange), last.empty() ? 1 : std::stoi(last) + 1);
    }

    void sendEvent(std::shared_ptr<http_exchange> exchange, int number)
    {
        if (exchange->isGone() || number > eventsOfItem) {
            --m_running;
            exchange->finishStream();
            return;
        }
        exchange->write("id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n");
        m_platform.after(eventInterval, [this, exchange, number] {
            sendEvent(exchange, number + 1);
        });
    }

    const endpoint &nextNode()
    {
        return m_platform.nodes()[m_nextNode++ % m_platform.nodes().size()]->callers;
    }

    void submit(const std::shared_ptr<client_job> &job)
    {
        http_request request;
        request.method = "POST";
        request.target = "/roll/submit";
        request.fields = { { "Host", "review.example" }, { "Request-Id", job->id }, { "Content-Type", "application/json" }, { "Connection", "close" } };
        request.body = job->document;
        m_platform.client().call(nextNode(), std::move(request), {}, [this, job](const http_call_end &end, const http_response &answer) {
            job->isAccepted = end.error == error_kind::None && answer.status == 202;
            m_platform.record("submission of " + job->id + ": " + (end.error == error_kind::None ? std::to_string(answer.status) : end.detail));
            m_platform.after(job->isAccepted ? readInterval : retryPause, [this, job] {
                job->isAccepted ? read(job) : submit(job);
            });
        });
    }

    void read(const std::shared_ptr<client_job> &job)
    {
        http_request request;
        request.target = "/-/lots/" + job->id + "?after=" + std::to_string(job->read);
        request.fields = { { "Host", "review.example" }, { "Connection", "close" } };
        m_platform.client().call(nextNode(), std::move(request), {}, [this, job](const http_call_end &end, const http_response &answer) {
            if (end.error == error_kind::None && answer.status == 200) {
                job->read = nlohmann::json::parse(answer.body).at("next").get<std::size_t>();
            }
            m_platform.after(readInterval, [this, job] {
                job->read == itemsOfJob ? endJob(job) : read(job);
            });
        });
    }

    void endJob(const std::shared_ptr<client_job> &job)
    {
        http_request request;
        request.method = "DELETE";
        request.target = "/-/lots/" + job->id;
        request.fields = { { "Host", "review.example" }, { "Connection", "close" } };
        m_platform.client().call(nextNode(), std::move(request), {}, [this, job](const http_call_end &end, const http_response &answer) {
            job->isEnded = end.error == error_kind::None && answer.status == 200;
            if (job->isEnded) {
                m_platform.record(job->id + " is read and ended");
            } else {
                m_platform.after(readInterval, [this, job] {
                    endJob(job);
                });
            }
        });
    }

    void judge()
    {
        int accepted = 0;
        int ended = 0;
        for (const auto &job : m_jobs) {
            accepted += job->isAccepted ? 1 : 0;
            ended += job->isEnded ? 1 : 0;
        }
        const std::string counts = std::to_string(m_watch.totalKills()) + " processes were killed for their memory, on "
            + std::to_string(m_watch.machinesWithFault()) + " machines three times or more; at most "
            + std::to_string(static_cast<int>(m_watch.peakMegabytes())) + " MB of " + std::to_string(memoryMegabytes) + " were used; "
            + std::to_string(accepted) + " of " + std::to_string(jobs) + " jobs were accepted, " + std::to_string(ended) + " read and ended";
        if (accepted == 0) {
            m_platform.finish(verdict::NotRun, counts);
        } else {
            m_platform.finish(m_watch.machinesWithFault() >= machinesOfFault ? verdict::Broken : verdict::Held, counts);
        }
    }

    case_options m_options;
    deployment m_platform;
    memory_watch m_watch;
    std::vector<std::unique_ptr<back_end>> m_servers;
    std::vector<std::shared_ptr<client_job>> m_jobs;
    std::size_t m_nextNode = 0;
    int m_running = 0;
};

} // namespace
} // namespace reedtrail::review

int main(int argc, char **argv)
{
    using namespace reedtrail::review;
    return jobs_case(parseOptions(argc, argv)).run();
}
