// Case 11: the last server of an older software version is partitioned from the store, crashes behind the cut and starts again under its id with the newer
// version, which four servers already run. Clients take their streams up again.

#include "net/event_stream.h"
#include "review/standins-3/back_end.h"

#include <set>

namespace reedtrail::review {
namespace {

constexpr int eventsOfStream = 40;
constexpr milliseconds eventInterval(100);
constexpr int streamsOpened = 40;
constexpr milliseconds streamInterval(40); // Between two new streams.
constexpr milliseconds troubleAt(6500); // After the start of the streams that are open then.
constexpr milliseconds downTime(400);
constexpr milliseconds cutTime(5000);
constexpr int attemptsOfClient = 4; // The first one and a few retries.
constexpr milliseconds retryPause(300);
constexpr std::size_t toleratedMixed = 2; // ORDER: more than two streams.

/** A client's stream over its attempts. */
struct client_stream
{
    std::string subject;
    std::string begunBy; ///< Id of the attempt that brought the first event.
    int lastEvent = 0;
    int attempts = 0;
    std::set<std::string> builds;
    bool isComplete = false;
};

class stream_case
{
public:
    explicit stream_case(const case_options &options)
        : m_options(options)
        , m_platform(options)
    {
    }

    int run()
    {
        using nlohmann::json;
        m_platform.writeConfiguration(
            json::array({ deployment::route("/chat/", "streaming", "chat", { { "resumable", true }, { "timeoutMs", 10000 }, { "maxAttempts", 3 } }) }),
            json::array({ json{ { "name", "chat" }, { "healthPath", "/health" } } }));
        for (int i = 1; i <= 5; ++i) {
            const back_end_facts facts{ "chat", "i-" + std::to_string(i), i == 1 ? "1" : "2", 12 };
            m_servers.push_back(std::make_unique<back_end>(m_platform, facts, [this](back_end &server, std::shared_ptr<http_exchange> exchange) {
                serve(server, std::move(exchange));
            }));
        }
        for (const char *zone : { "z1", "z2", "z3" }) {
            m_platform.addNode(zone, 110);
        }
        m_platform.whenReady([this] {
            m_platform.after(milliseconds(4000), [this] {
                openStream(0);
                m_platform.after(troubleAt - milliseconds(4000), [this] {
                    if (m_options.hasTrouble) {
                        disturb();
                    }
                });
            });
        });
        return m_platform.run();
    }

private:
    /** Streams the events of a subject from the one after Last-Event-Id; each names the software that made it. */
    void serve(back_end &server, std::shared_ptr<http_exchange> exchange)
    {
        const http_request &request = exchange->request();
        const std::string id(request.fields.get("Request-Id"));
        const std::string last(request.fields.get("Last-Event-Id"));
        const std::string subject(request.path().substr(request.path().rfind('/') + 1));
        m_platform.record("run " + id + " of " + subject + " at " + server.facts().id + " version " + server.facts().build + " after event "
                          + (last.empty() ? "-" : last));
        http_response head{ 200, { { "Content-Type", "text/event-stream" }, { "Request-Id", id }, { "Server-Signature", "s-" + id } }, "" };
        exchange->startStream(std::move(head));
        sendEvent(server, std::move(exchange), subject, last.empty() ? 1 : std::stoi(last) + 1, server.incarnation());
    }

    void sendEvent(back_end &server, std::shared_ptr<http_exchange> exchange, const std::string &subject, int number, int incarnation)
    {
        if (exchange->isGone() || !server.isRunning() || server.incarnation() != incarnation) {
            return;
        }
        if (number > eventsOfStream) {
            exchange->finishStream();
            return;
        }
        exchange->write("id: " + std::to_string(number) + "\ndata: " + subject + " " + std::to_string(number) + " by " + server.facts().build + "\n\n");
        m_platform.after(eventInterval, [this, &server, exchange, subject, number, incarnation] {
            sendEvent(server, exchange, subject, number + 1, incarnation);
        });
    }

    void openStream(int index)
    {
        if (index == streamsOpened) {
            return;
        }
        auto stream = std::make_shared<client_stream>();
        stream->subject = "s" + std::to_string(index);
        m_streams.push_back(stream);
        ++m_open;
        attempt(stream);
        m_platform.after(streamInterval, [this, index] {
            openStream(index + 1);
        });
    }

