// Engine without TLS, for loopback and for networks that encrypt traffic themselves.

#include "net/transport/basic_engine.h"

#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

namespace reedtrail {
namespace detail {

std::unique_ptr<transport_engine> makePlainEngine(boost::asio::io_context &io, peer_transport_options options, peer_transport_handlers handlers)
{
    using engine = basic_engine<websocketpp::config::asio, websocketpp::config::asio_client>;
    return std::make_unique<engine>(io, std::move(options), std::move(handlers));
}

} // namespace detail
} // namespace reedtrail
