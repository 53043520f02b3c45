// Engine with mutual TLS for accepted and outgoing links. A link opens only after the role in the peer's certificate has been checked; frames received earlier
// are discarded. Changed certificate files take effect on the next connection (see tls_context.h).

#include "net/transport/basic_engine.h"
#include "net/transport/tls_context.h"

#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>

namespace reedtrail {
namespace detail {
namespace {

/** Transport engine that takes TLS contexts from files and checks the role of each peer. */
class tls_engine : public basic_engine<websocketpp::config::asio_tls, websocketpp::config::asio_tls_client>
{
public:
    tls_engine(boost::asio::io_context &io, const peer_transport_options &options, peer_transport_handlers handlers)
        : basic_engine(io, options, std::move(handlers))
        , m_serverContexts(options.tls, tls_side::Server)
        , m_clientContexts(options.tls, tls_side::Client)
    {
        server.set_tls_init_handler([this](connection_hdl) {
            return usableContext(m_serverContexts);
        });
        client.set_tls_init_handler([this](connection_hdl) {
            return usableContext(m_clientContexts);
        });
    }

protected:
    bool isPeerAllowed(const link_state &state) override
    {
        std::string role;
        withConnection(state, [&role](auto &connection) {
            role = peerRole(connection.get_socket().native_handle());
        });
        return role == options.tlsRole;
    }

private:
    /** Returns the current context, or one that rejects every peer if there is no usable context. */
    static std::shared_ptr<boost::asio::ssl::context> usableContext(tls_context_source &source)
    {
        std::string error;
        std::shared_ptr<boost::asio::ssl::context> context = source.current(error);
        if (!context) {
            context = std::make_shared<boost::asio::ssl::context>(boost::asio::ssl::context::tls);
            context->set_verify_mode(boost::asio::ssl::verify_peer | boost::asio::ssl::verify_fail_if_no_peer_cert);
        }
        return context;
    }

    tls_context_source m_serverContexts;
    tls_context_source m_clientContexts;
};

} // namespace

std::unique_ptr<transport_engine> makeTlsEngine(boost::asio::io_context &io, peer_transport_options options, peer_transport_handlers handlers)
{
    return std::make_unique<tls_engine>(io, options, std::move(handlers));
}

} // namespace detail
} // namespace reedtrail
