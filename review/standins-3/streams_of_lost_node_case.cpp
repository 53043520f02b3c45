// Case 12: four of the five edge machines of each zone are lost for good. Later one of the three that are left is lost too, and the clients of its streams take
// them up at the other two, while servers of two software versions serve.

#include "net/event_stream.h"
#include "review/standins-3/back_end.h"

#include <algorithm>

namespace reedtrail::review {
namespace {

constexpr int eventsOfStream = 60;
constexpr milliseconds eventInterval(100);
constexpr int nodesOfZone = 5;
constexpr milliseconds lossInterval(500); // Between two machines that are lost.
constexpr milliseconds streamsBeginAfter(9000); // After the last of these.
constexpr std::size_t streamsOpened = 120;
constexpr milliseconds streamInterval(25); // Between two new streams.
constexpr milliseconds lastLossAfter(4000); // After the first of them.
constexpr int attemptsOfClient = 4; // The first one and a few retries.
constexpr milliseconds retryPause(300);
constexpr std::size_t judgedFrom = 12; // LOST: streams that are taken up.

/** A client's stream over its attempts. */
struct client_stream
{
    std::string subject;
    std::string begunBy; ///< Id of the attempt that brought the first event.
    int lastEvent = 0;
    int attempts = 0;
    bool isTakenUp = false; ///< It broke off after its first event, and the client has taken it up.
    bool hasGoneOn = false; ///< An attempt after that brought an event.
    bool isComplete = false;
};

class lost_node_case
{
public:
    explicit lost_node_case(const case_options &options)
        : m_options(options)
        , m_platform(options)
    {
    }

    int run()
    {
        using nlohmann::json;
        m_platform.writeConfiguration(
            json::array({ deployment::route("/chat/", "streaming", "chat", { { "resumable", true }, { "timeoutMs", 15000 }, { "maxAttempts", 3 } }) }),
            json::array({ json{ { "name", "chat" }, { "healthPath", "/health" } } }));
        for (int i = 1; i <= 6; ++i) {
            const back_end_facts facts{ "chat", "i-" + std::to_string(i), i <= 3 ? "1" : "2", 24 };
            m_servers.push_back(std::make_unique<back_end>(m_platform, facts, [this](back_end &server, std::shared_ptr<http_exchange> exchange) {
                serve(server, std::move(exchange));
            }));
        }
        for (const char *zone : { "z1", "z2", "z3" }) {
            for (int i = 1; i < nodesOfZone; ++i) {
                m_platform.addNode(zone, 110);
            }
            m_inUse.push_back(&m_platform.addNode(zone, 110));
        }
        m_platform.whenReady([this] {
            m_platform.after(milliseconds(4000), [this] {
                loseMachines();
            });
        });
        return m_platform.run();
    }

private:
    /** Loses all machines but the last one of each zone, without a signal and for good. */
    void loseMachines()
    {
        milliseconds at(0);
        for (const auto &node : m_platform.nodes()) {
            if (std::ranges::find(m_inUse, node.get()) != m_inUse.end()) {
                continue;
            }
            m_platform.after(at, [this, &lost = *node] {
                if (m_options.hasTrouble) {
                    m_platform.record("TROUBLE: " + lost.name + " is lost for good");
                    m_platform.killNode(lost);
                }
            });
            at += lossInterval;
        }
        m_platform.after(at + streamsBeginAfter, [this] {
            openStream(0);
            m_platform.after(lastLossAfter, [this] {
                loseWithStreams();
            });
        });
    }

    /** Loses a machine whose clients have streams; they go on at the others. */
    void loseWithStreams()
    {
        m_platform.record(m_inUse.front()->name + " is lost for good");
        m_platform.killNode(*m_inUse.front());
        m_inUse.erase(m_inUse.begin());
    }

    /** Streams the events of a subject from the one after Last-Event-Id. */
    void serve(back_end &server, std::shared_ptr<http_exchange> exchange)
    {
        const http_request &request = exchange->request();
        const std::string id(request.fields.get("Request-Id"));
        const std::string last(request.fields.get("Last-Event-Id"));
        m_platform.record("run " + id + " at " + server.facts().id + " version " + server.facts().build + " after event " + (last.empty() ? "-" : last));
        exchange->startStream({ 200, { { "Content-Type", "text/event-stream" }, { "Request-Id", id }, { "Server-Signature", "s-" + id } }, "" });
        sendEvent(std::move(exchange), last.empty() ? 1 : std::stoi(last) + 1);
    }

