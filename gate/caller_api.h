/**
 * @file
 * The gate's HTTP interface for callers and trainers.
 *
 *     caller_api api(io, broker, desk, settings, links);
 *     http_server server(io, options, [&](auto exchange) { api.handle(std::move(exchange)); });
 *
 * Everything runs on the traffic thread.
 */
#pragma once

#include "gate/answer_writer.h"
#include "gate/once_desk.h"
#include "gate/request_broker.h"
#include "gate/token_directory.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>

namespace reedtrail {

/** What the interface needs from the rest of the gate. */
struct caller_api_callbacks
{
    draft_maker::id_source nextIds;
    std::function<void(const pull_question &question, std::function<void(http_response response)> onResponse)> pull;
    std::function<void(std::uint16_t status, duration latency)> onAnswered; ///< For the metrics.
};

/** Times and bounds of the interface. */
struct caller_api_options
{
    duration keepAlivePeriod = std::chrono::seconds(2); ///< A stream without tokens for longer gets a comment.
    std::size_t cachedTokens = 4096;
    std::uint64_t maximumTicketsPerCall = 256;
    std::uint64_t maximumPullWaitMs = 60000;
};

/** The interface. */
class caller_api
{
public:
    caller_api(boost::asio::io_context &io, request_broker &broker, once_desk &desk, caller_api_options options, caller_api_callbacks callbacks);
    ~caller_api();

    /** Takes over a snapshot. */
    void useSnapshot(snapshot_pointer snapshot);
    /** Takes a caller's request. */
    void handle(std::shared_ptr<http_exchange> exchange);
    /** Takes a named request that another gate passed on. */
    void handleForwarded(forwarded_request message, std::function<void(forwarded_answer answer)> onAnswer);
    /** Refuses new requests from now on. */
    void beginDrain()
    {
        m_isDraining = true;
    }
    /** Stops the timers. */
    void stop();

private:
    void handleTimed(const std::shared_ptr<http_exchange> &exchange);
    result<void> dispatch(const std::shared_ptr<http_exchange> &exchange);
    result<customer_id> authenticate(const http_request &request);
    void runUnnamed(const std::shared_ptr<http_exchange> &exchange, caller_request request);
    void runNamed(const std::shared_ptr<http_exchange> &exchange, caller_request request);
    result<void> issueTickets(const std::shared_ptr<http_exchange> &exchange, const customer_id &customer);
    result<void> pull(const std::shared_ptr<http_exchange> &exchange, const customer_id &customer);
    void registerStream(const std::shared_ptr<answer_writer> &writer);
    void keepStreamsAlive();

    boost::asio::io_context &m_io;
    request_broker &m_broker;
    once_desk &m_desk;
    caller_api_options m_options;
    caller_api_callbacks m_callbacks;
    token_directory m_tokens;
    snapshot_pointer m_snapshot = std::make_shared<const fleet_snapshot>();
    std::list<std::weak_ptr<answer_writer>> m_streams;
    boost::asio::steady_timer m_keepAliveTimer;
    bool m_isDraining = false;
};

} // namespace reedtrail
