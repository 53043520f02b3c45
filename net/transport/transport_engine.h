/**
 * @file
 * Internal: interface of the plain and TLS transport engines.
 */
#pragma once

#include "net/transport/peer_transport.h"

namespace reedtrail {
namespace detail {

/** Implements the functions of peer_transport for one kind of connection. */
class transport_engine
{
public:
    virtual ~transport_engine() = default;
    virtual std::string listen(const std::string &ip, std::uint16_t port) = 0;
    virtual link_id connect(const std::string &ip, std::uint16_t port) = 0;
    virtual bool send(link_id link, const std::string &bytes) = 0;
    virtual void close(link_id link) = 0;
    virtual void stop() = 0;
    virtual std::uint64_t bytesSent() const = 0;
    virtual std::uint64_t bytesReceived() const = 0;
};

/** Creates an engine for plain TCP. */
std::unique_ptr<transport_engine> makePlainEngine(boost::asio::io_context &io, peer_transport_options options, peer_transport_handlers handlers);

/** Creates an engine for TLS with the files named in @p options. */
std::unique_ptr<transport_engine> makeTlsEngine(boost::asio::io_context &io, peer_transport_options options, peer_transport_handlers handlers);

} // namespace detail
} // namespace reedtrail
