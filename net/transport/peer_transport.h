/**
 * @file
 * Message links between the processes of the system over WebSocket, in C++17. Typed messages are in net/peer_bus.h.
 *
 * Each link sends a ping every pingInterval. A link that receives no frame within silenceTimeout is closed with reason "silent".
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

/** Identifies a link within this process. Never reused, so that a message on an old link is not taken for one on its successor. */
using link_id = std::uint64_t;

/** Limits, timeouts and TLS settings of a transport. */
struct peer_transport_options
{
    std::chrono::milliseconds pingInterval{ 1000 };
    std::chrono::milliseconds silenceTimeout{ 3000 };
    std::chrono::milliseconds connectTimeout{ 1500 };
    std::size_t maximumMessageBytes = std::size_t{ 4 } << 20U;
    std::size_t maximumQueuedBytes = std::size_t{ 8 } << 20U; ///< A link whose unsent bytes exceed this limit is closed, because its peer does not read.
    std::size_t maximumLinks = 2048; ///< Limit for accepted links; links opened by this process do not count.
    tls_files tls; ///< If empty, links are not encrypted.
    std::string tlsRole = "node"; ///< Role that the peer's certificate must have.
};

/** Callbacks of a transport. */
struct peer_transport_handlers
{
    std::function<void(link_id link)> onOpen;
    std::function<void(link_id link, const std::string &bytes)> onMessage;
    std::function<void(link_id link, const std::string &reason)> onClose; ///< Also runs for a link that never opened.
};

/** Manages WebSocket links, both accepted and outgoing. */
class peer_transport
{
public:
    peer_transport(boost::asio::io_context &io, peer_transport_options options, peer_transport_handlers handlers);
    ~peer_transport();
    peer_transport(const peer_transport &) = delete;
    peer_transport &operator=(const peer_transport &) = delete;

    /** Accepts links on @p ip and @p port. @return an empty string, or an error message */
    std::string listen(const std::string &ip, std::uint16_t port);
    /** Starts to connect to @p ip and @p port. The result is reported by onOpen or onClose. */
    link_id connect(const std::string &ip, std::uint16_t port);
    /** Sends one message. @return false if the link is not open, or if its queue is full, which closes the link */
    bool send(link_id link, const std::string &bytes);
    /** Closes @p link; onClose follows. */
    void close(link_id link);
    /** Closes the listening socket and all links. onClose does not run. */
    void stop();
    /** Returns the total payload bytes sent on all links. */
    std::uint64_t bytesSent() const;
    /** Returns the total payload bytes received on all links. */
    std::uint64_t bytesReceived() const;

private:
    std::unique_ptr<detail::transport_engine> m_engine;
};

} // namespace reedtrail
