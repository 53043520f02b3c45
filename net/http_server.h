/**
 * @file
 * HTTP/1.1 server (Boost.Beast). All functions and handlers run on the thread of the io_context.
 *
 *     http_server server(io, {.address = where}, [](std::shared_ptr<http_exchange> exchange) {
 *         exchange->respond(textResponse(200, "hello\n"));                       // complete response
 *     });
 *     // or streamed: exchange->startStream(head); exchange->write("data: ...\n\n"); exchange->finishStream();
 *
 * An exchange may be answered at any later time. The action given to onGone runs if the caller disconnects before the response is complete. An exchange that
 * is destroyed without a response is answered with status 500, so that no caller waits indefinitely.
 */
#pragma once

#include "base/failure.h"
#include "base/time.h"
#include "net/endpoint.h"
#include "net/http_message.h"
#include "net/transport/tls_context.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>

namespace reedtrail {

class reception;

/** What one request may take; see http_server_options. */
struct request_limits
{
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    duration headerTimeout{};
    duration progressTimeout{};
    duration idleTimeout{};
};

/** Address, limits and timeouts of a server. */
struct http_server_options
{
    endpoint address;
    std::size_t maximumHeaderBytes = 16U << 10U;
    std::size_t maximumBodyBytes = 4U << 20U;
    std::size_t maximumBodyBytesHeld = std::numeric_limits<std::size_t>::max(); ///< reception_limits::requestBytes, if the server shares no reception.
    std::shared_ptr<reception> requests; ///< What this server and others of the process hold of requests; if null, this one's own.
    /** Bytes that the kernel keeps for a connection whose request is not being received, in its own count of them; the body of an admitted request gets more.
     */
    std::size_t receiveBufferBytes = 8U << 10U;
    /**
     * Beyond this number the connection that has waited for longest is closed for a new one: it is idle, or receives a request that makes no progress. If a
     * request is under way on each, the new one is closed.
     */
    std::size_t maximumConnections = 4096;
    std::size_t maximumQueuedBytes = 4U << 20U; ///< Limit for unsent bytes of a stream; the connection of a slower reader is closed.
    duration idleTimeout = std::chrono::seconds(75); ///< Limit for the wait for the first byte of a request.
    duration headerTimeout = std::chrono::seconds(30); ///< Limit from the first byte of a head to its last.
    duration progressTimeout = std::chrono::seconds(30); ///< Limit for each 16 KB of a body, and for its end.
    duration writeTimeout = std::chrono::seconds(30); ///< Limit for each write to complete.
    tls_files tls; ///< If empty, plain HTTP is used. Callers authenticate with tokens, so no client certificate is requested.
};

/** One request and the functions that answer it. */
class http_exchange
{
public:
    virtual ~http_exchange() = default;
    /** Returns the request. */
    virtual const http_request &request() const = 0;
    /** Charges the request for @p bytes in all, if it takes more memory than its head and body. @return whether there is room beside other requests */
    virtual bool reserve(std::size_t /*bytes*/)
    {
        return true;
    }
    /** Sends a complete response. */
    virtual void respond(http_response response) = 0;
    /** Starts a chunked response with status and header fields of @p head, whose body is ignored. */
    virtual void startStream(http_response head) = 0;
    /** Sends @p data as the next part of the streamed body. */
    virtual void write(std::string data) = 0;
    /** Completes the streamed response. */
    virtual void finishStream() = 0;
    /** Closes the connection, so that the caller sees an incomplete response. */
    virtual void abort() = 0;
    /** Sets an action that runs once if the caller disconnects before the response is complete. */
    virtual void onGone(std::function<void()> action) = 0;
    /** Returns true if this exchange can no longer be answered: the caller disconnected or the response is complete. */
    virtual bool isGone() const = 0;
};

/** Accepts connections and passes each request to a handler. */
class http_server
{
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    http_server(boost::asio::io_context &io, http_server_options options, handler handle);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** Changes the limits for requests that begin from now on. */
    void setLimits(const request_limits &limits);
    /** Starts to accept connections. @return PeerUnreachable if the address cannot be bound */
    result<void> start();
    /** Closes each connection after its next response, which says so in its header. New connections are still accepted. */
    void closeAfterAnswers();
    /** Stops accepting connections. Open connections close after their current or next response. */
    void stopAccepting();
    /** Closes the listening socket and all connections. */
    void stop();
    /** Returns the number of requests whose response is not complete. */
    std::size_t exchangesInFlight() const;
    /** Returns the number of open connections. */
    std::size_t connections() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace reedtrail
