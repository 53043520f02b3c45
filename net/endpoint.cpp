// Boost.Asio validates the IP number. Port 0 is rejected because it would let the operating system choose an arbitrary port.

#include "net/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace reedtrail {

std::string endpoint::text() const
{
    const bool isVersion6 = ip.find(':') != std::string::npos;
    return (isVersion6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

result<endpoint> parseEndpoint(std::string_view text)
{
    const auto error = [&] {
        return fail(error_kind::BadSettings, "\"" + std::string(text) + "\" must be an IP number and a port from 1 to 65535, as 127.0.0.1:8000");
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return error();
    }
    std::string_view ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    boost::system::error_code addressError;
    boost::asio::ip::make_address(std::string(ip), addressError);
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, portError] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (addressError || portError != std::errc() || end != portText.data() + portText.size() || port == 0) {
        return error();
    }
    return endpoint{ std::string(ip), port };
}

} // namespace reedtrail
