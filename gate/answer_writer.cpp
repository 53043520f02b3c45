// The head of a stream is sent with the first token, so that an error before it still has its own HTTP status. A caller that waits longer gets the head and
// keep-alive comments; an error after that is sent as an event of type "error", and the stream ends without its end marker.

#include "gate/answer_writer.h"

#include "base/check.h"
#include "node/process_host.h"

namespace reedtrail {
namespace {

nlohmann::json versionsJson(const std::vector<version_range> &versions)
{
    nlohmann::json list = nlohmann::json::array();
    for (const version_range &range : versions) {
        list.push_back(range);
    }
    return list;
}

std::uint64_t tokenCount(const std::vector<version_range> &versions)
{
    return versions.empty() ? 0 : versions.back().to;
}

std::string formatEvent(const nlohmann::json &data)
{
    return "data: " + data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n";
}

std::string chunkEvent(const completion_chunk &chunk, const std::string &publicId)
{
    nlohmann::json choice{ { "text", chunk.text }, { "index", 0 }, { "finish_reason", nullptr } };
    if (!chunk.finishReason.empty()) {
        choice["finish_reason"] = chunk.finishReason;
    }
    return formatEvent({ { "id", publicId },
                         { "object", "text_completion" },
                         { "choices", nlohmann::json::array({ std::move(choice) }) },
                         { "weight_version", chunk.version },
                         { "offset", chunk.offset } });
}

/** Returns the event with token count and weight versions, and the end marker. */
std::string finalEvents(const broker_answer &answer, const std::string &publicId)
{
    const std::string versions = formatEvent({ { "id", publicId },
                                               { "object", "text_completion" },
                                               { "choices", nlohmann::json::array() },
                                               { "usage", { { "completion_tokens", tokenCount(answer.versions) } } },
                                               { "weight_versions", versionsJson(answer.versions) } });
    return versions + "data: [DONE]\n\n";
}

void addAnswerFields(http_response &response, const broker_answer &answer, const std::string &publicId)
{
    response.fields.set("Reedtrail-Outcome", std::string(outcomeText(request_outcome::Done)));
    response.fields.set("Reedtrail-Request", publicId);
    response.fields.set("Reedtrail-Server", answer.server.str());
}

constexpr std::int64_t microsecondsPerSecond = 1000000;
constexpr std::string_view streamContentType = "text/event-stream";

} // namespace

http_response refusalResponse(error_kind kind, std::string_view detail, duration retryAfter)
{
    http_response response = errorResponse(kind, detail);
    if (retryAfter > duration::zero()) {
        response.fields.set("Retry-After", std::to_string((retryAfter.count() + microsecondsPerSecond - 1) / microsecondsPerSecond));
    }
    return response;
}

http_response bufferedResponse(const broker_answer &answer, const std::string &publicId, const std::string &text, const std::string &finishReason)
{
    http_response response;
    if (answer.error != error_kind::None) {
        response = refusalResponse(answer.error, answer.detail, answer.retryAfter);
        response.fields.set("Reedtrail-Request", publicId);
        return response;
    }
    if (!answer.isStream) {
        response.status = answer.response.status;
        for (const http_field &field : answer.response.fields.all()) {
            response.fields.set(field.name, field.value);
        }
        for (const char *name : { "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive" }) {
            response.fields.remove(name);
        }
        response.body = answer.response.body;
    } else {
        const nlohmann::json choice{ { "text", text }, { "index", 0 }, { "finish_reason", finishReason } };
        const nlohmann::json body{ { "id", publicId },
                                   { "object", "text_completion" },
                                   { "choices", nlohmann::json::array({ choice }) },
                                   { "usage", { { "completion_tokens", tokenCount(answer.versions) } } },
                                   { "weight_versions", versionsJson(answer.versions) } };
        response = jsonResponse(200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }
    addAnswerFields(response, answer, publicId);
    return response;
}

http_response bufferedStreamResponse(const broker_answer &answer, const std::string &publicId, const std::string &text, const std::string &finishReason)
{
    if (answer.error != error_kind::None || !answer.isStream) {
        return bufferedResponse(answer, publicId, text, finishReason);
    }
    const completion_chunk chunk{ text, finishReason, tokenCount(answer.versions), 0, answer.versions.empty() ? 0 : answer.versions.back().version };
    http_response response;
    response.body = chunkEvent(chunk, publicId) + finalEvents(answer, publicId);
    response.fields.set("Content-Type", std::string(streamContentType));
    addAnswerFields(response, answer, publicId);
    return response;
}

answer_writer::answer_writer(std::shared_ptr<http_exchange> exchange, std::string publicId, bool isStream)
    : m_exchange(std::move(exchange))
    , m_publicId(std::move(publicId))
    , m_isStream(isStream)
    , m_lastWrite(monotonicNow())
{
}

broker_receiver answer_writer::receiver()
{
    broker_receiver receiver;
    receiver.buffersTokens = !m_isStream;
    receiver.onChunk = [self = shared_from_this()](const server_id &server, const completion_chunk &chunk) {
        self->writeChunk(server, chunk);
    };
    receiver.onRestart = [self = shared_from_this()] {
        REEDTRAIL_CHECK(!self->m_isStream, "a stream cannot restart: its tokens were already sent to the caller");
        self->m_text.clear();
    };
    receiver.onEnd = [self = shared_from_this()](const broker_answer &answer) {
        self->finish(answer);
    };
    return receiver;
}

void answer_writer::startStream(const server_id &server)
{
    m_isStarted = true;
    http_response head;
    head.fields = { { "Content-Type", std::string(streamContentType) }, { "Cache-Control", "no-cache" }, { "Reedtrail-Request", m_publicId } };
    if (!server.empty()) {
        head.fields.set("Reedtrail-Server", server.str());
    }
    m_exchange->startStream(std::move(head));
}

void answer_writer::writeChunk(const server_id &server, const completion_chunk &chunk)
{
    if (!m_isStream) {
        m_text += chunk.text;
        m_finishReason = chunk.finishReason;
        return;
    }
    if (!m_isStarted) {
        startStream(server);
    }
    m_exchange->write(chunkEvent(chunk, m_publicId));
    m_lastWrite = monotonicNow();
}

void answer_writer::keepAlive()
{
    if (!m_isStream || m_hasEnded) {
        return;
    }
    if (!m_isStarted) {
        startStream({});
    }
    m_exchange->write(std::string(keepAliveComment));
    m_lastWrite = monotonicNow();
}

void answer_writer::finish(const broker_answer &answer)
{
    REEDTRAIL_CHECK(!m_hasEnded, "a response can be finished only once");
    m_hasEnded = true;
    if (m_isStarted) {
        finishStream(answer);
    } else if (m_isStream && answer.error == error_kind::None && answer.isStream) {
        startStream(answer.server);
        finishStream(answer);
    } else {
        m_exchange->respond(bufferedResponse(answer, m_publicId, m_text, m_finishReason));
    }
    m_exchange.reset();
}

void answer_writer::finishWithResponse(http_response response)
{
    REEDTRAIL_CHECK(!m_hasEnded, "a response can be finished only once");
    m_hasEnded = true;
    if (m_isStarted) {
        const bool isStreamBody = response.fields.get("Content-Type") == streamContentType;
        m_exchange->write(isStreamBody ? std::move(response.body) : "event: error\ndata: " + response.body + "\n");
        m_exchange->finishStream();
    } else {
        m_exchange->respond(std::move(response));
    }
    m_exchange.reset();
}

void answer_writer::finishStream(const broker_answer &answer)
{
    if (answer.error != error_kind::None || !answer.isStream) {
        const error_kind kind = answer.error == error_kind::None ? error_kind::ServerFailed : answer.error;
        const error_answer &row = answerFor(kind);
        nlohmann::json data{ { "error", row.name }, { "text", row.text }, { "outcome", outcomeText(row.outcome) }, { "retrySafe", row.retrySafe } };
        m_exchange->write("event: error\n" + formatEvent(data));
        m_exchange->finishStream();
        return;
    }
    m_exchange->write(finalEvents(answer, m_publicId));
    m_exchange->finishStream();
}

} // namespace reedtrail
