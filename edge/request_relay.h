/**
 * @file
 * Relays one request of a caller to backend servers, with retries, until it has a final response.
 *
 * Whether a failed attempt may be retried depends on whether any byte of the request was handed to a connection, and on the kind of the request's route. Only a
 * server's explicit refusal, or a connection that was never established, proves that the request has not run.
 *
 * A stream goes on only at a server of the build that began it, within one answer and over the attempts of its caller. What began it is entered with the
 * stream (edge/stream_origins.h) before its first event leaves this node. Events of a later run are held back until the instance that made them is certain.
 */
#pragma once

#include "edge/crash_guard.h"
#include "edge/edge_context.h"
#include "edge/fleet_cache.h"
#include "edge/stream_origins.h"
#include "edge/suspect_request.h"
#include "fleet/request_identity.h"
#include "fleet/run_start_tracker.h"
#include "net/event_stream.h"
#include "net/http_server.h"
#include "platform/caller_wire.h"
#include "platform/server_wire.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace reedtrail {

/** Relays one request. The object keeps itself alive until the request is answered. */
class request_relay : public std::enable_shared_from_this<request_relay>
{
public:
    /** @param customer for whom the request is sent, as access_verdict::customer */
    request_relay(edge_context &context,
                  fleet_cache &fleet,
                  crash_guard &crashes,
                  stream_origins &origins,
                  std::shared_ptr<http_exchange> exchange,
                  const route &matchedRoute,
                  platform::service_call call,
                  std::optional<std::string> customer);

    void start();
    /** Answers the request now, unless that is done: this process is about to end, and the connection would end without an answer. */
    void endBeforeStop();

private:
    void takeUpStream();
    bool isTakenUp() const;
    void startNextAttempt();
    void admitSuspect();
    void placeAttempt();
    void admitAttempt(const backend_choice &server, bool isLastServer);
    duration maxPlaceWait() const;
    void sendAttempt(const backend_choice &server);
    duration attemptTimeout() const;
    void onResponseHead(const http_response &head);
    void onResponseBody(std::string_view part);
    void onAttemptEnded(const http_call_end &end);
    void handleForeignResponse(const http_call_end &end);
    void handleResponse();
    void handleUncontinuedStream();
    void proveContinuation();
    void dropAttempt(const char *reason);
    void receiveEvents(std::string_view part);
    void forwardEvents(std::string_view part);
    void beginStream();
    void onStreamEnded(const http_call_end &end);
    void countBreak(const char *then);
    void continueStream();
    duration timeToTakeUp() const;
    duration maximumStreamAge() const;
    void handleSentAttemptFailure(const char *reason);
    unanswered_attempt unansweredAttempt() const;
    void reportAbandonedAttempt(const char *reason);
    bool mayServerEndCount() const;
    void retryOrRefuse();
    bool isRetrySafe() const;
    bool isStream() const;
    void finishWithResponse(http_response response, const char *outcome);
    void refuse(std::uint16_t status, const char *reason, duration retryAfter);
    void finish(const char *outcome, std::uint16_t status);
    void releaseServer();
    void recordUse(const std::optional<time_point> &beganAt);

    edge_context &m_context;
    fleet_cache &m_fleet;
    crash_guard &m_crashes;
    stream_origins &m_origins;
    std::shared_ptr<http_exchange> m_exchange;
    route m_route; ///< Copy of the route at the time of the request; a new configuration does not change it.
    platform::service_call m_call;
    std::optional<std::string> m_customer; ///< For whom the request is sent, as access_verdict::customer.
    suspect_request m_suspect;
    std::string m_service;
    time_point m_startedAt;
    time_point m_deadline;
    std::vector<std::string> m_triedServers;
    int m_possibleRuns = 0; ///< Attempts that a server ran or may have run.
    int m_notRunAttempts = 0; ///< Attempts that certainly did not run: refused, or never sent.
    backend_choice m_server;
    fleet_cache::sent_request m_sent;
    time_point m_attemptStartedAt;
    std::shared_ptr<http_call> m_attempt;
    std::uint64_t m_attemptNumber = 0;
    time_point m_lastReceivedAt; ///< When the current attempt was begun or last brought something.
    http_response m_response;
    platform::server_answer m_serverAnswer;
    event_stream_reader m_events;
    std::string m_lastEventId;
    std::optional<stream_origin> m_origin; ///< What began the stream; set once it is known.
    server_contact m_originContact; ///< On which it was begun, if this node relayed its first event.
    server_contact m_contact; ///< On which the current attempt is answered.
    bool m_isHeld = false; ///< The current attempt's events wait for the proof of what made them.
    std::string m_heldBytes; ///< Of the current attempt.
    std::optional<http_call_end> m_heldEnd; ///< End of the current attempt, handled after m_heldBytes.
    std::string m_build; ///< Build of the server that answered the current attempt; empty until its answer begins, or if unknown.
    std::size_t m_attemptEvents = 0; ///< Events that the current attempt has brought.
    run_start_tracker m_runStart;
    bool m_hasStreamStarted = false;
    bool m_isDone = false;
    boost::asio::steady_timer m_timer;
};

} // namespace reedtrail
