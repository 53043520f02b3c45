// Memory: two fifths for requests, a tenth for connections that receive one, 15 hundredths for all connections; the rest is that of the process itself, of
// responses and of jobs. Descriptors: a caller's request takes another one to its server, and a quarter of all is kept for idle connections to servers.

#include "edge/listener_limits.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr double bytesPerMegabyte = 1 << 20;
constexpr double maxMemoryMegabytes = 1 << 20;
constexpr double requestShare = 0.4; ///< Of memory, for heads and bodies.
constexpr double incompleteShare = 0.1;
constexpr double incompleteBytes = 48 << 10; ///< Of a connection that receives a request: its buffer, and what waits unread.
constexpr double connectionShare = 0.15;
constexpr double connectionBytes = 12 << 10; ///< Of any connection.
constexpr double maxDescriptors = 1 << 20; ///< More than any process may have open.
constexpr double reservedDescriptors = 200; ///< The platform keeps them for files.

/** How listeners divide connections. */
struct listener_share
{
    double memory = 0; ///< Part of the memory for connections.
    double descriptors = 0; ///< Part of all descriptors.
};
constexpr listener_share callers{ 0.7, 0.3 };
constexpr listener_share peers{ 0.25, 0.1 };
constexpr listener_share readiness{ 0.05, 0.02 };
constexpr listener_share idleServers{ 0, 0.25 };

/** Returns the connections that a listener may have; @p most is the default. */
std::size_t connectionsOf(const listener_share &share, double memory, double descriptors, std::size_t most)
{
    auto connections = static_cast<double>(most);
    if (memory > 0) {
        connections = std::min(connections, memory * connectionShare * share.memory / connectionBytes);
    }
    if (descriptors > 0) {
        connections = std::min(connections, std::max(std::min(descriptors, maxDescriptors) - reservedDescriptors, 0.0) * share.descriptors);
    }
    return std::max<std::size_t>(static_cast<std::size_t>(connections), 1);
}

} // namespace

listener_limits limitsFor(const edge_settings &settings)
{
    listener_limits limits;
    const double memory = std::min(settings.memoryMegabytes, maxMemoryMegabytes) * bytesPerMegabyte;
    if (memory > 0) {
        limits.requests.requestBytes = static_cast<std::size_t>(memory * requestShare);
        limits.requests.maximumIncomplete = std::max<std::size_t>(static_cast<std::size_t>(memory * incompleteShare / incompleteBytes), 1);
    }
    limits.callerConnections = connectionsOf(callers, memory, settings.descriptors, limits.callerConnections);
    limits.peerConnections = connectionsOf(peers, memory, settings.descriptors, limits.peerConnections);
    limits.readinessConnections = connectionsOf(readiness, memory, settings.descriptors, limits.readinessConnections);
    limits.idleServerConnections = connectionsOf(idleServers, 0, settings.descriptors, limits.idleServerConnections);
    return limits;
}

} // namespace reedtrail
