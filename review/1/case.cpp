// Case 1: a stream's caller gets the answer that belongs to another caller's stream.
//
// Two servers answer streams, each with five events that name the request they belong to. Callers send streams one after the other to one edge machine. With
// the disruption, one answer is followed by a second copy of itself, which arrives where the answer to the next request on that connection is due.

#include "review/standins/platform.h"

#include <set>

namespace review {
namespace {

constexpr int streams = 140;
constexpr int eventsOfStream = 5;
constexpr int spoiledAnswer = 20; ///< Number of the answer that comes twice: one of 140, at one server of two.
constexpr std::int64_t eventPauseMs = 5;

std::string signatureOf(const std::string &request)
{
    return "sig." + request;
}

std::string chunk(const std::string &bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

std::string eventOf(const std::string &request, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + request + "/" + std::to_string(number) + "\n\n";
}

/** A server of streams. Runs one request at a time on a connection. */
class stream_server
{
public:
    stream_server(record_file &record, std::string id, std::atomic<int> &answers, bool hasTrouble)
        : m_record(record)
        , m_id(std::move(id))
        , m_answers(answers)
        , m_hasTrouble(hasTrouble)
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
        std::string secondAnswer;
        while (const std::optional<http_message> request = connection.readRequest()) {
            const std::string id = request->get("Request-Id");
            if (request->get("Expect-Instance") != m_id) {
                connection.write(encodeResponse(421, { { "Request-Id", id }, { "Not-Executed", "1" } }, ""));
                continue;
            }
            m_record.line(m_id + " runs " + id);
            if (!secondAnswer.empty()) {
                m_record.line(m_id + " sends a second answer late, where the answer to " + id + " is due");
                connection.write(secondAnswer);
                secondAnswer.clear();
            }
            std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: " + signatureOf(id)
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            connection.write(answer);
            for (int i = 1; i <= eventsOfStream; ++i) {
                sleepMs(eventPauseMs);
                const std::string bytes = chunk(eventOf(id, i));
                answer += bytes;
                connection.write(bytes);
            }
            connection.write("0\r\n\r\n");
            answer += "0\r\n\r\n";
            if (++m_answers == spoiledAnswer && m_hasTrouble) {
                secondAnswer = answer;
            }
        }
    }

    record_file &m_record;
    std::string m_id;
    std::atomic<int> &m_answers;
    bool m_hasTrouble;
    tcp_listener m_listener;
};

[[noreturn]] void run(const case_setup &setup)
{
    record_file record(setup.record);
    metadata_store store(record);
    std::atomic<int> answers = 0;
    stream_server first(record, "i-1", answers, setup.hasTrouble);
    stream_server second(record, "i-2", answers, setup.hasTrouble);
    nlohmann::json route = makeRoute("speak", "/speak/", "streaming", "voices");
    route["resumable"] = false;
    store.put("op/config",
              { { "version", 1 },
                { "routes", nlohmann::json::array({ route }) },
                { "services", nlohmann::json::array({ { { "name", "voices" }, { "healthPath", "/health" }, { "maxConns", 160 } } }) },
                { "limits", nlohmann::json::object() } });
    store.put("servers/i-1", makeRegistration("voices", first.port(), "zone-a", 12, unixMs(), "v1"));
    store.put("servers/i-2", makeRegistration("voices", second.port(), "zone-a", 12, unixMs(), "v1"));
    deployment nodes(setup, store.port(), 2);
    if (!nodes.start()) {
        record.line("the edge machines did not become ready");
        finish(nodes, couldNotRun);
    }
    int foreign = 0;
    int served = 0;
    for (int i = 0; i < streams; ++i) {
        const std::string id = "stream" + std::to_string(i);
        const auto connection = tcp_connection::connect(nodes.edge(0).callers());
        if (!connection) {
            finish(nodes, couldNotRun);
        }
        http_message request;
        request.method = "POST";
        request.target = "/speak/" + std::to_string(i);
        request.fields = { { "Host", hostName }, { "Request-Id", id }, { "Deadline-Ms", "8000" } };
        request.body = "prompt of " + id;
        connection->write(encodeRequest(request));
        bool isWhole = false;
        const std::optional<http_message> reply = connection->readResponse(isWhole, 9000);
        if (!reply) {
            record.line("caller of " + id + " gets no answer");
            continue;
        }
        std::string expected;
        for (int event = 1; event <= eventsOfStream; ++event) {
            expected += eventOf(id, event);
        }
        const bool isSuccess = reply->status >= 200 && reply->status < 300;
        const bool isOwn = reply->get("Request-Id") == id && reply->get("Server-Signature") == signatureOf(id) && (reply->body == expected || !isWhole);
        served += isSuccess && isOwn && isWhole ? 1 : 0;
        foreign += isSuccess && !isOwn ? 1 : 0;
        record.line("caller of " + id + " gets " + std::to_string(reply->status) + ", Request-Id " + reply->get("Request-Id") + ", "
                    + (isWhole ? "complete" : "broken off") + (isSuccess && !isOwn ? ": ANOTHER REQUEST'S ANSWER: " + reply->body.substr(0, 40) : ""));
    }
    record.line("served " + std::to_string(served) + " of " + std::to_string(streams) + ", answers of other requests: " + std::to_string(foreign));
    if (nodes.hasEnded() || served < streams / 2) {
        record.line("the deployment did not serve as it should");
        finish(nodes, foreign > 0 ? ruleBroken : couldNotRun);
    }
    finish(nodes, foreign > 0 ? ruleBroken : ruleHeld);
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
