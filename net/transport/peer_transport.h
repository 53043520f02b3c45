/**
 * @file
 * Message links between the system's own processes over WebSocket, in C++17 (see net/peer_bus.h for typed messages).
 *
 * Each link carries its own proof of life: a ping each pingInterval; a link that gave no sign within silenceTimeout is closed with reason "silent".
 * All calls and callbacks run on the thread of the io_context.
 */
#pragma once

#include "net/transport/tls_context.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace reedtrail {

namespace detail {
class transport_engine;
}

/** One link of this process, never reused: a message on an old link cannot be taken for one on the new. */
using link_id = std::uint64_t;

/** Limits of a transport. */
struct peer_transport_options
{
    std::chrono::milliseconds pingInterval{ 1000 };
    std::chrono::milliseconds silenceTimeout{ 3000 };
    std::chrono::milliseconds connectTimeout{ 1500 };
    std::size_t maximumMessageBytes = std::size_t{ 4 } << 20U;
    std::size_t maximumQueuedBytes = std::size_t{ 8 } << 20U; ///< A link with more waiting is closed: its peer does not read.
    std::size_t maximumLinks = 2048; ///< Links accepted from others.
    tls_files tls; ///< Empty: links are not encrypted.
    std::string tlsRole = "node"; ///< Role that the other end's certificate must name.
};

/** What a transport reports. */
struct peer_transport_handlers
{
    std::function<void(link_id link)> onOpen;
    std::function<void(link_id link, const std::string &bytes)> onMessage;
    std::function<void(link_id link, const std::string &reason)> onClose; ///< Also for a link that never opened.
};

/** WebSocket links, both accepted and made. */
class peer_transport
{
public:
    peer_transport(boost::asio::io_context &io, peer_transport_options options, peer_transport_handlers handlers);
    ~peer_transport();
    peer_transport(const peer_transport &) = delete;
    peer_transport &operator=(const peer_transport &) = delete;

    /** Accepts links on @p ip and @p port. @return an empty text, or what went wrong */
    std::string listen(const std::string &ip, std::uint16_t port);
    /** Starts a link to @p ip and @p port; onOpen or onClose tells what became of it. */
    link_id connect(const std::string &ip, std::uint16_t port);
    /** Sends one message. @return false if the link is not open or its queue is full (it is then closed) */
    bool send(link_id link, const std::string &bytes);
    /** Closes @p link; onClose follows. */
    void close(link_id link);
    /** Closes the listener and all links. */
    void stop();
    /** Returns bytes sent and received over all links so far, frames' payload only. */
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    std::unique_ptr<detail::transport_engine> m_engine;
};

} // namespace reedtrail
