/**
 * @file
 * Which builds, versions of their software, the servers of each service have, and since when a service has had one only. Makes no I/O calls.
 *
 * Almost always a service has one build, and then no message about its streams is sent to other nodes. During a release it has two, rarely more.
 *
 * "One build since T" is said only of what was observed. A node that stood still, or that could not read the registrations for a while, begins to observe anew.
 */
#pragma once

#include "base/time.h"
#include "fleet/server_directory.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** The builds of the servers of each service. */
class service_builds
{
public:
    /** The only build of a service. */
    struct sole_build
    {
        std::string build;
        time_point since; ///< Since when this process has observed the service without a gap and seen no other one.
        time_point asOf; ///< When the last state was requested from the store.
        std::optional<time_point> changedAt; ///< When the builds of the service last changed; nothing if this process has seen no change.
    };
    /** Longest time between two states without a gap in the observation; a node to which no request comes reads the registrations every 6 s at most. */
    static constexpr duration maxGap = std::chrono::seconds(10);

    /** Called at the first start of the whole deployment, when no stream is older than this process: what the first state shows has always been so. */
    void setFirstStart()
    {
        m_isFirstStart = true;
    }
    /**
     * Takes the servers of a state.
     * @param askedAt when the state was requested from the store
     * @param servers all that are registered, also those that drain
     * @return the services of which "one build for a long time" no longer holds: those that have begun to have several builds, and after a gap all
     */
    std::vector<std::string> update(time_point now, time_point askedAt, std::span<const server_entry *const> servers);
    /** Tells whether the service has, or had since the last state, servers of several builds or of an unknown one. */
    bool isMixed(std::string_view service) const;
    /** Returns the only known build of a service; nothing if it has several, an unknown one, or no servers. */
    std::optional<sole_build> sole(std::string_view service) const;

private:
    struct state
    {
        std::set<std::string> builds;
        time_point since;
        std::optional<time_point> changedAt;
    };
    static bool isMixed(const state &each)
    {
        return each.builds.size() > 1 || each.builds.contains("");
    }

    std::map<std::string, state, std::less<>> m_services;
    bool m_isFirstStart = false;
    std::optional<time_point> m_askedAt; ///< Of the last state.
};

} // namespace reedtrail
