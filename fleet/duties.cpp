// Rendezvous hashing over the live members: when a member joins or leaves, only its own duties move. A member that does not reach the store says so in its
// member_info and ranks after the others. If no member reaches the store, rank alone decides, so that some node keeps trying.

#include "fleet/duties.h"

#include "base/hash.h"

#include <algorithm>

namespace reedtrail {

std::vector<node_id> selectDutyHolders(std::string_view duty, const zone_id &zone, std::span<const member_info> members, std::size_t count)
{
    std::vector<std::string> withStore;
    std::vector<std::string> withoutStore;
    for (const member_info &member : members) {
        if (zone.empty() || member.zone == zone) {
            (member.isStoreReachable ? withStore : withoutStore).push_back(member.node.str());
        }
    }
    const std::string key = std::string(duty) + "/" + zone.str();
    std::vector<node_id> chosen;
    for (const std::vector<std::string> *candidates : { &withStore, &withoutStore }) {
        for (const std::size_t index : rendezvousChoose(key, *candidates, count - chosen.size())) {
            chosen.emplace_back((*candidates)[index]);
        }
    }
    return chosen;
}

bool hasDuty(std::string_view duty, const zone_id &zone, std::span<const member_info> members, std::size_t count, const node_id &node)
{
    const std::vector<node_id> chosen = selectDutyHolders(duty, zone, members, count);
    return std::ranges::find(chosen, node) != chosen.end();
}

} // namespace reedtrail
