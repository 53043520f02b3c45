/**
 * @file
 * Turns a broker's answer into the caller's HTTP response: one JSON body, or a stream of server-sent events with keep-alive comments.
 *
 *     auto writer = std::make_shared<answer_writer>(exchange, publicId, isStream);
 *     broker.submit(request, writer->receiver());
 */
#pragma once

#include "gate/request_broker.h"
#include "net/http_server.h"

#include <memory>
#include <string>

namespace reedtrail {

/** A comment in a stream of server-sent events, which shows a waiting caller that the connection is alive. */
inline constexpr std::string_view keepAliveComment = ": keep-alive\n\n";

/** Writes the response to one HTTP exchange. */
class answer_writer : public std::enable_shared_from_this<answer_writer>
{
public:
    answer_writer(std::shared_ptr<http_exchange> exchange, std::string publicId, bool isStream);

    /** Returns the callbacks by which the broker passes its answer to this writer. They keep the writer alive. */
    broker_receiver receiver();
    /** Writes new tokens to the stream, or buffers them if the response is not a stream. */
    void writeChunk(const server_id &server, const completion_chunk &chunk);
    /** Ends the response with the broker's answer. */
    void finish(const broker_answer &answer);
    /** Ends the response with a complete response; its body becomes the last event if the stream has started. */
    void finishWithResponse(http_response response);
    /** Writes a keep-alive comment, and the response head before it if needed. Does nothing after the end or if the response is not a stream. */
    void keepAlive();
    /** Returns whether the response has ended. */
    bool hasEnded() const
    {
        return m_hasEnded;
    }
    /** Returns when the stream was last written to, or when the writer was made. */
    time_point lastWrite() const
    {
        return m_lastWrite;
    }

private:
    void startStream(const server_id &server);
    void finishStream(const broker_answer &answer);

    std::shared_ptr<http_exchange> m_exchange;
    std::string m_publicId;
    bool m_isStream;
    bool m_isStarted = false;
    bool m_hasEnded = false;
    time_point m_lastWrite;
    std::string m_text; ///< Text buffered for a response that is not a stream.
    std::string m_finishReason;
};

/** Makes a response with a single body. @param text text of all tokens, if the answer was a stream */
http_response bufferedResponse(const broker_answer &answer, const std::string &publicId, const std::string &text, const std::string &finishReason);

/** Makes a response whose body is a complete stream of server-sent events, for a caller that asked for a stream. */
http_response bufferedStreamResponse(const broker_answer &answer, const std::string &publicId, const std::string &text, const std::string &finishReason);

/** Makes the response to a request that ended with an error. @param retryAfter sent in header Retry-After, rounded up to seconds, if not 0 */
http_response refusalResponse(error_kind kind, std::string_view detail, duration retryAfter);

} // namespace reedtrail
