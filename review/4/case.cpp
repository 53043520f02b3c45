// Case 4: a server's failure is written into the middle of a stream that has begun.
//
// Seven servers answer streams that may be resumed, each with eight events. With the disruptions, a part of the connections between an edge machine and the
// servers is reset once while streams are under way, and one server answers a part of its requests with its own 500 while its health is good. The edge machine
// goes on with a stream at another server. It must break the stream off if that one does not go on with it.

#include "review/standins/platform.h"

#include <algorithm>
#include <thread>

namespace review {
namespace {

constexpr int streams = 80;
constexpr int servers = 7;
constexpr int slots = 12;
constexpr int eventsOfStream = 8;
constexpr std::int64_t eventPauseMs = 150;
constexpr std::int64_t streamPauseMs = 6;
constexpr std::int64_t resetAtMs = 800; ///< After the first stream; all have begun by then, and none has ended.
constexpr double resetShare = 0.55; ///< Of the connections of one edge machine of three.
constexpr double failingShare = 0.4; ///< Of the requests at one server of seven.

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

std::string eventOf(const std::string &stream, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + stream + "/" + std::to_string(number) + "\n\n";
}

/** A server of streams. */
class stream_server
{
public:
    stream_server(record_file &record, std::string id, bool isGrey)
        : m_record(record)
        , m_id(std::move(id))
        , m_isGrey(isGrey)
        , m_listener([this](tcp_connection &connection) {
            serve(connection);
        })
        , m_link(m_listener.port())
    {
    }

    tcp_proxy &link()
    {
        return m_link;
    }

private:
    /** Tells whether the request fails: failingShare of all, evenly. */
    bool failsNext()
    {
        const std::lock_guard lock(m_mutex);
        const int before = static_cast<int>(failingShare * m_requests);
        ++m_requests;
        return m_isGrey && static_cast<int>(failingShare * m_requests) > before;
    }

    void serve(tcp_connection &connection)
    {
        while (const std::optional<http_message> request = connection.readRequest()) {
            const std::string id = request->get("Request-Id");
            const std::string lastEvent = request->get("Last-Event-Id");
            if (request->get("Expect-Instance") != m_id) {
                connection.write(encodeResponse(421, { { "Request-Id", id }, { "Not-Executed", "1" } }, ""));
                continue;
            }
            if (failsNext()) {
                m_record.line(m_id + " answers " + id + " with its own 500" + (lastEvent.empty() ? "" : ", resumed after event " + lastEvent));
                connection.write(encodeResponse(500, { { "Request-Id", id }, { "Server-Signature", signatureOf(id) } }, "failed"));
                continue;
            }
            m_record.line(m_id + " runs " + id + (lastEvent.empty() ? "" : " after event " + lastEvent));
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: " + signatureOf(id)
                             + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = std::atoi(lastEvent.c_str()) + 1; i <= eventsOfStream; ++i) {
                sleepMs(eventPauseMs);
                if (!connection.write(chunk(eventOf(id, i)))) {
                    return;
                }
            }
            connection.write("0\r\n\r\n");
        }
    }

