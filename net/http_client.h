/**
 * @file
 * HTTP/1.1 client with persistent connections (Boost.Beast). All functions and handlers run on the thread of the io_context.
 *
 *     http_client client(io, {});
 *     auto call = client.start(where, request, {.deadline = 5s}, {
 *         .onHead = [](const http_response &head) { ... },
 *         .onBody = [](std::string_view part) { ... },
 *         .onEnd = [](const http_call_end &end) { if (end.error == error_kind::None) ... else if (!end.isHandedOver) ... },
 *     });
 *     call->cancel();
 *
 * http_call_end::isHandedOver is set just before the first byte is written to a connection. Only while it is false may a caller be told that its request did
 * not run.
 */
#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "net/endpoint.h"
#include "net/http_message.h"
#include "net/transport/tls_context.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace reedtrail {

/** The result of a call. */
struct http_call_end
{
    error_kind error = error_kind::None; ///< None, NoServer (no connection), ServerFailed, ServerSilent, DeadlineExceeded or Cancelled.
    bool isHandedOver = false; ///< Whether any byte of the request may have reached the server.
    bool isWithdrawn = false; ///< Whether http_call_options::maySend did not allow the send; says nothing of the server.
    bool isConnectionRefused = false; ///< Whether the machine answered that nothing listens there.
    bool isForeignResponse = false; ///< Whether http_call_options::isOwnResponse rejected the response; its connection is closed.
    bool hasHead = false; ///< Whether the status line and header of the response were received.
    std::string detail;
};

/** Callbacks of a call, invoked in this order. onEnd is always last and runs exactly once, never from inside start(). */
struct http_call_handlers
{
    std::function<void(const http_response &head)> onHead;
    std::function<void(std::string_view part)> onBody;
    std::function<void(const http_call_end &end)> onEnd;
};

/** Time limits of a call. */
struct http_call_options
{
    duration connectTimeout = std::chrono::seconds(1);
    duration silenceTimeout = std::chrono::seconds(10); ///< Longest wait for a write or read to complete.
    duration deadline = std::chrono::seconds(60); ///< Limit for the whole call, including the connection setup.
    std::function<bool()> maySend; ///< Asked once a connection is there, just before the first byte is written. If false, the call ends with NoServer.
    /**
     * Tells by its head whether a response belongs to this request; all do if it is not set. A response to an earlier request on a reused connection ends the
     * call with ServerFailed and closes the connection, on which all later responses would be out of step. onHead is not called with it.
     */
    std::function<bool(const http_response &head)> isOwnResponse;
    /**
     * Id of the request, if it has one. Connections whose last response was to a request with the same id are not reused for it, because a duplicate of that
     * response could not be distinguished from the response to this request.
     */
    std::string requestId;
};

/** A call in progress. */
class http_call
{
public:
    virtual ~http_call() = default;
    /** Cancels the call and resets its connection. onEnd runs with Cancelled unless the call has already ended. */
    virtual void cancel() = 0;
    /** Returns how long ago the connection of the call was established, before the call if it is reused; zero while there is none. */
    virtual duration connectionAge() const = 0;
};

/** Limits and connection settings of a client. */
struct http_client_options
{
    std::size_t maximumIdlePerEndpoint = 16;
    std::size_t maximumIdle = 1024; ///< To all endpoints together; beyond it the one that has been idle for longest is closed.
    duration idleTimeout = std::chrono::seconds(30); ///< Connections idle for longer are closed, at the latest when a call made a second later ends.
    std::size_t maximumBodyBytes = 64U << 20U; ///< Largest accepted response body.
    std::size_t maximumBytesInFlight = 256U << 20U; ///< Bytes of the bodies of all calls that are not complete; beyond it those that have received most fail.
    /**
     * Enables TCP keep-alive probes. They detect a dead peer during a long poll, but the connection then ends without a reset, so that bytes already sent and
     * delayed in the network may still arrive. Without probes, the timers of each call detect the dead peer and reset the connection.
     */
    bool probesQuietConnections = false;
    tls_files tls; ///< If empty, plain HTTP is used. If an authority is set, the server must present a certificate signed by it.
};

/** Sends requests and pools idle connections by endpoint. */
class http_client
{
public:
    http_client(boost::asio::io_context &io, http_client_options options);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /** Starts a call. Releasing the returned object does not cancel the call. */
    std::shared_ptr<http_call> start(const endpoint &where, http_request request, http_call_options options, http_call_handlers handlers);

    /** Callback of call() with the complete response, which is valid only if end.error is None. */
    using response_handler = std::function<void(const http_call_end &end, const http_response &response)>;
    /** Starts a call and buffers the complete response. */
    std::shared_ptr<http_call> call(const endpoint &where, http_request request, http_call_options options, response_handler onResponse);

    /** Closes the idle connections to @p where, for a server that is gone. */
    void closeIdle(const endpoint &where);
    /** Returns true if an idle connection to @p where has not expired; the server may have closed it nevertheless. */
    bool hasIdle(const endpoint &where) const;
    /** Returns the number of idle connections in the pool. */
    std::size_t idleConnections() const;
    /** Returns the number of connections that calls have begun to open so far. */
    std::uint64_t openedConnections() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace reedtrail
