/**
 * @file
 * One attempt of a request on one backend server, over as many connections as its stream needs.
 *
 *     auto attempt = startServiceAttempt(client, target, request, options, handlers);
 *     auto attempt = startCompletionAttempt(client, target, body, engineId, options, handlers);
 *     attempt->cancel();     // no handler runs afterwards; a model engine is told
 *
 * How an attempt ended carries the promise "not run": attempt_end::NotStarted is reported only if no byte was handed to a connection, or if the server
 * itself said that it did not start.
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

/** What became of an attempt. */
struct attempt_report
{
    attempt_end end = attempt_end::Failed;
    error_kind error = error_kind::None; ///< Why, if it was not answered.
    std::string detail;
    http_response response; ///< Of a service, or of an engine that did not begin a stream; valid if end is Answered.
    std::vector<version_range> versions; ///< Of an engine's answer.
};

/** What an attempt reports; onEnd is last and runs at most once, never from inside a call. */
struct attempt_handlers
{
    std::function<void(const completion_chunk &chunk)> onChunk;
    std::function<void(attempt_report report)> onEnd;
};

/** Limits of an attempt. */
struct attempt_options
{
    duration connectTimeout = std::chrono::seconds(1);
    duration deadline = std::chrono::seconds(30);
    std::uint32_t maximumResumes = 3; ///< In a row without a new token.
    duration resumeDelay = std::chrono::milliseconds(50);
    duration cancelTimeout = std::chrono::seconds(2);
};

/** An attempt under way. */
class server_attempt
{
public:
    virtual ~server_attempt() = default;
    /** Gives the attempt up. */
    virtual void cancel() = 0;
};

/** Header with which a server says that it did not start a request it answered 503. */
inline constexpr std::string_view notStartedHeader = "Reedtrail-Not-Started";

/** Sends @p request whole and gathers the response whole. */
std::shared_ptr<server_attempt>
startServiceAttempt(http_client &client, const server_target &target, http_request request, const attempt_options &options, attempt_handlers handlers);

/** Sends a completion as a stream, which is resumed by offset when its connection breaks or goes silent. @param engineId names the stream at the engine */
std::shared_ptr<server_attempt> startCompletionAttempt(boost::asio::io_context &io,
                                                       http_client &client,
                                                       const server_target &target,
                                                       http_request request,
                                                       std::string engineId,
                                                       const attempt_options &options,
                                                       attempt_handlers handlers);

} // namespace reedtrail
