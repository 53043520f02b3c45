/**
 * @file
 * The gate's HTTP interface for callers and trainers.
 *
 *     caller_api api(io, broker, deduplicator, options, callbacks);
 *     http_server server(io, options, [&](auto exchange) { api.handle(std::move(exchange)); });
 *
 * Everything runs on the traffic thread.
 */
#pragma once

#include "gate/answer_writer.h"
#include "gate/request_broker.h"
#include "gate/request_deduplicator.h"
#include "gate/token_directory.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>

namespace reedtrail {

/** Functions of the rest of the gate that the interface calls. */
struct caller_api_callbacks
{
    draft_maker::id_source nextIds; ///< Returns the ids of a new request.
    /** Passes a trainer's pull to the owner of its run. */
    std::function<void(const pull_question &question, std::function<void(http_response response)> onResponse)> pull;
    std::function<void(std::uint16_t status, duration latency)> onAnswered; ///< Records an answer in the metrics; may be empty.
};

/** Options of caller_api. */
struct caller_api_options
{
    duration keepAlivePeriod = std::chrono::seconds(2); ///< A stream with no write for this long gets a keep-alive comment.
    std::size_t cachedTokens = 4096; ///< Capacity of the cache of callers' access tokens.
    std::uint64_t maximumTicketsPerCall = 256;
    std::uint64_t maximumPullWaitMs = 60000;
};

/** Handles the HTTP requests of callers and trainers. */
class caller_api
{
public:
    caller_api(
        boost::asio::io_context &io, request_broker &broker, request_deduplicator &deduplicator, caller_api_options options, caller_api_callbacks callbacks);
    ~caller_api();

    /** Replaces the fleet snapshot; reloads the access tokens if the settings changed. */
    void useSnapshot(snapshot_pointer snapshot);
    /** Handles a caller's request. */
    void handle(std::shared_ptr<http_exchange> exchange);
    /** Handles a named request that another gate forwarded. @param onAnswer runs once with the answer */
    void handleForwarded(forwarded_request message, std::function<void(forwarded_answer answer)> onAnswer);
    /** Starts to refuse new unnamed requests and new tickets. */
    void beginDrain()
    {
        m_isDraining = true;
    }
    /** Stops the keep-alive timer. */
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
    request_deduplicator &m_deduplicator;
    caller_api_options m_options;
    caller_api_callbacks m_callbacks;
    token_directory m_tokens;
    snapshot_pointer m_snapshot = std::make_shared<const fleet_snapshot>();
    std::list<std::weak_ptr<answer_writer>> m_streams;
    boost::asio::steady_timer m_keepAliveTimer;
    bool m_isDraining = false;
};

} // namespace reedtrail
