#include "review/standins-3/memory_watch.h"

#include <algorithm>
#include <fstream>

namespace reedtrail::review {
namespace {

constexpr milliseconds lookInterval(50);
constexpr milliseconds restartDelay(500);
constexpr double kilobytesPerMegabyte = 1024;
constexpr int endsOfFault = 3;

/** Returns the memory that a process holds by itself, without the pages of its program's file, in MB; 0 if it can't be read. */
double privateMegabytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string word; status >> word;) {
        if (word == "RssAnon:") {
            double kilobytes = 0;
            status >> kilobytes;
            return kilobytes / kilobytesPerMegabyte;
        }
    }
    return 0;
}

} // namespace

void memory_watch::start()
{
    look();
}

int memory_watch::totalKills() const
{
    int sum = 0;
    for (const auto &[name, count] : m_kills) {
        sum += count;
    }
    return sum;
}

std::size_t memory_watch::machinesWithFault() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_kills, [](const auto &each) {
        return each.second >= endsOfFault;
    }));
}

void memory_watch::look()
{
    for (const auto &node : m_platform.nodes()) {
        if (node->process == 0) {
            continue;
        }
        const double used = privateMegabytes(node->process);
        m_peakMegabytes = std::max(m_peakMegabytes, used);
        if (used <= m_limitMegabytes) {
            continue;
        }
        m_platform.record("the platform kills " + node->name + ", which uses " + std::to_string(static_cast<int>(used)) + " MB of "
                          + std::to_string(m_limitMegabytes));
        ++m_kills[node->name];
        m_platform.killNode(*node);
        m_platform.after(restartDelay, [this, &node = *node] {
            m_platform.startNode(node);
        });
    }
    m_platform.after(lookInterval, [this] {
        look();
    });
}

} // namespace reedtrail::review
