#include "fleet/service_builds.h"

#include <algorithm>
#include <utility>

namespace reedtrail {
namespace {

constexpr duration longestStream = std::chrono::hours(24); // Longer than any stream lasts.

} // namespace

std::vector<std::string> service_builds::update(time_point now, time_point askedAt, std::span<const server_entry *const> servers)
{
    std::map<std::string, std::set<std::string>, std::less<>> current;
    for (const server_entry *each : servers) {
        current[each->service].insert(each->build);
    }
    const std::optional<time_point> lastAskedAt = std::exchange(m_askedAt, std::max(askedAt, m_askedAt.value_or(askedAt)));
    const bool hasGap = lastAskedAt && askedAt - *lastAskedAt > maxGap;
    const bool hasAlwaysBeenSo = m_isFirstStart && !lastAskedAt;
    const time_point firstSeen = hasAlwaysBeenSo ? now - longestStream : now;
    std::vector<std::string> changed;
    if (hasGap) {
        for (auto &[service, known] : m_services) {
            known.since = now;
            changed.push_back(service);
        }
    }
    for (auto &[service, builds] : current) {
        const auto [found, isNew] = m_services.try_emplace(service, state{ builds, firstSeen, std::nullopt });
        state &known = found->second;
        const bool wasMixed = !isNew && isMixed(known);
        if (known.builds != builds) {
            known = { std::move(builds), now, now };
        }
        if (!hasGap && !wasMixed && isMixed(known)) {
            changed.push_back(service);
        }
    }
    // A service without servers keeps its builds: the next servers tell whether they have changed.
    return changed;
}

bool service_builds::isMixed(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && isMixed(found->second);
}

std::optional<service_builds::sole_build> service_builds::sole(std::string_view service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || isMixed(found->second)) {
        return std::nullopt;
    }
    return sole_build{ *found->second.builds.begin(), found->second.since, *m_askedAt, found->second.changedAt };
}

} // namespace reedtrail