    void sendEvent(std::shared_ptr<http_exchange> exchange, int number)
    {
        if (exchange->isGone()) {
            return;
        }
        if (number > eventsOfStream) {
            exchange->finishStream();
            return;
        }
        exchange->write("id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n");
        m_platform.after(eventInterval, [this, exchange, number] {
            sendEvent(exchange, number + 1);
        });
    }

    void openStream(std::size_t index)
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
        request.fields = { { "Host", "review.example" }, { "Request-Id", id }, { "Deadline-Ms", "15000" }, { "Connection", "close" } };
        if (stream->lastEvent > 0) {
            stream->isTakenUp = true;
            request.fields.set("Last-Event-Id", std::to_string(stream->lastEvent));
            request.fields.set("Resumes", stream->begunBy);
        }
        request.body = "tell " + stream->subject;
        const edge_node &node = *m_inUse[m_nextNode++ % m_inUse.size()]; // The ingress forwards new connections to these.
        m_platform.record("client sends " + id + " to " + node.name + (stream->lastEvent > 0 ? " after event " + std::to_string(stream->lastEvent) : ""));
        const auto status = std::make_shared<int>(0);
        const auto reader = std::make_shared<event_stream_reader>();
        http_call_handlers handlers;
        handlers.onHead = [status](const http_response &head) {
            *status = head.status;
        };
        handlers.onBody = [status, reader, stream, id](std::string_view part) {
            if (*status != 200) {
                return;
            }
            for (const server_event &event : reader->feed(part)) {
                stream->begunBy = stream->begunBy.empty() ? id : stream->begunBy;
                stream->hasGoneOn = stream->hasGoneOn || stream->isTakenUp;
                stream->lastEvent = std::stoi(event.id);
            }
        };
        handlers.onEnd = [this, status, stream, id](const http_call_end &end) {
            onEnd(stream, id, *status, end);
        };
        m_platform.client().start(node.callers, std::move(request), { .deadline = std::chrono::seconds(16) }, std::move(handlers));
    }

    void onEnd(const std::shared_ptr<client_stream> &stream, const std::string &id, int status, const http_call_end &end)
    {
        stream->isComplete = end.error == error_kind::None && status == 200 && stream->lastEvent == eventsOfStream;
        m_platform.record("answer to " + id + ": status " + std::to_string(status) + ", event " + std::to_string(stream->lastEvent) + " " + end.detail);
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

    void judge()
    {
        std::size_t begun = 0;
        std::size_t takenUp = 0;
        std::size_t goneOn = 0;
        for (const auto &stream : m_streams) {
            begun += stream->begunBy.empty() ? 0 : 1;
            takenUp += stream->isTakenUp ? 1 : 0;
            goneOn += stream->hasGoneOn ? 1 : 0;
        }
        const std::string counts = std::to_string(goneOn) + " of " + std::to_string(takenUp) + " streams that were taken up go on; " + std::to_string(begun)
            + " of " + std::to_string(m_streams.size()) + " new ones began";
        if (takenUp < judgedFrom || begun == 0) {
            m_platform.finish(verdict::NotRun, counts);
            return;
        }
        const double share = static_cast<double>(goneOn) / static_cast<double>(takenUp);
        const double shareOfNew = static_cast<double>(begun) / static_cast<double>(m_streams.size());
        m_platform.finish(share < shareOfNew / 2 ? verdict::Broken : verdict::Held, counts);
    }

    case_options m_options;
    deployment m_platform;
    std::vector<std::unique_ptr<back_end>> m_servers;
    std::vector<std::shared_ptr<client_stream>> m_streams;
    std::vector<edge_node *> m_inUse; ///< Machines that the ingress sends the clients to.
    std::size_t m_nextNode = 0;
    int m_open = 0;
};

} // namespace
} // namespace reedtrail::review

int main(int argc, char **argv)
{
    using namespace reedtrail::review;
    return lost_node_case(parseOptions(argc, argv)).run();
}
