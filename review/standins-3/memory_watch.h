/**
 * @file
 * The platform's watch over the memory of its processes: a process that uses more than its machine has is killed, and started again after a short delay.
 */
#pragma once

#include "review/standins-3/deployment.h"

#include <map>
#include <string>

namespace reedtrail::review {

/** Watches all nodes of a deployment. */
class memory_watch
{
public:
    memory_watch(deployment &platform, int limitMegabytes)
        : m_platform(platform)
        , m_limitMegabytes(limitMegabytes)
    {
    }
    void start();
    /** Returns how often each node was killed, by name. */
    const std::map<std::string, int> &kills() const
    {
        return m_kills;
    }
    int totalKills() const;
    /** Returns on how many machines processes were killed three times or more; the rule Fault names two machines. */
    std::size_t machinesWithFault() const;
    /** Returns the greatest use of memory seen, in MB. */
    double peakMegabytes() const
    {
        return m_peakMegabytes;
    }

private:
    void look();

    deployment &m_platform;
    int m_limitMegabytes;
    std::map<std::string, int> m_kills;
    double m_peakMegabytes = 0;
};

} // namespace reedtrail::review
