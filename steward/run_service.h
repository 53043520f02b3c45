/**
 * @file
 * Manages runs on this node: competes for their ownership, runs the owner's state machine for the runs it owns, and forwards messages meant for other owners.
 *
 *     BOOST_LEAF_AUTO(runs, process.find<run_service>("runs"));
 *     runs->onOwnershipChange([](const run_ownership_update &update) { ... });
 *     runs->onWeightVersions(run, published, served);
 */
#pragma once

#include "base/decision_log.h"
#include "fleet/peer_messages.h"
#include "kernel/service.h"
#include "node/process_host.h"
#include "sampling/run_ownership.h"

#include <functional>
#include <memory>

namespace reedtrail {

/** Reports a change of ownership or an attempt to renew the lease. */
struct run_ownership_update
{
    run_id run;
    epoch_number epoch = 0; ///< Fencing epoch of the ownership; 0 if this node does not own the run.
    time_point leaseUntil{}; ///< Expiry of the ownership lease.
    bool isFirstOwner = false; ///< True if this node has just gained a run that nobody owned before.
};

/** Connects the run ownership and run owner state machines to the store, the peer bus and the clock. */
class run_service : public service
{
public:
    explicit run_service(process_context &context);
    ~run_service() override;

    result<void> start(kernel &process) override;
    /**
     * Hands the runs owned here over to other nodes, which take over by compare-and-swap in the store.
     *
     * Releases a run at once if no other node can be reached, or after a time limit if its successor has not taken over.
     */
    void drain(std::function<void()> done) override;
    void stop() override;
    nlohmann::json dump() const override;

    /** Adds an action that runs at each change of ownership and after each attempt to renew the lease. */
    void onOwnershipChange(std::function<void(const run_ownership_update &update)> action);
    /** Passes the newest published and the newest served weight version to the run's owner, if that is this node. */
    void onWeightVersions(const run_id &run, weight_version published, weight_version served);
    /** Returns the owner of @p run as last seen by this node, or none. */
    std::optional<run_owner_view> ownerOf(const run_id &run) const;
    /** Returns the decisions that owners on this node made, which explain questions read. */
    const decision_log &decisions() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace reedtrail
