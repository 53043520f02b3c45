// Serves the simulated engine over HTTP. A reader is one HTTP response that follows a stream from a given token on; a stream may have several readers, one
// after the other or at once. Load reports are snapshots taken at intervals. Cache events can be delayed and have gaps.

#include "net/http_client.h"
#include "standins/engine_model.h"
#include "standins/standin_host.h"
#include "standins/subcommands.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace reedtrail {
namespace {

constexpr duration tickInterval = std::chrono::milliseconds(5);
constexpr duration shardRetryInterval = std::chrono::milliseconds(200);
constexpr std::string_view streamsPrefix = "/v1/streams/";

engine_options readOptions(stand_in_context &context)
{
    engine_options options;
    option_reader &numbers = context.numbers;
    options.slots = static_cast<std::size_t>(numbers.integer("slots", 8, 1, 100000));
    options.maximumWaiting = static_cast<std::size_t>(numbers.integer("maximum-waiting", 256, 0, 1000000));
    options.tokensPerSecond = numbers.number("tokens-per-second", 200, 0.1, 1e6);
    options.medianTokens = numbers.number("median-tokens", 24, 1, 1e6);
    options.sigma = numbers.number("sigma", 0.6, 0, 5);
    options.cachedPrefixes = static_cast<std::size_t>(numbers.integer("cached-prefixes", 64, 1, 1000000));
    options.initialVersion = static_cast<std::uint64_t>(numbers.integer("weight-version", 1, 0, INT64_MAX));
    options.checksFencing = context.options.has("checks-fencing");
    return options;
}

const char *finishReason(stream_end end)
{
    switch (end) {
    case stream_end::Running:
        return "running";
    case stream_end::Stop:
        return "stop";
    case stream_end::Length:
        return "length";
    case stream_end::Cancelled:
        return "cancelled";
    }
    return "";
}

/** Returns the weight versions of the tokens as a list of token ranges [from, to) with equal versions. */
nlohmann::json versionRanges(const std::vector<std::uint64_t> &versions)
{
    nlohmann::json ranges = nlohmann::json::array();
    std::size_t from = 0;
    for (std::size_t i = 1; i <= versions.size(); ++i) {
        if (i == versions.size() || versions[i] != versions[from]) {
            ranges.push_back({ { "from", from }, { "to", i }, { "version", versions[from] } });
            from = i;
        }
    }
    return ranges;
}

/** HTTP front end of one simulated engine. */
class engine_stand_in : public stand_in
{
public:
    explicit engine_stand_in(stand_in_context &context)
        : m_io(context.io)
        , m_faults(context.faults)
        , m_name(context.options.value("name", "engine"))
        , m_options(readOptions(context))
        , m_model(m_options)
        , m_switchTime(std::chrono::milliseconds(context.numbers.integer("switch-ms", 100, 0, 600000)))
        , m_stageTime(std::chrono::milliseconds(context.numbers.integer("stage-ms", 200, 0, 600000)))
        , m_loadInterval(std::chrono::milliseconds(context.numbers.integer("load-lag-ms", 100, 0, 600000)))
        , m_eventLag(std::chrono::milliseconds(context.numbers.integer("event-lag-ms", 200, 0, 600000)))
        , m_client(context.io, {})
        , m_ticker(context.io)
    {
        if (context.options.has("weight-store")) {
            m_weightStore = context.numbers.address("weight-store");
        }
        tick();
    }

    void handle(const std::shared_ptr<http_exchange> &exchange) override
    {
        const http_request &request = exchange->request();
        const std::string_view path = request.path();
        m_model.advance(steadyNow());
        if (path == "/v1/completions") {
            startCompletion(exchange);
        } else if (path.starts_with(streamsPrefix)) {
            handleStreamRequest(exchange, std::string(path.substr(streamsPrefix.size())));
        } else if (path == "/load") {
            respondJson(exchange, 200, load());
        } else if (path == "/events") {
            events(exchange);
        } else if (path == "/admin/weights") {
            weights(exchange);
        } else if (path == "/admin/kv/export") {
            exportStream(exchange);
        } else if (path == "/admin/kv/import") {
            importStream(exchange);
        } else if (path == "/record") {
            respondJson(exchange, 200, record());
        } else {
            respondJson(exchange, 404, { { "error", "no such call" } });
        }
    }

private:
    /** One HTTP response that follows a stream. */
    struct reader
    {
        std::shared_ptr<http_exchange> exchange;
        std::string id;
        std::uint64_t sent = 0; ///< Number of tokens already written, including those before the requested offset.
        bool isStream = true; ///< True for server-sent events, false for one JSON body after the end.
    };

