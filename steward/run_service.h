/**
 * @file
 * Runs on this node: competes for their ownership, runs the owner's core for those it owns, and passes on what is meant for other owners.
 *
 *     BOOST_LEAF_AUTO(runs, process.find<run_service>("runs"));
 *     runs->onOwnership([](const run_ownership_news &news) { ... });
 *     runs->versionsSeen(run, published, served);
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

/** A change of ownership, or a prolonged lease. */
struct run_ownership_news
{
    run_id run;
    epoch_number epoch = 0; ///< 0 if this node does not own the run.
    time_point leaseUntil{};
    bool isFirstOwner = false; ///< Nobody owned the run before.
};

/** The service. */
class run_service : public service
{
public:
    explicit run_service(process_context &context);
    ~run_service() override;

    result<void> start(kernel &process) override;
    /** Hands the runs owned to other nodes by compare-and-swap. */
    void drain(std::function<void()> done) override;
    void stop() override;
    nlohmann::json dump() const override;

    /** Adds an action that runs at each change of ownership and each prolonged lease. */
    void onOwnership(std::function<void(const run_ownership_news &news)> action);
    /** Tells the run's owner, if it is here, of weight versions. */
    void versionsSeen(const run_id &run, weight_version published, weight_version served);
    /** Returns the owner of @p run as last seen by this node. */
    std::optional<run_owner_view> ownerOf(const run_id &run) const;
    /** Returns the decisions of owners on this node, for explain. */
    const decision_log &decisions() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace reedtrail
