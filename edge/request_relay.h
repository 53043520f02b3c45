/**
 * @file
 * Passes one request of a caller on to backend servers until it has its final answer.
 *
 * What may be done after a failure depends on two facts: whether a byte of the request was handed to a connection, and what kind of request its route says it
 * is. Only a server's own word, or a connection that never came to be, proves that the request has not run.
 */
#pragma once

#include "edge/edge_context.h"
#include "edge/fleet_cache.h"
#include "net/event_stream.h"
#include "net/http_server.h"
#include "platform/caller_wire.h"
#include "platform/server_wire.h"

#include <memory>
#include <string>
#include <vector>

namespace reedtrail {

/** One request on its way; it keeps itself alive until it is answered. */
class request_relay : public std::enable_shared_from_this<request_relay>
{
public:
    request_relay(edge_context &context, fleet_cache &fleet, std::shared_ptr<http_exchange> exchange, const route &where, platform::service_call call);

    void start();

private:
    void tryNext();
    void send(const backend_choice &server);
    duration attemptLimit() const;
    void gotHead(const http_response &head);
    void gotBody(std::string_view part);
    void attemptEnded(const http_call_end &end);
    void judgeAnswer();
    void forwardEvents(std::string_view part);
    void streamEnded(const http_call_end &end);
    void failedAfterHandover(const char *reason);
    void retryAfterPause();
    bool mayRepeat() const;
    bool isStream() const;
    void answer(http_response response, const char *outcome);
    void refuse(std::uint16_t status, const char *reason, duration returnAfter);
    void finish(const char *outcome, std::uint16_t status);
    void noteServerEnd();

    edge_context &m_context;
    fleet_cache &m_fleet;
    std::shared_ptr<http_exchange> m_exchange;
    route m_route; ///< As it was when the request came.
    platform::service_call m_call;
    std::string m_service;
    time_point m_startedAt;
    time_point m_answerBy;
    std::vector<std::string> m_tried;
    int m_runs = 0; ///< Attempts that may have run.
    int m_refusals = 0; ///< Attempts that certainly have not.
    backend_choice m_server;
    time_point m_sentAt;
    std::shared_ptr<http_call> m_attempt;
    std::uint64_t m_attemptNumber = 0;
    http_response m_response;
    platform::server_answer m_answer;
    event_stream_reader m_events;
    std::string m_lastEvent;
    bool m_hasStreamStarted = false;
    bool m_isDone = false;
    boost::asio::steady_timer m_timer;
};

} // namespace reedtrail
