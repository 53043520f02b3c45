/**
 * @file
 * Finds out whether a backend server has ended, after a connection to it broke off in the middle of a request.
 */
#pragma once

#include "base/time.h"
#include "net/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string_view>

namespace reedtrail {

/** What a server's address says of the server. */
enum class server_presence : std::uint8_t {
    Ended, ///< The machine answered that nothing listens there.
    Listening,
    Unknown, ///< No answer in time; the machine or the way to it may be gone.
};

/** Returns the name of a presence for log lines. */
std::string_view presenceName(server_presence presence);

/**
 * Opens a connection and closes it again without sending anything.
 * @param timeout limit for the answer
 * @param onEnd called once, never from inside this call
 */
void probeServerEnd(boost::asio::io_context &io, const endpoint &address, duration timeout, std::function<void(server_presence)> onEnd);

} // namespace reedtrail
