// Continuous batching is simulated with a slot for each running stream, a fixed token rate for each stream, a prefill time that a cached prefix reduces, and a
// priority queue. No tokens are generated during a weight switch. Memory is bounded: a stream is removed some time after its end, and only the newest 4096
// cache events are kept.

#include "standins/engine_model.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr std::size_t prefixBytes = 64;
constexpr std::size_t maximumCacheEvents = 4096;

std::uint64_t prefixHashOf(std::string_view prompt)
{
    return stableHash(prompt.substr(0, prefixBytes));
}

} // namespace

std::string tokenText(std::string_view prompt, std::uint64_t position)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const std::uint64_t bits = stableHash(prompt, position);
    std::string text;
    for (unsigned i = 0; i < 4; ++i) {
        text += digits[bits >> (4 * i) & 15U];
    }
    return text + " ";
}

engine_model::engine_model(engine_options options)
    : m_options(options)
{
    m_versions[""] = options.initialVersion;
}

bool engine_model::submit(time_point now, const engine_request &request)
{
    random_source random(stableHash(request.prompt + "\n" + request.id));
    const auto sampledTokens = static_cast<std::uint64_t>(std::max(1.0, random.lognormal(m_options.medianTokens, m_options.sigma)));
    return import(now, request, sampledTokens, {});
}

bool engine_model::import(time_point now, const engine_request &request, std::uint64_t wantedTokens, std::vector<std::uint64_t> versions)
{
    if (waiting() >= m_options.maximumWaiting && m_running.size() >= m_options.slots) {
        return false;
    }
    const auto previous = m_streams.find(request.id);
    engine_stream stream;
    stream.starts = previous == m_streams.end() ? 1 : previous->second.starts + 1;
    if (previous != m_streams.end()) {
        cancel(now, request.id);
    }
    stream.request = request;
    stream.wantedTokens = wantedTokens;
    stream.versions = std::move(versions);
    m_streams[request.id] = std::move(stream);
    m_waiting[{ request.priority, ++m_arrivals }] = request.id;
    startWaiting(now);
    return true;
}

bool engine_model::cancel(time_point now, const std::string &id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end() || found->second.end != stream_end::Running) {
        return false;
    }
    finish(found->second, stream_end::Cancelled, now);
    std::erase_if(m_waiting, [&](const auto &entry) {
        return entry.second == id;
    });
    std::erase(m_running, id);
    startWaiting(now);
    return true;
}

void engine_model::setReader(time_point now, const std::string &id, bool isRead)
{
    const auto found = m_streams.find(id);
    if (found != m_streams.end()) {
        found->second.readerLeftAt = isRead ? timeNever : now;
    }
}

void engine_model::recordPrefixUse(time_point now, std::uint64_t prefix)
{
    const auto found = std::ranges::find(m_prefixes, prefix);
    if (found != m_prefixes.end()) {
        m_prefixes.erase(found);
    } else {
        m_events.push_back({ m_nextEvent++, true, prefix, now });
    }
    m_prefixes.push_front(prefix);
    if (m_prefixes.size() > m_options.cachedPrefixes) {
        m_events.push_back({ m_nextEvent++, false, m_prefixes.back(), now });
        m_prefixes.pop_back();
    }
    while (m_events.size() > maximumCacheEvents) {
        m_events.pop_front();
    }
}

duration engine_model::prefillTime(time_point now, const std::string &prompt)
{
    const std::uint64_t prefix = prefixHashOf(prompt);
    const bool isCached = std::ranges::find(m_prefixes, prefix) != m_prefixes.end();
    recordPrefixUse(now, prefix);
    const std::size_t bytes = isCached ? prompt.size() - std::min(prompt.size(), prefixBytes) : prompt.size();
    return fromSeconds(m_options.prefillMsPerKilobyte / 1000 * static_cast<double>(bytes) / 1024);
}

