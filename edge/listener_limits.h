/**
 * @file
 * What an edge process may hold for its callers and connections, from the memory and the descriptors of its machine. Makes no I/O calls.
 */
#pragma once

#include "edge/edge_settings.h"
#include "net/reception.h"

#include <cstddef>

namespace reedtrail {

/** Limits of all listeners of a process. Without known memory or descriptors they keep the defaults. */
struct listener_limits
{
    reception_limits requests;
    std::size_t callerConnections = 4096;
    std::size_t peerConnections = 1024;
    std::size_t readinessConnections = 256;
    std::size_t idleServerConnections = 1024; ///< To all servers; requests under way and callers need the other descriptors.
};

/** Returns the limits for a machine. */
listener_limits limitsFor(const edge_settings &settings);

} // namespace reedtrail
