// Rendezvous hashing over the live members: a member that comes or goes moves only its own duties. A duty holder that finds it cannot do the duty says so on
// its card and ranks behind the others; if all say so, the rule falls back to rank alone, so that somebody goes on trying.

#include "fleet/duties.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail {

std::vector<node_id> chooseForDuty(std::string_view duty, const zone_id &zone, std::span<const member_info> members, std::size_t count)
{
    std::vector<std::string> able;
    std::vector<std::string> unable;
    for (const member_info &member : members) {
        if (zone.empty() || member.zone == zone) {
            (member.isStoreReachable ? able : unable).push_back(member.node.str());
        }
    }
    const std::string key = std::string(duty) + "/" + zone.str();
    std::vector<node_id> chosen;
    for (const std::vector<std::string> *candidates : { &able, &unable }) {
        for (const std::size_t index : rendezvousChoose(key, *candidates, count - chosen.size())) {
            chosen.emplace_back((*candidates)[index]);
        }
    }
    return chosen;
}

bool hasDuty(std::string_view duty, const zone_id &zone, std::span<const member_info> members, std::size_t count, const node_id &node)
{
    const std::vector<node_id> chosen = chooseForDuty(duty, zone, members, count);
    return std::ranges::find(chosen, node) != chosen.end();
}

} // namespace reedtrail
