// A server of slots: as many requests run at once as there are slots, the rest wait by priority and then in order. Speed does not depend on how many run, which
// keeps the offered load of a benchmark a matter of arithmetic.

#include "harness/fake_server.h"

#include <utility>

namespace reedtrail::harness {

fake_server::fake_server(virtual_time &world, fake_server_options options)
    : m_world(world)
    , m_options(options)
{
}

void fake_server::submit(fake_work work)
{
    if (!m_isUp) {
        m_world.after({}, [end = std::move(work.onEnd)] {
            end(fake_end::Refused);
        });
        return;
    }
    m_waiting.emplace(queue_key{ work.priority, ++m_arrivals }, std::move(work));
    startNext();
}

void fake_server::cancel(std::uint64_t id)
{
    account();
    std::erase_if(m_waiting, [id](const auto &waiting) {
        return waiting.second.id == id;
    });
    m_running.erase(id);
    startNext();
}

void fake_server::crash()
{
    account();
    m_isUp = false;
    m_held.clear();
    std::vector<std::function<void(fake_end)>> ends;
    for (auto &[key, work] : m_waiting) {
        ends.push_back(std::move(work.onEnd));
    }
    for (auto &[id, running] : m_running) {
        ends.push_back(std::move(running.work.onEnd));
    }
    m_waiting.clear();
    m_running.clear();
    m_cache.clear();
    m_cacheOrder.clear();
    for (auto &end : ends) {
        m_world.after({}, [end = std::move(end)] {
            end(fake_end::Failed);
        });
    }
}

void fake_server::restart()
{
    account();
    m_isUp = true;
    m_isHung = false;
    m_reports = 0;
}

void fake_server::setHung(bool isHung)
{
    m_isHung = isHung;
    if (!isHung) {
        for (auto &action : std::exchange(m_held, {})) {
            action();
        }
        startNext();
    }
}

void fake_server::setSlowFactor(double factor)
{
    m_options.slowFactor = factor;
}

fake_load fake_server::load()
{
    return { waiting(), running(), ++m_reports };
}

void fake_server::account()
{
    m_busySeconds += static_cast<double>(m_running.size()) * toSeconds(m_world.now() - m_accountedAt);
    m_accountedAt = m_world.now();
}

double fake_server::busySeconds() const
{
    return m_busySeconds + static_cast<double>(m_running.size()) * toSeconds(m_world.now() - m_accountedAt);
}

void fake_server::whenAwake(duration delay, std::function<void()> action)
{
    m_world.after(delay, [this, action = std::move(action)] {
        if (m_isHung) {
            m_held.push_back(action);
        } else {
            action();
        }
    });
}

void fake_server::startNext()
{
    while (m_isUp && !m_isHung && !m_waiting.empty() && running() < m_options.slots) {
        fake_work work = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        start(std::move(work));
    }
}

void fake_server::start(fake_work work)
{
    account();
    const std::uint64_t id = work.id;
    const std::uint64_t number = ++m_starts;
    const std::uint32_t cached = cachedBlocks(work.prefixHashes);
    if (work.onStart) {
        work.onStart();
    }
    const double prefill = (work.promptBlocks - cached) * m_options.prefillSecondsPerBlock * m_options.slowFactor;
    m_running.insert_or_assign(id, running_work{ std::move(work), number, m_world.now() });
    whenAwake(fromSeconds(prefill), [this, id, number, cached] {
        onPrefilled(id, number, cached);
    });
}

void fake_server::onPrefilled(std::uint64_t id, std::uint64_t start, std::uint32_t cached)
{
    const auto found = m_running.find(id);
    if (found == m_running.end() || found->second.start != start) {
        return;
    }
    store(found->second.work.prefixHashes);
    const double decode = found->second.work.tokens * m_options.secondsPerToken * m_options.slowFactor;
    whenAwake(fromSeconds(decode), [this, id, start] {
        onFinished(id, start);
    });
    if (found->second.work.onFirstToken) {
        found->second.work.onFirstToken(cached);
    }
}

void fake_server::onFinished(std::uint64_t id, std::uint64_t start)
{
    const auto found = m_running.find(id);
    if (found == m_running.end() || found->second.start != start) {
        return;
    }
    account();
    const auto end = std::move(found->second.work.onEnd);
    m_running.erase(found);
    startNext();
    end(fake_end::Answered);
}

std::uint32_t fake_server::cachedBlocks(const std::vector<std::uint64_t> &prefixHashes) const
{
    std::uint32_t blocks = 0;
    while (blocks < prefixHashes.size() && m_cache.contains(prefixHashes[blocks])) {
        ++blocks;
    }
    return blocks;
}

void fake_server::store(const std::vector<std::uint64_t> &prefixHashes)
{
    for (const std::uint64_t hash : prefixHashes) {
        const auto found = m_cache.find(hash);
        if (found != m_cache.end()) {
            m_cacheOrder.splice(m_cacheOrder.end(), m_cacheOrder, found->second);
            continue;
        }
        m_cache.emplace(hash, m_cacheOrder.insert(m_cacheOrder.end(), hash));
        if (m_cacheListener) {
            m_cacheListener(hash, true);
        }
    }
    while (m_cache.size() > m_options.cacheBlocks) {
        const std::uint64_t oldest = m_cacheOrder.front();
        m_cacheOrder.pop_front();
        m_cache.erase(oldest);
        if (m_cacheListener) {
            m_cacheListener(oldest, false);
        }
    }
}

} // namespace reedtrail::harness
