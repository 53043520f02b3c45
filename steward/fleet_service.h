/**
 * @file
 * The steward's view of the fleet: members, the settings in force, run owners, and links to the gates, stewards and spools of all nodes.
 *
 *     BOOST_LEAF_AUTO(fleet, process.find<fleet_service>("fleet"));
 *     if (fleet->document()) { ... fleet->document()->findRun(run) ... }
 *     fleet->onChange([this] { ... });                                  // document, members or owners have changed
 *     if (auto link = fleet->linkToGate(node)) { fleet->bus().send(*link, order); }
 */
#pragma once

#include "base/decision_log.h"
#include "fleet/fleet_document.h"
#include "fleet/membership.h"
#include "fleet/peer_messages.h"
#include "fleet/settings_core.h"
#include "kernel/service.h"
#include "net/peer_bus.h"
#include "node/process_host.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace reedtrail {

/** The service. */
class fleet_service : public service
{
public:
    explicit fleet_service(process_context &context);
    ~fleet_service() override;

    result<void> start(kernel &process) override;
    void drain(std::function<void()> done) override;
    void stop() override;
    nlohmann::json dump() const override;

    /** Returns the id of this node. */
    const node_id &self() const;
    /** Returns the availability zone of this node. */
    const zone_id &zone() const;
    /** Returns the document in force, or none while no revision is known. */
    std::shared_ptr<const fleet_document> document() const;
    /** Returns the revision in force; 0 while none is known. */
    std::uint64_t revision() const;
    /** Returns all members that are alive and reachable, this node included, in the order of their ids. */
    std::vector<member_info> members() const;
    /** Returns the card of @p node if it is a live member. */
    std::optional<member_info> findMember(const node_id &node) const;
    /** Returns the owners of runs as the store names them. */
    const std::vector<run_owner_view> &owners() const;
    /** Returns backend servers that are leaving, by the VM list or the document. */
    const std::vector<server_id> &leavingServers() const;
    /** Tells all nodes who owns a run and how far it is; called by the owner's steward. */
    void announceOwner(const run_owner_view &view);
    /** Tells whether this node is the deputy of its zone. */
    bool isZoneDeputy() const;
    /** Returns the deputies of all zones, one for each zone with a live member. */
    std::vector<member_info> zoneDeputies() const;

    /** Returns the membership core, for showing it. */
    const membership &gossip() const;
    /** Returns the record in force, or none. */
    std::shared_ptr<const settings_record> settingsRecord() const;
    /** Commits a change; it is in force here before @p onEnd runs without an error. */
    void confirmSettings(settings_change change, std::function<void(std::optional<failure> error, std::uint64_t revision)> onEnd);
    /** Returns the decisions of this process. */
    decision_log &decisions();

    /** Returns the bus of this process, for handlers and messages of other services. */
    peer_bus &bus();
    /** Returns the open link to the gate of this node. */
    std::optional<link_id> gateLink() const;
    /** Returns the open link to the gate of @p node. If there is none, starts to make one and returns none. */
    std::optional<link_id> linkToGate(const node_id &node);
    /** Returns the open link to the steward of @p node, as linkToGate() does. */
    std::optional<link_id> linkToSteward(const node_id &node);
    /** Returns the open link to the spool of @p node, as linkToGate() does; always none for a node without one. */
    std::optional<link_id> linkToSpool(const node_id &node);

    /** Adds an action that runs after the document, the members or the owners have changed. */
    void onChange(std::function<void()> action);
    /** Adds an action that runs after any link of this process has closed. */
    void onLinkClosed(std::function<void(link_id link)> action);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace reedtrail