    void attempt(const std::shared_ptr<client_stream> &stream)
    {
        const std::string id = stream->subject + "-" + std::to_string(++stream->attempts);
        http_request request;
        request.method = "POST";
        request.target = "/chat/" + stream->subject;
        request.fields = { { "Host", "review.example" }, { "Request-Id", id }, { "Deadline-Ms", "10000" }, { "Connection", "close" } };
        if (stream->lastEvent > 0) {
            request.fields.set("Last-Event-Id", std::to_string(stream->lastEvent));
            request.fields.set("Resumes", stream->begunBy);
        }
        request.body = "tell " + stream->subject;
        const auto &node = m_platform.nodes()[m_nextNode++ % m_platform.nodes().size()];
        m_platform.record("client sends " + id + " to " + node->name + (stream->lastEvent > 0 ? " after event " + std::to_string(stream->lastEvent) : ""));
        const auto status = std::make_shared<int>(0);
        const auto reader = std::make_shared<event_stream_reader>();
        http_call_handlers handlers;
        handlers.onHead = [status](const http_response &head) {
            *status = head.status;
        };
        handlers.onBody = [this, status, reader, stream, id](std::string_view part) {
            if (*status == 200) {
                for (const server_event &event : reader->feed(part)) {
                    take(*stream, id, event);
                }
            }
        };
        handlers.onEnd = [this, status, stream, id](const http_call_end &end) {
            onEnd(stream, id, *status, end);
        };
        m_platform.client().start(node->callers, std::move(request), { .deadline = std::chrono::seconds(12) }, std::move(handlers));
    }

    void take(client_stream &stream, const std::string &id, const server_event &event)
    {
        if (stream.begunBy.empty()) {
            stream.begunBy = id;
        }
        stream.lastEvent = std::stoi(event.id);
        const std::string build = event.data.substr(event.data.rfind(' ') + 1);
        if (stream.builds.insert(build).second) {
            m_platform.record("client's stream " + stream.subject + " has its first event of version " + build + ": event " + event.id + " in " + id);
        }
    }

    void onEnd(const std::shared_ptr<client_stream> &stream, const std::string &id, int status, const http_call_end &end)
    {
        stream->isComplete = end.error == error_kind::None && status == 200 && stream->lastEvent == eventsOfStream;
        m_platform.record("answer to " + id + ": status " + std::to_string(status) + (stream->isComplete ? ", complete" : ", ended at event ")
                          + (stream->isComplete ? "" : std::to_string(stream->lastEvent)) + " " + end.detail);
        if (!stream->isComplete && stream->attempts < attemptsOfClient) {
            m_platform.after(retryPause, [this, stream] {
                attempt(stream);
            });
            return;
        }
        if (--m_open == 0 && m_streams.size() == streamsOpened) {
            judge();
        }
    }

    void disturb()
    {
        back_end &old = *m_servers.front();
        m_platform.record("TROUBLE: i-1 is partitioned from the store, and crashes");
        old.setCut(true);
        old.end();
        m_platform.after(downTime, [this, &old] {
            m_platform.record("TROUBLE: i-1 starts again behind the cut, with version 2");
            old.start("i-1", "2");
        });
        m_platform.after(cutTime, [this, &old] {
            m_platform.record("the cut of i-1 heals");
            old.setCut(false);
        });
    }

    void judge()
    {
        std::size_t mixed = 0;
        std::size_t complete = 0;
        for (const auto &stream : m_streams) {
            mixed += stream->builds.size() > 1 ? 1 : 0;
            complete += stream->isComplete ? 1 : 0;
        }
        const std::string counts = std::to_string(mixed) + " of " + std::to_string(m_streams.size()) + " streams hold events of two software versions, "
            + std::to_string(complete) + " are complete";
        if (complete == 0) {
            m_platform.finish(verdict::NotRun, "no stream was served");
        } else {
            m_platform.finish(mixed > toleratedMixed ? verdict::Broken : verdict::Held, counts);
        }
    }

    case_options m_options;
    deployment m_platform;
    std::vector<std::unique_ptr<back_end>> m_servers;
    std::vector<std::shared_ptr<client_stream>> m_streams;
    std::size_t m_nextNode = 0;
    int m_open = 0;
};

} // namespace
} // namespace reedtrail::review

int main(int argc, char **argv)
{
    using namespace reedtrail::review;
    return stream_case(parseOptions(argc, argv)).run();
}
