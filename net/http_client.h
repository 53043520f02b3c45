/**
 * @file
 * An HTTP/1.1 client with kept connections (Boost.Beast). Everything runs on the thread of its io_context.
 *
 *     http_client client(io, {});
 *     auto call = client.start(where, request, {.deadline = 5s}, {
 *         .onHead = [](const http_response &head) { ... },
 *         .onBody = [](std::string_view part) { ... },
 *         .onEnd = [](const http_call_end &end) { if (end.error == error_kind::None) ... else if (!end.isHandedOver) ... },
 *     });
 *     call->cancel();
 *
 * http_call_end::isHandedOver is the fact that the promise "not run" stands on: it is true from the moment before the first byte is given to a connection.
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

/** How a call ended. */
struct http_call_end
{
    error_kind error = error_kind::None; ///< None, NoServer (no connection), ServerFailed, ServerSilent, DeadlineExceeded or Cancelled.
    bool isHandedOver = false; ///< Whether any byte of the request may have reached the server.
    bool hasHead = false; ///< Whether the head of the response was received.
    std::string detail;
};

/** What a call reports, in this order; onEnd is always last and runs exactly once, never from inside start(). */
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
    duration silenceTimeout = std::chrono::seconds(10); ///< Longest time without a byte while something is awaited.
    duration deadline = std::chrono::seconds(60); ///< For the whole call.
};

/** A call under way. */
class http_call
{
public:
    virtual ~http_call() = default;
    /** Gives the call up: closes its connection; onEnd follows with Cancelled unless the call has ended. */
    virtual void cancel() = 0;
};

/** Bounds of a client. */
struct http_client_options
{
    std::size_t maximumIdlePerEndpoint = 16;
    duration idleTimeout = std::chrono::seconds(30); ///< Kept connections unused for longer are closed when next looked at.
    std::size_t maximumBodyBytes = 64U << 20U; ///< Of a response.
    /**
     * Whether TCP probes connections that are quiet. It finds out a peer that is gone while a long poll waits, but then the connection ends without a reset,
     * and what was sent on it and is held up on the way may still arrive. Without, the timers of each call find out, and reset the connection.
     */
    bool probesQuietConnections = false;
    tls_files tls; ///< Empty: plain HTTP. With an authority the server must show a certificate signed by it.
};

/** The client. */
class http_client
{
public:
    http_client(boost::asio::io_context &io, http_client_options options);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /** Starts a call. The returned object may be dropped; the call goes on. */
    std::shared_ptr<http_call> start(const endpoint &where, http_request request, http_call_options options, http_call_handlers handlers);

    /** What call() reports: the whole response, valid if end.error is None. */
    using whole_handler = std::function<void(const http_call_end &end, const http_response &response)>;
    /** Starts a call whose response is gathered whole. */
    std::shared_ptr<http_call> call(const endpoint &where, http_request request, http_call_options options, whole_handler onResponse);

    /** Tells whether a call to @p where would probably find a kept connection. */
    bool hasIdle(const endpoint &where) const;
    /** Returns how many connections are kept unused. */
    std::size_t idleConnections() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace reedtrail
