// Selects the TLS engine if TLS files are configured, otherwise the plain one. Each engine has its own source file because each instantiates websocketpp.

#include "net/transport/peer_transport.h"

#include "net/transport/transport_engine.h"

namespace reedtrail {

peer_transport::peer_transport(boost::asio::io_context &io, peer_transport_options options, peer_transport_handlers handlers)
{
    const bool usesTls = !options.tls.isEmpty();
    m_engine =
        usesTls ? detail::makeTlsEngine(io, std::move(options), std::move(handlers)) : detail::makePlainEngine(io, std::move(options), std::move(handlers));
}

peer_transport::~peer_transport() = default;

std::string peer_transport::listen(const std::string &ip, std::uint16_t port)
{
    return m_engine->listen(ip, port);
}

link_id peer_transport::connect(const std::string &ip, std::uint16_t port)
{
    return m_engine->connect(ip, port);
}

bool peer_transport::send(link_id link, const std::string &bytes)
{
    return m_engine->send(link, bytes);
}

void peer_transport::close(link_id link)
{
    m_engine->close(link);
}

void peer_transport::stop()
{
    m_engine->stop();
}

std::uint64_t peer_transport::bytesSent() const
{
    return m_engine->bytesSent();
}

std::uint64_t peer_transport::bytesReceived() const
{
    return m_engine->bytesReceived();
}

} // namespace reedtrail
