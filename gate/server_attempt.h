/**
 * @file
 * One attempt to run a request on one backend server. A stream that is resumed uses several connections in turn.
 *
 *     auto attempt = startServiceAttempt(client, target, request, options, handlers);
 *     auto attempt = startCompletionAttempt(io, client, target, request, engineId, options, handlers);
 *     attempt->cancel();     // no handler runs afterwards; a model engine is asked to cancel the stream
 *
 * The outcome "not run" of a request relies on attempt_end::NotStarted. It is reported only if no byte of the request was handed to a connection, or if the
 * server itself reports that it did not start the request.
 */
#pragma once

#include "gate/completion_stream.h"
#include "gate/fleet_snapshot.h"
#include "net/http_client.h"
#include "routing/request_scheduler.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace reedtrail {

/** Result of an attempt. */
struct attempt_result
{
    attempt_end end = attempt_end::Failed;
    error_kind error = error_kind::None; ///< The cause, if end is not Answered.
    std::string detail;
    http_response response; ///< The response of a service, or of an engine that did not begin a stream; valid if end is Answered.
    std::vector<version_range> versions; ///< Weight versions that produced the tokens of an engine's answer.
};

/** Callbacks of an attempt. onEnd runs last and at most once, never from inside a call to the attempt. */
struct attempt_handlers
{
    std::function<void(const completion_chunk &chunk)> onChunk;
    std::function<void(attempt_result attemptResult)> onEnd;
};

/** Timeouts and limits of an attempt. */
struct attempt_options
{
    duration connectTimeout = std::chrono::seconds(1);
    duration deadline = std::chrono::seconds(30);
    std::uint32_t maximumResumesWithoutProgress = 3; ///< Limit of consecutive resumes that bring no new token.
    duration resumeDelay = std::chrono::milliseconds(50);
    duration cancelTimeout = std::chrono::seconds(2);
};

/** An attempt in progress. */
class server_attempt
{
public:
    virtual ~server_attempt() = default;
    /** Cancels the attempt; none of its callbacks runs any more. */
    virtual void cancel() = 0;
};

/** Header with which a server reports that it did not start a request to which it responds 503. */
inline constexpr std::string_view notStartedHeader = "Reedtrail-Not-Started";

/** Sends @p request to a plain service and buffers the complete response. */
std::shared_ptr<server_attempt>
startServiceAttempt(http_client &client, const server_target &target, http_request request, const attempt_options &options, attempt_handlers handlers);

/**
 * Sends a completion request and streams its tokens. A stream whose connection breaks or goes silent is resumed by offset.
 * @param engineId id of the stream on the engine
 */
std::shared_ptr<server_attempt> startCompletionAttempt(boost::asio::io_context &io,
                                                       http_client &client,
                                                       const server_target &target,
                                                       http_request request,
                                                       std::string engineId,
                                                       const attempt_options &options,
                                                       attempt_handlers handlers);

} // namespace reedtrail
