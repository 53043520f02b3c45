// A message that is under way when its path is cut is lost as well, as on a real network.

#include "harness/lossy_network.h"

namespace reedtrail::harness {

lossy_network::lossy_network(virtual_time &world, random_source random, network_options options)
    : m_world(world)
    , m_random(random)
    , m_options(options)
{
}

void lossy_network::send(const std::string &from, const std::string &to, std::function<void()> arrive)
{
    ++m_sent;
    if (!passes(from, to) || m_random.chance(m_options.loss)) {
        return;
    }
    duration delay = m_options.delay + duration(static_cast<std::int64_t>(m_random.unit() * static_cast<double>(m_options.jitter.count())));
    if (m_random.chance(m_options.crossed)) {
        delay += 10 * m_options.delay;
    }
    if (m_random.chance(m_options.doubled)) {
        deliver(delay + m_options.delay, from, to, arrive);
    }
    deliver(delay, from, to, std::move(arrive));
}

void lossy_network::deliver(duration delay, const std::string &from, const std::string &to, std::function<void()> arrive)
{
    m_world.after(delay, [this, from, to, arrive = std::move(arrive)] {
        if (passes(from, to)) {
            arrive();
        }
    });
}

void lossy_network::cut(const std::string &from, const std::string &to, bool isCut)
{
    if (isCut) {
        m_cuts.emplace(from, to);
    } else {
        m_cuts.erase({ from, to });
    }
}

void lossy_network::cutBoth(const std::string &left, const std::string &right, bool isCut)
{
    cut(left, right, isCut);
    cut(right, left, isCut);
}

bool lossy_network::passes(const std::string &from, const std::string &to) const
{
    return m_cuts.empty() || !m_cuts.contains({ from, to });
}

void lossy_network::setOptions(network_options options)
{
    m_options = options;
}

} // namespace reedtrail::harness
