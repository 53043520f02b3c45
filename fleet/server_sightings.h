/**
 * @file
 * Tells which instance of a server answered on a connection. Makes no I/O calls.
 *
 * A registration is older than what it says of its server: the server may have started again since, under the same id and address and with other software.
 * What accepted a connection is known once a state of the store, asked for after the connection was established, still shows the instance: another one
 * would have registered by then. A connection that has been in use for a while is known at no cost; a new one takes one read.
 *
 *     sightings.onGone("i-1", 100);          // while a state is taken, before onState()
 *     sightings.onState(askedAt);
 *     sightings.lastShown("i-1", 100);       // when the store was asked for the last state that showed this instance
 */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace reedtrail {

/** A connection on which an instance of a server, as its registration names it, is believed to have answered. */
struct server_contact
{
    std::string server;
    std::int64_t startedAt = 0; ///< Identifies the instance, as server_entry::startedAt.
    time_point connectedAt; ///< When the connection was established.
};

/** Whether the instance that a contact names is the one that answered. */
enum class contact_proof : std::uint8_t {
    Certain,
    Pending, ///< The next state of the store will tell.
    Impossible, ///< The instance was not seen since, and another one may have answered.
};

/** When the registrations of server instances were seen last. */
class server_sightings
{
public:
    /** Time after the start of a server in which it registers. */
    static constexpr duration registrationTime = std::chrono::milliseconds(50);
    /** Greatest number of ended instances that are remembered; the one that was seen longest ago is forgotten first. */
    static constexpr std::size_t maxEndedInstances = 4096;

    /** Records that the state being taken does not show an instance any more which the state before showed. */
    void onGone(std::string_view id, std::int64_t startedAt);
    /** Records that the state being taken shows an instance that was gone. */
    void onShown(std::string_view id, std::int64_t startedAt);
    /** Records that a state has been taken. @param askedAt when the store was asked for it */
    void onState(time_point askedAt)
    {
        m_stateAskedAt = askedAt;
    }
    /** Returns when the store was asked for the last state that showed an instance. @param isRegistered whether the current state shows it */
    std::optional<time_point> lastShown(std::string_view id, std::int64_t startedAt, bool isRegistered) const;
    /** Tells whether the instance that a contact names answered. @param isRegistered whether the current state shows that instance */
    contact_proof proofOf(const server_contact &contact, bool isRegistered) const;

private:
    using instance = std::pair<std::string, std::int64_t>;

    std::map<instance, time_point> m_gone; ///< Ended instances, with the time of the last state that showed them.
    std::optional<time_point> m_stateAskedAt;
};

} // namespace reedtrail
