#include "fleet/service_builds.h"

#include <utility>

namespace reedtrail {
namespace {

constexpr duration longestStream = std::chrono::hours(24); // Longer than any stream lasts.

} // namespace

std::vector<std::string> service_builds::update(time_point now, std::span<const server_entry *const> servers)
{
    std::map<std::string, std::set<std::string>, std::less<>> current;
    for (const server_entry *each : servers) {
        current[each->service].insert(each->build);
    }
    std::vector<std::string> newlyMixed;
    const bool hasAlwaysBeenSo = m_isFirstStart && !std::exchange(m_hasState, true);
    const time_point firstSeen = hasAlwaysBeenSo ? now - longestStream : now;
    for (auto &[service, builds] : current) {
        const auto [known, isNew] = m_services.try_emplace(service, state{ builds, firstSeen });
        const bool wasMixed = !isNew && isMixed(known->second);
        if (known->second.builds != builds) {
            known->second = { std::move(builds), now };
        }
        if (!wasMixed && isMixed(known->second)) {
            newlyMixed.push_back(service);
        }
    }
    // A service without servers keeps its builds: the next servers tell whether they have changed.
    return newlyMixed;
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
    return sole_build{ *found->second.builds.begin(), found->second.since };
}

} // namespace reedtrail
