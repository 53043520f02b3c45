/**
 * @file
 * Carries messages between simulated processes in virtual time, with delay, loss, doubling, crossing, and cuts between endpoints.
 *
 *     lossy_network network(world, random_source(7), {.delay = 1500us, .loss = 0.01});
 *     network.cut("node-1", "node-2", true);
 *     network.send("node-1", "node-2", [&] { node2.onMessage(message); });
 */
#pragma once

#include "base/random.h"
#include "harness/virtual_time.h"

#include <functional>
#include <set>
#include <string>
#include <utility>

namespace reedtrail::harness {

/** How a network treats messages that are not cut off. */
struct network_options
{
    duration delay = std::chrono::microseconds(1500); ///< One way, at least.
    duration jitter = std::chrono::microseconds(500); ///< Added at random, from none to this.
    double loss = 0; ///< Share of messages that vanish.
    double doubled = 0; ///< Share of messages that arrive twice.
    double crossed = 0; ///< Share of messages held back ten delays, so that later ones overtake them.
};

/** The network. Endpoints are names; groups of endpoints part when cut from each other pairwise. */
class lossy_network
{
public:
    lossy_network(virtual_time &world, random_source random, network_options options);

    /** Sends: runs @p arrive at the receiver's side once, twice or never. */
    void send(const std::string &from, const std::string &to, std::function<void()> arrive);
    /** Cuts or mends the way from @p from to @p to, not the way back. */
    void cut(const std::string &from, const std::string &to, bool isCut);
    /** Cuts or mends both ways. */
    void cutBoth(const std::string &left, const std::string &right, bool isCut);
    /** Tells whether messages pass from @p from to @p to. */
    bool passes(const std::string &from, const std::string &to) const;
    /** Changes the treatment of messages from now on. */
    void setOptions(network_options options);
    /** Returns the messages handed to send(), counting those that vanished. */
    std::uint64_t sent() const
    {
        return m_sent;
    }

private:
    void deliver(duration delay, const std::string &from, const std::string &to, std::function<void()> arrive);

    virtual_time &m_world;
    random_source m_random;
    network_options m_options;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::uint64_t m_sent = 0;
};

} // namespace reedtrail::harness
