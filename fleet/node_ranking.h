/**
 * @file
 * Ranks the nodes of each availability zone, so that all nodes that know the same list choose the same few for a task.
 *
 * A node that is among the first of its zone in the full list is among them in any part of the list that it knows itself. So a node with a partial list may
 * take itself for one of the first wrongly, but the true first ones never pass over themselves.
 */
#pragma once

#include "base/hash.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <vector>

namespace reedtrail {

/**
 * Returns the names of the nodes of each zone, those with the most processor time first; ties are broken by a hash.
 * @param nodes by name; their fields `zone` and `processorShare` are used. The result refers to the names in it.
 */
template<class Nodes>
std::map<std::string_view, std::vector<std::string_view>> rankNodesByZone(const Nodes &nodes)
{
    std::map<std::string_view, std::vector<std::string_view>> zones;
    for (const auto &[name, node] : nodes) {
        zones[node.zone].push_back(name);
    }
    for (auto &[zone, names] : zones) {
        std::ranges::sort(names, [&nodes, zone = zone](std::string_view left, std::string_view right) {
            const double leftShare = nodes.find(std::string(left))->second.processorShare;
            const double rightShare = nodes.find(std::string(right))->second.processorShare;
            return leftShare != rightShare ? leftShare > rightShare : rendezvousRank(zone, left) > rendezvousRank(zone, right);
        });
    }
    return zones;
}

} // namespace reedtrail
