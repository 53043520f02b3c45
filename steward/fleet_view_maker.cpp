// A shared fact about the VM list is used only while the node that wrote it is still assigned to read the list, because a former reader no longer updates
// its fact.

#include "steward/fleet_view_maker.h"

#include "base/cbor_codec.h"
#include "fleet/duties.h"

#include <algorithm>
#include <set>

namespace reedtrail {
namespace {

constexpr std::string_view leavingPrefix = "leaving/";

/** Returns the names and addresses of VMs that the current readers of the VM list report as leaving. */
std::set<std::string> leavingNames(const membership &members)
{
    const std::vector<member_info> &reachable = members.reachable();
    std::set<std::string> names;
    for (const shared_fact &fact : members.facts().withPrefix(std::string(leavingPrefix))) {
        const node_id writer(fact.key.substr(leavingPrefix.size()));
        const auto writerInfo = std::ranges::find(reachable, writer, &member_info::node);
        const bool hasDutyNow = writerInfo != reachable.end() && hasDuty("vm-list-reader", writerInfo->zone, reachable, vmListReadersPerZone, writer);
        if (hasDutyNow && fact.value.is_array()) {
            for (const nlohmann::json &name : fact.value) {
                names.insert(name.is_string() ? name.get<std::string>() : std::string());
            }
        }
    }
    return names;
}

} // namespace

std::vector<server_id> leavingServersOf(const fleet_document &document, const membership &members)
{
    const std::set<std::string> names = leavingNames(members);
    std::vector<server_id> leaving;
    for (const pool_settings &pool : document.pools) {
        for (const server_settings &server : pool.servers) {
            const std::string ip = server.address.substr(0, server.address.rfind(':'));
            if (server.isLeaving || names.contains(server.address) || names.contains(ip) || names.contains(server.id.str())) {
                leaving.push_back(server.id);
            }
        }
    }
    return leaving;
}

std::vector<run_owner_view> runOwnersOf(const membership &members)
{
    std::vector<run_owner_view> owners;
    for (const shared_fact &fact : members.facts().withPrefix("owner/")) {
        failureOf([&]() -> result<void> {
            BOOST_LEAF_AUTO(view, decodeBody<run_owner_fact>({ std::string(run_owner_fact::messageName), 0, false, fact.value }));
            owners.push_back(view.owner);
            return {};
        });
    }
    return owners;
}

fleet_view
makeFleetView(const membership &members, const settings_record *record, const std::vector<server_id> &leaving, const std::vector<run_owner_view> &owners)
{
    fleet_view view;
    if (record != nullptr) {
        view.revision = record->revision;
        view.document = record->document;
    }
    view.leavingServers = leaving;
    view.owners = owners;
    for (const member_info &member : members.reachable()) {
        view.nodes.push_back({ member.node, member.zone, member.gateAddress });
        if (!member.spoolAddress.empty()) {
            view.spools.push_back({ member.node, member.zone, member.spoolAddress });
        }
    }
    return view;
}

} // namespace reedtrail
