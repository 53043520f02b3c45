// Streams that a restart cuts off are taken up again at the other nodes. Some time before, all nodes were restarted in turn.

#include "review/standins-2/deployment.h"

#include "net/event_stream.h"

#include <cstdio>

namespace reedtrail::review {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr int nodeCount = 3;
constexpr int serverCount = 3;
constexpr int eventsOfStream = 50;
constexpr milliseconds eventGap(400);
constexpr milliseconds streamGap(250); // Between two new streams.
constexpr milliseconds firstStreamAt(4000);
constexpr milliseconds firstRestartAt(6000);
constexpr milliseconds restartGap(9500);
constexpr milliseconds lastRestartAt(72000);
constexpr milliseconds lastStreamAt(78000);
constexpr milliseconds endAt(90000);
constexpr milliseconds contactTime(3000);
constexpr int deadlineMs = 60000;
constexpr int mostTries = 3; // Of a client that takes a stream up.
constexpr int leastTakenUp = 12; // As the rule says.
constexpr double leastShare = 0.5;

/** One stream of a client, over all its attempts. */
struct client_stream
{
    std::string first; ///< Request-Id of the attempt that brought the first event.
    std::string lastEvent;
    std::string body;
    std::size_t node = 0;
    int tries = 0; ///< To take the stream up.
    bool hasBegun = false;
    bool goesOn = false; ///< After it was taken up.
    bool isCounted = false; ///< It was taken up at a machine in touch.
    std::shared_ptr<http_call> call;
};

class stream_case
{
public:
    stream_case()
        : m_fleet("review/8")
    {
    }

    int run()
    {
        if (!m_fleet.start()) {
            return caseNotRun;
        }
        const json route{ { "name", "r-chat" },    { "hostname", "chat.example" }, { "prefix", "/chat/" },
                          { "kind", "streaming" }, { "resumable", true },          { "timeoutMs", deadlineMs },
                          { "priority", 1 },       { "service", "chat" },          { "targetLatencyMs", 400 },
                          { "maxAttempts", 3 } };
        m_fleet.configure(json::array({ route }), json::array({ json{ { "name", "chat" }, { "healthPath", "/health" }, { "maxConns", 160 } } }));
        for (int i = 0; i < serverCount; ++i) {
            const std::string id = "i-" + std::to_string(i);
            const bool isStarted = m_fleet.addServer(id, "chat", std::string("zone-") + static_cast<char>('a' + i), [this](auto exchange) {
                serveStream(std::move(exchange));
            });
            if (!isStarted) {
                return caseNotRun;
            }
        }
        m_fleet.startNodes(nodeCount);
        m_fleet.after(firstStreamAt, [this] {
            startStreams();
        });
        if (hasTrouble()) {
            for (std::size_t i = 0; i < nodeCount; ++i) {
                m_fleet.after(firstRestartAt + restartGap * static_cast<int>(i), [this, i] {
                    m_fleet.restartNode(i);
                });
            }
        }
        m_fleet.after(lastRestartAt, [this] {
            m_fleet.restartNode(0);
        });
        m_fleet.run(endAt);
        return judge();
    }

private:
    /** Sends the events of a stream after the one that the request names. */
    void serveStream(std::shared_ptr<http_exchange> exchange)
    {
        const http_request &request = exchange->request();
        if (request.path() == "/health") {
            exchange->respond({ 200, {}, "" });
            return;
        }
        const std::string from(request.fields.get("Last-Event-Id"));
        m_fleet.note("server runs " + std::string(request.fields.get("Request-Id")) + (from.empty() ? "" : " after event " + from));
        http_response head = signedAnswer(request, 200, "");
        head.fields.set("Content-Type", "text/event-stream");
        exchange->startStream(std::move(head));
        sendEvent(std::move(exchange), from.empty() ? 1 : std::stoi(from) + 1);
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
        exchange->write("id: " + std::to_string(number) + "\ndata: part " + std::to_string(number) + "\n\n");
        m_fleet.after(eventGap, [this, exchange, number] {
            sendEvent(exchange, number + 1);
        });
    }

    void startStreams()
    {
        if (m_fleet.now() > lastStreamAt.count()) {
            return;
        }
        if (const std::optional<std::size_t> node = nextNode()) {
            const auto stream = std::make_shared<client_stream>();
            stream->node = *node;
            stream->body = "question " + newId();
            ++m_sent;
            send(stream);
        }
        m_fleet.after(streamGap, [this] {
            startStreams();
        });
    }

    /** Returns the node to which the platform sends the next connection. */
    std::optional<std::size_t> nextNode()
    {
        for (int i = 0; i < nodeCount; ++i) {
            m_turn = (m_turn + 1) % nodeCount;
            if (m_fleet.isInRotation(m_turn)) {
                return m_turn;
            }
        }
        return std::nullopt;
    }