void engine_model::startWaiting(time_point now)
{
    while (!m_waiting.empty() && m_running.size() < m_options.slots) {
        const std::string id = m_waiting.begin()->second;
        m_waiting.erase(m_waiting.begin());
        engine_stream &stream = m_streams.at(id);
        stream.isStarted = true;
        stream.nextTokenAt = now + prefillTime(now, stream.request.prompt) + fromSeconds(1 / m_options.tokensPerSecond);
        m_running.push_back(id);
    }
}

void engine_model::produce(time_point now, engine_stream &stream)
{
    const std::uint64_t limit = std::min(stream.wantedTokens, stream.request.maximumTokens);
    while (stream.nextTokenAt <= now && stream.versions.size() < limit) {
        stream.versions.push_back(versionOf(stream.request.run));
        ++m_tokensProduced;
        stream.nextTokenAt += fromSeconds(1 / m_options.tokensPerSecond);
    }
    if (stream.versions.size() >= limit) {
        finish(stream, limit == stream.wantedTokens ? stream_end::Stop : stream_end::Length, now);
    }
}

void engine_model::finish(engine_stream &stream, stream_end end, time_point now)
{
    stream.end = end;
    stream.endedAt = now;
}

void engine_model::advance(time_point now)
{
    std::vector<std::string> orphans;
    for (const std::string &id : m_running) {
        engine_stream &stream = m_streams.at(id);
        if (m_isSwitching) {
            stream.nextTokenAt = std::max(stream.nextTokenAt, now);
            continue;
        }
        produce(now, stream);
        const bool isOrphan = stream.readerLeftAt != timeNever && now - stream.readerLeftAt > m_options.orphanTimeout;
        if (isOrphan && stream.end == stream_end::Running) {
            orphans.push_back(id);
        }
    }
    std::erase_if(m_running, [this](const std::string &id) {
        return m_streams.at(id).end != stream_end::Running;
    });
    for (const std::string &id : orphans) {
        cancel(now, id);
    }
    startWaiting(now);
    forgetEndedStreams(now);
}

void engine_model::forgetEndedStreams(time_point now)
{
    std::erase_if(m_streams, [&](const auto &entry) {
        return entry.second.end != stream_end::Running && now - entry.second.endedAt > m_options.endedStreamRetention;
    });
}

const engine_stream *engine_model::find(const std::string &id) const
{
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : &found->second;
}

bool engine_model::acceptFencing(const std::string &run, std::uint64_t fencing)
{
    std::uint64_t &highest = m_highestFencing[run];
    if (fencing < highest) {
        m_staleOrders += m_options.checksFencing ? 0 : 1;
        return !m_options.checksFencing;
    }
    highest = fencing;
    return true;
}

void engine_model::beginSwitch()
{
    m_isSwitching = true;
}

void engine_model::endSwitch(const std::string &run, std::uint64_t version)
{
    m_isSwitching = false;
    m_versions[run] = version;
    m_versions[""] = version;
}

std::uint64_t engine_model::versionOf(const std::string &run) const
{
    const auto found = m_versions.find(run);
    return found == m_versions.end() ? m_options.initialVersion : found->second;
}

bool engine_model::isVersionUnknown() const
{
    return std::ranges::any_of(m_versions, [](const auto &entry) {
        return entry.second == 0;
    });
}

std::size_t engine_model::waiting() const
{
    return m_waiting.size();
}

double engine_model::kvUsed() const
{
    const double running = static_cast<double>(m_running.size()) / static_cast<double>(m_options.slots);
    const double cached = static_cast<double>(m_prefixes.size()) / static_cast<double>(m_options.cachedPrefixes);
    return std::min(1.0, 0.7 * running + 0.3 * cached);
}

std::vector<cache_event> engine_model::eventsSince(std::uint64_t since, time_point visibleUntil) const
{
    std::vector<cache_event> found;
    for (const cache_event &each : m_events) {
        if (each.sequence >= since && each.at <= visibleUntil) {
            found.push_back(each);
        }
    }
    return found;
}

} // namespace reedtrail
