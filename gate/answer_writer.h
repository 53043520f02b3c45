/**
 * @file
 * Turns a broker's answer into the caller's HTTP response: whole JSON, or server-sent events with keep-alive comments.
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

/** A comment line of server-sent events, which shows a waiting caller that its connection lives. */
inline constexpr std::string_view keepAliveComment = ": keep-alive\n\n";

/** The response to one exchange. */
class answer_writer : public std::enable_shared_from_this<answer_writer>
{
public:
    answer_writer(std::shared_ptr<http_exchange> exchange, std::string publicId, bool isStream);

    /** Returns what the broker tells this writer. */
    broker_receiver receiver();
    /** Passes tokens on, or gathers them for a whole response. */
    void writeChunk(const server_id &server, const completion_chunk &chunk);
    /** Ends the response with the broker's answer. */
    void finish(const broker_answer &answer);
    /** Ends the response with one made already. */
    void finishWithResponse(http_response response);
    /** Shows that the stream lives, starting it if need be; does nothing for a whole response or after the end. */
    void keepAlive();
    /** Tells whether the response has ended. */
    bool hasEnded() const
    {
        return m_hasEnded;
    }
    /** Returns when something was last written. */
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
    std::string m_text; ///< Tokens gathered for a whole response.
    std::string m_finishReason;
};

/** Makes the whole response to an answer. @param text of the tokens, if the answer was a stream */
http_response bufferedResponse(const broker_answer &answer, const std::string &publicId, const std::string &text, const std::string &finishReason);

/** Makes the whole response to an answer that its caller wanted as a stream. */
http_response bufferedStreamResponse(const broker_answer &answer, const std::string &publicId, const std::string &text, const std::string &finishReason);

/** Makes the response to a request that ended with an error. @param retryAfter sent rounded up to seconds, if not 0 */
http_response refusalResponse(error_kind kind, std::string_view detail, duration retryAfter);

} // namespace reedtrail
