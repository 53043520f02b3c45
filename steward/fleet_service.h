/**
 * @file
 * Maintains the steward's view of the fleet: its members, the settings in force, run owners, and links to the gates, stewards and spools of all nodes.
 *
 *     BOOST_LEAF_AUTO(fleet, process.find<fleet_service>("fleet"));
 *     if (fleet->document()) { ... fleet->document()->findRun(run) ... }
 *     fleet->onChange([this] { ... });                                  // the document, the members or the owners changed
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

/** Runs membership and settings on this node and gives other services access to their state and to the peer bus. */
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
    /** Returns the information on @p node if it is a live member. */
    std::optional<member_info> findMember(const node_id &node) const;
    /** Returns the owners of runs as they announced themselves to the members. */
    const std::vector<run_owner_view> &owners() const;
    /** Returns the backend servers that are leaving according to the VM list or the document. */
    const std::vector<server_id> &leavingServers() const;
    /** Announces to all nodes who owns a run and which trainer step it has reached; called by the owner's steward. */
    void announceOwner(const run_owner_view &view);
    /** Returns true if this node is the deputy of its zone. */
    bool isZoneDeputy() const;
    /** Returns the deputies of all zones that have a reachable member, one for each zone. */
    std::vector<member_info> zoneDeputies() const;

    /** Returns the membership state machine, for status reports. */
    const membership &gossip() const;
    /** Returns the settings record in force, or null if there is none. */
    std::shared_ptr<const settings_record> settingsRecord() const;
    /** Commits a change of the settings. If it succeeds, the change is in force on this node before @p onEnd runs. */
    void confirmSettings(settings_change change, std::function<void(std::optional<failure> error, std::uint64_t revision)> onEnd);
    /** Returns the log of decisions of this process, which explain questions read. */
    decision_log &decisions();

    /** Returns the peer bus of this process, on which other services register handlers and send messages. */
    peer_bus &bus();
    /** Returns the open link to the gate of this node, or none. */
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