    record_file &m_record;
    std::string m_id;
    bool m_isGrey;
    std::mutex m_mutex;
    int m_requests = 0;
    tcp_listener m_listener;
    tcp_proxy m_link; ///< Leads to the listener; its address is the one that the server registers.
};

/** What a caller saw of an answer. */
struct seen_answer
{
    std::string raw; ///< All bytes.
    bool isWhole = false;
    bool isMalformed = false; ///< After the head and whole chunks come bytes that are none.
};

/** Reads an answer in chunks byte by byte, as a strict client does. */
seen_answer readStrictly(tcp_connection &connection)
{
    seen_answer seen;
    const std::int64_t deadline = elapsedMs() + 6000;
    std::size_t at = std::string::npos;
    while (elapsedMs() < deadline) {
        if (at == std::string::npos && seen.raw.find("\r\n\r\n") != std::string::npos) {
            at = seen.raw.find("\r\n\r\n") + 4;
            if (!seen.raw.starts_with("HTTP/1.1 200")) {
                return seen;
            }
        }
        while (at != std::string::npos && seen.raw.find("\r\n", at) != std::string::npos) {
            const std::string line = seen.raw.substr(at, seen.raw.find("\r\n", at) - at);
            if (line.empty() || line.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
                seen.isMalformed = true;
                return seen;
            }
            const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
            const std::size_t end = at + line.size() + 2 + size + 2;
            if (seen.raw.size() < end) {
                break;
            }
            if (size == 0) {
                seen.isWhole = true;
                return seen;
            }
            at = end;
        }
        if (!connection.readInto(seen.raw, deadline)) {
            return seen;
        }
    }
    return seen;
}

[[noreturn]] void run(const case_setup &setup)
{
    record_file record(setup.record);
    metadata_store store(record);
    std::vector<std::unique_ptr<stream_server>> all;
    nlohmann::json route = makeRoute("speak", "/speak/", "streaming", "voices");
    route["resumable"] = true;
    route["maxAttempts"] = 2;
    store.put("op/config",
              { { "version", 1 },
                { "routes", nlohmann::json::array({ route }) },
                { "services", nlohmann::json::array({ { { "name", "voices" }, { "healthPath", "/health" }, { "maxConns", 160 } } }) },
                { "limits", nlohmann::json::object() } });
    for (int i = 0; i < servers; ++i) {
        const std::string id = "i-" + std::to_string(i);
        all.push_back(std::make_unique<stream_server>(record, id, i == 0 && setup.hasTrouble));
        store.put("servers/" + id, makeRegistration("voices", all.back()->link().port(), i % 2 == 0 ? "zone-a" : "zone-b", slots, unixMs(), "v1"));
    }
    deployment nodes(setup, store.port(), 3);
    if (!nodes.start()) {
        record.line("the edge machines did not become ready");
        finish(nodes, couldNotRun);
    }
    std::atomic<int> malformed = 0;
    std::atomic<int> whole = 0;
    std::atomic<int> brokenOff = 0;
    std::atomic<int> others = 0;
    std::vector<std::thread> callers;
    callers.reserve(streams);
    std::thread trouble([&] {
        sleepMs(resetAtMs);
        if (setup.hasTrouble) {
            int count = 0;
            for (const auto &each : all) {
                count += each->link().resetConnections(resetShare);
            }
            record.line("connections to the servers are reset: " + std::to_string(count));
        }
    });
    for (int i = 0; i < streams; ++i) {
        callers.emplace_back([&, id = "stream" + std::to_string(i)] {
            const auto connection = tcp_connection::connect(nodes.edge(0).callers());
            http_message request;
            request.method = "POST";
            request.target = "/speak/" + id;
            request.fields = { { "Host", hostName }, { "Request-Id", id }, { "Deadline-Ms", "5000" } };
            request.body = "prompt of " + id;
            if (!connection || !connection->write(encodeRequest(request))) {
                return;
            }
            const seen_answer seen = readStrictly(*connection);
            const bool isSuccess = seen.raw.starts_with("HTTP/1.1 200");
            others += isSuccess ? 0 : 1;
            malformed += isSuccess && seen.isMalformed ? 1 : 0;
            whole += isSuccess && seen.isWhole ? 1 : 0;
            brokenOff += isSuccess && !seen.isWhole && !seen.isMalformed ? 1 : 0;
            record.line("caller of " + id + " gets " + seen.raw.substr(0, seen.raw.find("\r\n")) + ", "
                        + (!isSuccess         ? "which is no success"
                               : seen.isWhole ? "complete"
                               : seen.isMalformed
                               ? "BYTES THAT ARE NO ANSWER: " + nlohmann::json(seen.raw).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                               : "broken off"));
        });
        sleepMs(streamPauseMs);
    }
    for (std::thread &each : callers) {
        each.join();
    }
    trouble.join();
    record.line("complete " + std::to_string(whole) + ", no success " + std::to_string(others) + ", broken off " + std::to_string(brokenOff)
                + ", with bytes that are no answer " + std::to_string(malformed) + " of " + std::to_string(streams));
    if (malformed == 0 && (nodes.hasEnded() || whole < streams / 2)) {
        finish(nodes, couldNotRun);
    }
    finish(nodes, malformed > 0 ? ruleBroken : ruleHeld);
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
