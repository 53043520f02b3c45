// Case 13: a request crashes each server that runs it, in the way in which the machine falls silent: no connection is reset. The servers are back after three
// seconds. The request comes again, with the same path, caller and body.

#include "review/standins-3/back_end.h"

#include <cstdlib>
#include <set>

namespace reedtrail::review {
namespace {

constexpr int servers = 6;
constexpr milliseconds workTime(25);
constexpr milliseconds backAfter(3000);
constexpr milliseconds repeatInterval(3000); // Between two sends of the request.
constexpr int repeats = 15;
constexpr milliseconds ordinaryInterval(200);
constexpr std::int64_t contactMs = 3000;
constexpr std::size_t toleratedRetries = 3;

class crash_case
{
public:
    explicit crash_case(const case_options &options)
        : m_options(options)
        , m_platform(options)
        , m_isReset(std::getenv("CRASH") != nullptr && std::string(std::getenv("CRASH")) == "reset")
    {
    }

    int run()
    {
        using nlohmann::json;
        m_platform.writeConfiguration(json::array({ deployment::route("/save/", "idempotent", "logbook", { { "timeoutMs", 1500 } }) }),
                                      json::array({ json{ { "name", "logbook" }, { "healthPath", "/health" } } }));
        for (int i = 1; i <= servers; ++i) {
            const back_end_facts facts{ "logbook", "i-" + std::to_string(++m_lastServer), "1", 6 };
            m_servers.push_back(std::make_unique<back_end>(m_platform, facts, [this](back_end &server, std::shared_ptr<http_exchange> exchange) {
                serve(server, std::move(exchange));
            }));
        }
        for (const char *zone : { "z1", "z2", "z3" }) {
            m_platform.addNode(zone, 110);
        }
        m_platform.whenReady([this] {
            m_platform.after(milliseconds(4000), [this] {
                sendOrdinary();
                m_platform.after(milliseconds(2000), [this] {
                    sendRepeated(0);
                });
            });
        });
        return m_platform.run();
    }

private:
    void serve(back_end &server, std::shared_ptr<http_exchange> exchange)
    {
        const std::string id(exchange->request().fields.get("Request-Id"));
        const bool isRepeated = exchange->request().body == repeatedBody;
        if (isRepeated) {
            const bool isCounted = m_thirdCrashAt > 0 && m_platform.now() > m_thirdCrashAt + contactMs;
            m_platform.record("run " + id + " at " + server.facts().id + (isCounted ? ", counts" : ""));
            if (isCounted) {
                m_retries.insert(id);
            }
        }
        m_platform.after(workTime, [this, &server, exchange, id, isRepeated, incarnation = server.incarnation()] {
            if (!server.isRunning() || server.incarnation() != incarnation || exchange->isGone()) {
                return;
            }
            if (isRepeated && m_options.hasTrouble) {
                crash(server);
                return;
            }
            exchange->respond({ 200, { { "Request-Id", id }, { "Server-Signature", "s-" + id } }, "saved" });
        });
    }

    void crash(back_end &server)
    {
        m_thirdCrashAt = ++m_crashes == 3 ? m_platform.now() : m_thirdCrashAt;
        m_platform.record("TROUBLE: " + server.facts().id + " crashes (crash " + std::to_string(m_crashes) + ")");
        m_isReset ? server.end() : server.goDark();
        m_platform.after(backAfter, [this, &server] {
            server.start("i-" + std::to_string(++m_lastServer), "1");
            m_platform.record("a server is back as " + server.facts().id);
        });
    }

    void send(const std::string &id, const std::string &body, std::function<void(int status)> onAnswer)
    {
        http_request request;
        request.method = "POST";
        request.target = "/save/note";
        request.fields = { { "Host", "review.example" }, { "Request-Id", id }, { "Deadline-Ms", "1500" } };
        request.body = body;
        const auto &node = m_platform.nodes()[m_nextNode++ % m_platform.nodes().size()];
        m_platform.client().call(node->callers,
                                 std::move(request),
                                 { .deadline = milliseconds(1600) },
                                 [onAnswer = std::move(onAnswer)](const http_call_end &end, const http_response &answer) {
                                     onAnswer(end.error == error_kind::None ? answer.status : 0);
                                 });
    }

    void sendOrdinary()
    {
        const std::string id = "o-" + std::to_string(++m_ordinary);
        send(id, "note " + id, [this](int status) {
            m_served += status == 200 ? 1 : 0;
        });
        m_platform.after(ordinaryInterval, [this] {
            sendOrdinary();
        });
    }

    void sendRepeated(int index)
    {
        if (index == repeats) {
            judge();
            return;
        }
        const std::string id = "r-" + std::to_string(index);
        m_platform.record("client sends " + id);
        send(id, repeatedBody, [this, id](int status) {
            m_platform.record("answer to " + id + ": status " + std::to_string(status));
        });
        m_platform.after(repeatInterval, [this, index] {
            sendRepeated(index + 1);
        });
    }

    void judge()
    {
        const std::string counts = std::to_string(m_retries.size()) + " retries of the request reached servers later than contactMs after its third crash, "
            + std::to_string(m_crashes) + " crashes; " + std::to_string(m_served) + " of " + std::to_string(m_ordinary) + " ordinary requests were served";
        if (m_served == 0 || (m_options.hasTrouble && m_crashes < 3)) {
            m_platform.finish(verdict::NotRun, counts);
        } else {
            m_platform.finish(m_crashes >= 3 && m_retries.size() > toleratedRetries ? verdict::Broken : verdict::Held, counts);
        }
    }

    static constexpr const char *repeatedBody = "the note that no server bears";

    case_options m_options;
    deployment m_platform;
    bool m_isReset; ///< Crashes reset the server's connections; for comparison.
    std::vector<std::unique_ptr<back_end>> m_servers;
    std::set<std::string> m_retries;
    std::int64_t m_thirdCrashAt = 0;
    int m_crashes = 0;
    int m_lastServer = 0;
    int m_ordinary = 0;
    int m_served = 0;
    std::size_t m_nextNode = 0;
};

} // namespace
} // namespace reedtrail::review

int main(int argc, char **argv)
{
    using namespace reedtrail::review;
    return crash_case(parseOptions(argc, argv)).run();
}
