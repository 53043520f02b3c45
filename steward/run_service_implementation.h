/**
 * @file
 * Private state of run_service, shared by its implementation files. The public interface is in steward/run_service.h.
 */
#pragma once

#include "steward/run_service.h"

#include "sampling/run_messages.h"
#include "sampling/run_owner.h"
#include "sampling/run_share.h"
#include "sampling/run_store.h"
#include "steward/fleet_service.h"
#include "steward/store_service.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>

namespace reedtrail {

/** State of run_service; all functions run on the control thread. */
struct run_service::implementation : std::enable_shared_from_this<run_service::implementation>
{
    /** State of a run of the fleet document on this node, whether or not this node owns it. */
    struct managed_run
    {
        managed_run(const run_id &run, run_ownership newClaim, decision_log *log)
            : claim(std::move(newClaim))
            , owner(run, {}, log)
        {
        }
        run_ownership claim; ///< Competes for the ownership and keeps the lease.
        run_owner owner; ///< Active only while the claim owns the run.
        run_settings settings;
        store_watch_id watch = 0; ///< Watch of the owner key; 0 if none is open.
        bool isHandedOver = false; ///< A successor has been asked to take over.
        time_point nextAnnouncement{};
        std::uint64_t announcedStep = 0;
    };
    /** A pull that waits for the answer of the owner on this node. */
    struct pending_pull
    {
        run_id run;
        link_id from = 0;
        peer_bus::reply<pull_answer> reply;
    };

    /** A result that waits for a reachable owner. */
    struct buffered_result
    {
        draft_result result;
        time_point until{};
    };

    explicit implementation(process_context &newContext)
        : context(newContext)
        , timer(newContext.control)
        , reviewTimer(newContext.control)
        , log(4096)
    {
    }

    void start();
    void registerPeerHandlers();
    void onFleetChanged();
    void updateRank(managed_run &managed);
    void updateGates(managed_run &managed);
    void updateSpools(managed_run &managed);
    void review();
    void sendNeeds();
    void announceOwnership(const run_id &run, managed_run &managed);

    void dispatchToClaim(const run_id &run, const ownership_input &event);
    void perform(const run_id &run, managed_run &managed, const ownership_action_item &action);
    void watchOwner(const run_id &run, managed_run &managed);
    void dispatchToOwner(const run_id &run, const run_input &event);
    void perform(const run_id &run, managed_run &managed, const run_action_item &action);
    void sendToGate(const node_id &gate, const auto &message);
    void notifyListeners(const run_id &run, const managed_run &managed, bool isFirstOwner);

    void handlePull(link_id from, pull_question question, peer_bus::reply<pull_answer> reply);
    void forwardPull(pull_question question, const peer_bus::reply<pull_answer> &reply);
    /**
     * Handles a message here if this node owns @p run, or else forwards it to the owner.
     *
     * @return false if no owner can be reached
     */
    template<class Message>
    bool forward(const run_id &run, const Message &message);
    void handleResult(const draft_result &result);
    void forwardBufferedResults();
    void handleLinkClosed(link_id link);
    std::optional<run_owner_view> ownerOf(const run_id &run) const;

    void armTimer();
    void onTimer();
    void scheduleReview();
    void beginDrain(std::function<void()> done);
    void handOver(const run_id &run, managed_run &managed);
    void finishDrainIfDone();

    process_context &context;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer reviewTimer;
    decision_log log;
    fleet_service *fleet = nullptr;
    store_service *store = nullptr;
    std::map<run_id, managed_run> managedRuns;
    std::map<run_id, run_need> needs; ///< Latest need of each run, from its owner; used to divide a pool's capacity.
    std::map<pull_token, pending_pull> pulls; ///< Pulls that wait for an answer of an owner on this node.
    std::deque<buffered_result> bufferedResults; ///< Results of drafts that wait until the owner of their run can be reached.
    pull_token nextPullToken = 1;
    std::vector<std::function<void(const run_ownership_update &)>> listeners;
    std::function<void()> onDrained;
    time_point drainDeadline = timeNever;
    bool isDraining = false;
    bool isStopped = false;
};

template<class Message>
bool run_service::implementation::forward(const run_id &run, const Message &message)
{
    const auto managed = managedRuns.find(run);
    if (managed != managedRuns.end() && managed->second.claim.isOwning()) {
        if constexpr (std::is_same_v<Message, draft_result>) {
            dispatchToOwner(run, run_event::draft_ended{ message });
        } else if constexpr (std::is_same_v<Message, draft_progress>) {
            dispatchToOwner(run, run_event::gate_reported{ message.gate, message.drafts });
        } else {
            dispatchToOwner(run, run_event::payload_lost{ message.slot, message.draft });
        }
        return true;
    }
    const std::optional<run_owner_view> owner = ownerOf(run);
    const std::optional<link_id> link = owner && owner->node != fleet->self() ? fleet->linkToSteward(owner->node) : std::nullopt;
    return link && fleet->bus().send(*link, message);
}

} // namespace reedtrail
