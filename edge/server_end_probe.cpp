#include "edge/server_end_probe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace reedtrail {
namespace {

struct end_probe
{
    explicit end_probe(boost::asio::io_context &io)
        : socket(io)
        , timer(io)
    {
    }
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
};

server_presence presenceOf(const boost::system::error_code &error)
{
    if (!error) {
        return server_presence::Listening;
    }
    return error == boost::asio::error::connection_refused ? server_presence::Ended : server_presence::Unknown;
}

} // namespace

std::string_view presenceName(server_presence presence)
{
    switch (presence) {
    case server_presence::Ended:
        return "ended";
    case server_presence::Listening:
        return "listening";
    case server_presence::Unknown:
        break;
    }
    return "unknown";
}

void probeServerEnd(boost::asio::io_context &io, const endpoint &address, duration timeout, std::function<void(server_presence)> onEnd)
{
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(address.ip, error);
    if (error) {
        boost::asio::post(io, [onEnd = std::move(onEnd)] {
            onEnd(server_presence::Unknown);
        });
        return;
    }
    const auto probe = std::make_shared<end_probe>(io);
    probe->timer.expires_after(timeout);
    probe->timer.async_wait([probe](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored; // The connection attempt ends with operation_aborted in any case.
            probe->socket.close(ignored);
        }
    });
    probe->socket.async_connect({ host, address.port }, [probe, onEnd = std::move(onEnd)](const boost::system::error_code &result) {
        probe->timer.cancel();
        onEnd(presenceOf(result));
    });
}

} // namespace reedtrail