    void send(const std::shared_ptr<client_stream> &stream)
    {
        const std::string id = newId();
        http_request request;
        request.method = "POST";
        request.target = "/chat/1";
        request.body = stream->body;
        request.fields = { { "Host", "chat.example" }, { "Request-Id", id }, { "Deadline-Ms", std::to_string(deadlineMs) } };
        if (stream->hasBegun) {
            request.fields.set("Resumes", stream->first);
            request.fields.set("Last-Event-Id", stream->lastEvent);
            m_fleet.note("client takes " + stream->first + " up as " + id + " after event " + stream->lastEvent + " at " + nameOf(stream->node));
        }
        const auto reader = std::make_shared<event_stream_reader>();
        const auto answer = std::make_shared<http_response>();
        http_call_handlers handlers;
        handlers.onHead = [answer](const http_response &head) {
            *answer = head;
        };
        handlers.onBody = [this, stream, reader, answer, id](std::string_view part) {
            for (const server_event &event : reader->feed(answer->status == 200 ? part : std::string_view())) {
                takeEvent(*stream, id, event);
            }
        };
        handlers.onEnd = [this, stream, answer](const http_call_end &end) {
            onEnd(stream, *answer, end);
        };
        http_call_options options;
        options.deadline = milliseconds(deadlineMs);
        options.silenceTimeout = seconds(20);
        stream->call = m_fleet.client().start(m_fleet.nodes()[stream->node].callers, std::move(request), options, std::move(handlers));
    }

    void takeEvent(client_stream &stream, const std::string &id, const server_event &event)
    {
        if (!stream.hasBegun) {
            stream.hasBegun = true;
            stream.first = id;
            ++m_begun;
        } else if (stream.tries > 0 && !stream.goesOn) {
            stream.goesOn = true;
            m_fleet.note("stream " + stream.first + " goes on with event " + event.id);
        }
        stream.lastEvent = event.id;
    }

    void onEnd(const std::shared_ptr<client_stream> &stream, const http_response &answer, const http_call_end &end)
    {
        stream->call.reset();
        const bool isWhole = stream->lastEvent == std::to_string(eventsOfStream);
        if (isWhole || !stream->hasBegun || m_fleet.now() > endAt.count() - contactTime.count()) {
            return;
        }
        if (stream->tries > 0) {
            m_fleet.note("taking " + stream->first + " up ends: status " + std::to_string(answer.status) + " " + end.detail);
        }
        if (stream->goesOn || stream->tries >= mostTries) {
            return;
        }
        // As Retry-After says, or at once.
        const std::string wait(answer.fields.get("Retry-After"));
        const milliseconds pause(wait.empty() ? 20 : static_cast<int>(std::stod(wait) * 1000));
        m_fleet.after(pause, [this, stream] {
            takeUp(stream);
        });
    }

    void takeUp(const std::shared_ptr<client_stream> &stream)
    {
        const std::optional<std::size_t> node = nextNode();
        if (!node) {
            return;
        }
        stream->node = *node;
        ++stream->tries;
        const entry_node &machine = m_fleet.nodes()[*node];
        const bool isInTouch = !machine.isStopping && m_fleet.now() - machine.startedAt > contactTime.count();
        if (isInTouch && !stream->isCounted) {
            stream->isCounted = true;
            m_takenUp.push_back(stream);
        }
        send(stream);
    }

    std::string nameOf(std::size_t node)
    {
        return m_fleet.nodes()[node].name;
    }

    int judge()
    {
        int goOn = 0;
        for (const auto &stream : m_takenUp) {
            goOn += stream->goesOn ? 1 : 0;
        }
        const double begins = m_sent == 0 ? 0 : static_cast<double>(m_begun) / m_sent;
        const double goesOn = m_takenUp.empty() ? 1 : static_cast<double>(goOn) / static_cast<double>(m_takenUp.size());
        const bool isBroken = static_cast<int>(m_takenUp.size()) >= leastTakenUp && goesOn < leastShare * begins;
        const std::string result = "new streams: " + std::to_string(m_sent) + ", begun: " + std::to_string(m_begun)
            + "; taken up at machines in touch: " + std::to_string(m_takenUp.size()) + ", went on: " + std::to_string(goOn);
        m_fleet.note(result);
        m_fleet.note(isBroken ? "LOST is broken" : "LOST held");
        std::printf("%s: %s\n", isBroken ? "broken" : "held", result.c_str());
        if (m_begun == 0 || static_cast<int>(m_takenUp.size()) < leastTakenUp) {
            return caseNotRun;
        }
        return isBroken ? ruleBroken : ruleHeld;
    }

    deployment m_fleet;
    std::vector<std::shared_ptr<client_stream>> m_takenUp;
    std::size_t m_turn = 0;
    int m_sent = 0;
    int m_begun = 0;
};

} // namespace
} // namespace reedtrail::review

int main()
{
    return reedtrail::review::stream_case().run();
}