    void tick()
    {
        m_model.advance(steadyNow());
        serveReaders();
        refreshLoad();
        m_ticker.expires_after(tickInterval);
        m_ticker.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    void startCompletion(const std::shared_ptr<http_exchange> &exchange)
    {
        const std::optional<nlohmann::json> body = bodyOf(exchange);
        if (!body) {
            return;
        }
        engine_request request;
        request.prompt = body->value("prompt", "");
        request.maximumTokens = body->value("max_tokens", std::uint64_t{ 64 });
        request.priority = body->value("priority", std::int64_t{ 0 });
        request.id = body->value("request_id", "");
        request.run = body->value("run", "");
        if (request.id.empty()) {
            request.id = m_name + "-" + std::to_string(++m_generatedIds);
        }
        if (!m_model.submit(steadyNow(), request)) {
            ++m_refused;
            http_response refusal = jsonResponse(503, R"({"error":"not started"})");
            refusal.fields.set("Reedtrail-Not-Started", "1");
            exchange->respond(std::move(refusal));
            return;
        }
        recordSubmission(request);
        addReader(exchange, request.id, 0, body->value("stream", false));
    }

    void recordSubmission(const engine_request &request)
    {
        nlohmann::json &entry = m_records[request.id];
        if (entry.is_null()) {
            entry = { { "starts", 0 } };
        }
        entry["starts"] = entry["starts"].get<int>() + 1;
        entry["prompt"] = request.prompt;
        entry["run"] = request.run;
    }

    void addReader(const std::shared_ptr<http_exchange> &exchange, const std::string &id, std::uint64_t offset, bool isStream)
    {
        if (isStream) {
            exchange->startStream({ 200, { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" } }, "" });
        }
        m_model.setReader(steadyNow(), id, true);
        m_readers.push_back({ exchange, id, offset, isStream });
    }

    void serveReaders()
    {
        for (reader &activeReader : m_readers) {
            if (activeReader.exchange->isGone()) {
                m_model.setReader(steadyNow(), activeReader.id, false);
                activeReader.exchange.reset();
                continue;
            }
            const engine_stream *stream = m_model.find(activeReader.id);
            const bool hasEnded = stream == nullptr || stream->end != stream_end::Running;
            if (activeReader.isStream && stream != nullptr) {
                writeTokens(activeReader, *stream);
            }
            if (hasEnded) {
                finishReader(activeReader, stream);
                activeReader.exchange.reset();
            }
        }
        std::erase_if(m_readers, [](const reader &activeReader) {
            return activeReader.exchange == nullptr;
        });
        for (const auto &[id, stream] : m_model.streams()) {
            if (stream.end != stream_end::Running && m_recordedEnds.insert(id).second) {
                recordStreamEnd(id, stream);
            }
        }
    }

    void recordStreamEnd(const std::string &id, const engine_stream &stream)
    {
        nlohmann::json &entry = m_records[id];
        entry["tokens"] = stream.versions.size();
        entry["versions"] = versionRanges(stream.versions);
        entry["end"] = finishReason(stream.end);
    }

    /** Writes the tokens that the reader has not received yet, one chunk for each run of tokens with the same weight version. */
    void writeTokens(reader &activeReader, const engine_stream &stream)
    {
        while (activeReader.sent < stream.versions.size()) {
            const std::uint64_t version = stream.versions[activeReader.sent];
            std::string text;
            while (activeReader.sent < stream.versions.size() && stream.versions[activeReader.sent] == version) {
                text += tokenText(stream.request.prompt, activeReader.sent);
                ++activeReader.sent;
            }
            activeReader.exchange->write(chunk(activeReader, text, nullptr, version));
        }
    }

    static std::string chunk(const reader &activeReader, const std::string &text, const nlohmann::json &reason, std::uint64_t version)
    {
        const nlohmann::json choice = { { "text", text }, { "index", 0 }, { "finish_reason", reason } };
        const nlohmann::json body = { { "id", activeReader.id },
                                      { "object", "text_completion" },
                                      { "choices", { choice } },
                                      { "weight_version", version },
                                      { "offset", activeReader.sent } };
        return "data: " + body.dump() + "\n\n";
    }

    void finishReader(reader &activeReader, const engine_stream *stream)
    {
        if (activeReader.isStream) {
            if (stream == nullptr) {
                activeReader.exchange->abort();
                return;
            }
            const std::uint64_t version = stream->versions.empty() ? 0 : stream->versions.back();
            activeReader.exchange->write(chunk(activeReader, "", finishReason(stream->end), version));
            activeReader.exchange->write("data: [DONE]\n\n");
            activeReader.exchange->finishStream();
            return;
        }
        if (stream == nullptr) {
            respondJson(activeReader.exchange, 500, { { "error", "the stream was forgotten" } });
            return;
        }
        std::string text;
        for (std::uint64_t i = 0; i < stream->versions.size(); ++i) {
            text += tokenText(stream->request.prompt, i);
        }
        const nlohmann::json choice = { { "text", text }, { "index", 0 }, { "finish_reason", finishReason(stream->end) } };
        respondJson(activeReader.exchange,
                    200,
                    { { "id", activeReader.id },
                      { "object", "text_completion" },
                      { "choices", { choice } },
                      { "usage", { { "completion_tokens", stream->versions.size() } } },
                      { "weight_version", stream->versions.empty() ? 0 : stream->versions.back() },
                      { "versions", versionRanges(stream->versions) },
                      { "offset", stream->versions.size() } });
    }

    void handleStreamRequest(const std::shared_ptr<http_exchange> &exchange, const std::string &id)
    {
        if (exchange->request().method == "DELETE") {
            const bool isCancelled = m_model.cancel(steadyNow(), id);
            respondJson(exchange, isCancelled ? 200 : 404, { { "cancelled", isCancelled } });
            return;
        }
        const engine_stream *found = m_model.find(id);
        if (found == nullptr || found->end == stream_end::Cancelled) {
            respondJson(exchange, 404, { { "error", "no such stream" } });
            return;
        }
        const std::uint64_t offset = std::strtoull(exchange->request().query("offset").value_or("0").c_str(), nullptr, 10);
        addReader(exchange, id, std::min<std::uint64_t>(offset, found->versions.size()), true);
    }

    const char *state()
    {
        if (m_faults.shouldInject(stand_in_fault::Leaving)) {
            return "leaving";
        }
        if (m_model.isSwitching()) {
            return "swapping";
        }
        return m_model.isVersionUnknown() ? "unknown-version" : "ready";
    }

    nlohmann::json currentLoad()
    {
        return { { "server", m_name },
                 { "waiting", m_model.waiting() },
                 { "running", m_model.running() },
                 { "slots", m_options.slots },
                 { "kv_used", m_model.kvUsed() },
                 { "weight_version", m_model.versionOf("") },
                 { "versions", m_model.versions() },
                 { "state", state() } };
    }

    void refreshLoad()
    {
        const time_point now = steadyNow();
        const duration interval = std::max(m_loadInterval, m_faults.delayOf(stand_in_fault::ReportLag));
        if (now - m_loadSnapshotAt >= interval) {
            m_loadSnapshotAt = now;
            m_load = currentLoad();
        }
    }

    const nlohmann::json &load()
    {
        refreshLoad();
        return m_load;
    }

    void events(const std::shared_ptr<http_exchange> &exchange)
    {
        const std::uint64_t since = std::strtoull(exchange->request().query("since").value_or("0").c_str(), nullptr, 10);
        const duration lag = std::max(m_eventLag, m_faults.delayOf(stand_in_fault::ReportLag));
        nlohmann::json list = nlohmann::json::array();
        std::uint64_t next = since;
        for (const cache_event &each : m_model.eventsSince(since, steadyNow() - lag)) {
            next = each.sequence + 1;
            if (!m_faults.shouldInject(stand_in_fault::ReportGap)) {
                list.push_back({ { "seq", each.sequence }, { "type", each.isStored ? "stored" : "removed" }, { "prefix_hash", each.prefixHash } });
            }
        }
        respondJson(exchange, 200, { { "events", list }, { "next", next } });
    }

    void weights(const std::shared_ptr<http_exchange> &exchange)
    {
        const std::optional<nlohmann::json> body = bodyOf(exchange);
        if (!body) {
            return;
        }
        const std::string op = body->value("op", "");
        const std::string run = body->value("run", "");
        const std::uint64_t version = body->value("version", std::uint64_t{ 0 });
        const std::uint64_t fencing = body->value("fencing", std::uint64_t{ 0 });
        m_orders.push_back({ { "op", op }, { "run", run }, { "version", version }, { "fencing", fencing } });
        if (!m_model.acceptFencing(run, fencing)) {
            respondJson(exchange, 409, { { "error", "fenced" } });
            return;
        }
        if (op == "stage") {
            stage(exchange, run, version);
        } else if (op == "switch") {
            switchTo(exchange, run, version);
        } else if (op == "load-adapter" || op == "role") {
            respondJson(exchange, 200, { { "op", op }, { "run", run }, { "version", version } });
        } else {
            respondJson(exchange, 400, { { "error", "op must be stage, switch, load-adapter or role" } });
        }
    }

    void runAfter(duration delay, std::function<void()> action)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
        timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &error) {
            if (!error) {
                action();
            }
        });
    }

    void stage(const std::shared_ptr<http_exchange> &exchange, const std::string &run, std::uint64_t version)
    {
        if (m_stagedVersions.contains({ run, version }) || !m_weightStore) {
            runAfter(m_stageTime, [this, exchange, run, version] {
                m_stagedVersions.insert({ run, version });
                respondJson(exchange, 200, { { "op", "stage" }, { "run", run }, { "version", version } });
            });
            return;
        }
        const std::string target = "/v1/models/" + run + "/versions/" + std::to_string(version) + "/shard";
        m_client.call(*m_weightStore, { "GET", target, {}, "" }, {}, [this, exchange, run, version](const http_call_end &end, const http_response &response) {
            if (end.error == error_kind::None && response.status == 200) {
                m_stagedVersions.insert({ run, version });
                respondJson(exchange, 200, { { "op", "stage" }, { "run", run }, { "version", version } });
            } else if (end.error == error_kind::None && response.status == 404) {
                respondJson(exchange, 404, { { "error", "no such version" } });
            } else {
                runAfter(shardRetryInterval, [this, exchange, run, version] {
                    if (!exchange->isGone()) {
                        stage(exchange, run, version);
                    }
                });
            }
        });
    }

    /** Switches to a version. A version that was not staged is downloaded first, which takes four times the staging time. */
    void switchTo(const std::shared_ptr<http_exchange> &exchange, const std::string &run, std::uint64_t version)
    {
        if (m_model.versionOf(run) == version && !m_model.isSwitching()) {
            respondJson(exchange, 200, { { "op", "switch" }, { "run", run }, { "version", version } });
            return;
        }
        const duration downloadTime = m_stagedVersions.contains({ run, version }) ? duration{} : m_stageTime * 4;
        m_model.beginSwitch();
        runAfter(m_switchTime + downloadTime, [this, exchange, run, version] {
            m_model.advance(steadyNow());
            const bool failsPartway = m_faults.shouldInject(stand_in_fault::SwapPartway);
            m_model.endSwitch(run, failsPartway ? 0 : version);
            if (failsPartway) {
                respondJson(exchange, 500, { { "error", "the switch failed partway" } });
            } else {
                respondJson(exchange, 200, { { "op", "switch" }, { "run", run }, { "version", version } });
            }
        });
    }

    void exportStream(const std::shared_ptr<http_exchange> &exchange)
    {
        const std::optional<nlohmann::json> body = bodyOf(exchange);
        if (!body) {
            return;
        }
        const std::string id = body->value("request_id", "");
        const engine_stream *found = m_model.find(id);
        if (found == nullptr) {
            respondJson(exchange, 404, { { "error", "no such stream" } });
            return;
        }
        const nlohmann::json exported = { { "request_id", id },
                                          { "prompt", found->request.prompt },
                                          { "max_tokens", found->request.maximumTokens },
                                          { "priority", found->request.priority },
                                          { "run", found->request.run },
                                          { "wanted_tokens", found->wantedTokens },
                                          { "token_versions", found->versions },
                                          { "offset", found->versions.size() } };
        m_model.cancel(steadyNow(), id);
        respondJson(exchange, 200, exported);
    }

    void importStream(const std::shared_ptr<http_exchange> &exchange)
    {
        const std::optional<nlohmann::json> body = bodyOf(exchange);
        if (!body) {
            return;
        }
        engine_request request;
        request.id = body->value("request_id", "");
        request.prompt = body->value("prompt", "");
        request.maximumTokens = body->value("max_tokens", std::uint64_t{ 64 });
        request.priority = body->value("priority", std::int64_t{ 0 });
        request.run = body->value("run", "");
        const auto versions = body->value("token_versions", std::vector<std::uint64_t>{});
        if (!m_model.import(steadyNow(), request, body->value("wanted_tokens", std::uint64_t{ 1 }), versions)) {
            respondJson(exchange, 503, { { "error", "not started" } });
            return;
        }
        recordSubmission(request);
        m_records[request.id]["importedTokens"] = versions.size();
        m_model.setReader(steadyNow(), request.id, false);
        respondJson(exchange, 200, { { "request_id", request.id }, { "offset", versions.size() } });
    }

    nlohmann::json record() const
    {
        return { { "server", m_name },   { "refused", m_refused }, { "tokens", m_model.tokensProduced() }, { "staleOrders", m_model.staleOrders() },
                 { "orders", m_orders }, { "requests", m_records } };
    }

    boost::asio::io_context &m_io;
    fault_board &m_faults;
    std::string m_name;
    engine_options m_options;
    engine_model m_model;
    duration m_switchTime;
    duration m_stageTime;
    duration m_loadInterval;
    duration m_eventLag;
    http_client m_client;
    boost::asio::steady_timer m_ticker;
    std::optional<endpoint> m_weightStore;
    std::vector<reader> m_readers;
    std::set<std::string> m_recordedEnds;
    std::set<std::pair<std::string, std::uint64_t>> m_stagedVersions;
    nlohmann::json m_records = nlohmann::json::object();
    nlohmann::json m_orders = nlohmann::json::array();
    nlohmann::json m_load;
    time_point m_loadSnapshotAt{};
    std::uint64_t m_generatedIds = 0;
    std::uint64_t m_refused = 0;
};

} // namespace

int runEngine(int argc, char **argv)
{
    command_line line("reedtrail-standin engine", "Stands in for a model engine.");
    line.option("name", "ID", "Id of this server in its reports (engine)");
    line.option("slots", "N", "Streams run at once (8)");
    line.option("maximum-waiting", "N", "Requests queued before it refuses (256)");
    line.option("tokens-per-second", "N", "Rate of each stream (200)");
    line.option("median-tokens", "N", "Median length of an answer (24)");
    line.option("sigma", "S", "Shape of the lognormal length (0.6)");
    line.option("cached-prefixes", "N", "Prompt prefixes kept (64)");
    line.option("weight-version", "V", "Version of the weights at start (1)");
    line.option("weight-store", "IP:PORT", "Where staged weights are drawn from");
    line.option("switch-ms", "MS", "Time of a switch to staged weights (100)");
    line.option("stage-ms", "MS", "Time to stage without a weight store (200)");
    line.option("load-lag-ms", "MS", "Age of load reports (100)");
    line.option("event-lag-ms", "MS", "Age of cache events (200)");
    line.flag("checks-fencing", "Refuse orders with an old fencing number");
    return runStandIn(line, argc, argv, [](stand_in_context &context) {
        return std::make_unique<engine_stand_in>(context);
    });
}

} // namespace reedtrail
