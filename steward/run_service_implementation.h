/**
 * @file
 * Private: the state of the service of runs, shared by its implementation files. See steward/run_service.h for the public side.
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

/** The service's state; everything runs on the control thread. */
struct run_service::implementation : std::enable_shared_from_this<run_service::implementation>
{
    /** A run of the fleet document, as this node sees it. */
    struct run_unit
    {
        run_unit(const run_id &run, run_ownership newClaim, decision_log *log)
            : claim(std::move(newClaim))
            , owner(run, {}, log)
        {
        }
        run_ownership claim;
        run_owner owner;
        run_settings settings;
        store_watch_id watch = 0;
        bool isHandedOver = false;
        time_point announceAt{};
        std::uint64_t announcedStep = 0;
    };
    struct open_pull
    {
        run_id run;
        link_id from = 0;
        peer_bus::reply<pull_answer> reply;
    };

    struct kept_result
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
    void listenToPeers();
    void fleetChanged();
    void setRank(run_unit &unit);
    void setGates(run_unit &unit);
    void setSpools(run_unit &unit);
    void review();
    void tellNeeds();
    void announce(const run_id &run, run_unit &unit);

    void tellClaim(const run_id &run, const ownership_input &event);
    void perform(const run_id &run, run_unit &unit, const ownership_action_item &action);
    void watchOwner(const run_id &run, run_unit &unit);
    void tellOwner(const run_id &run, const run_input &event);
    void perform(const run_id &run, run_unit &unit, const run_action_item &action);
    void toGate(const node_id &gate, const auto &message);
    void tellListeners(const run_id &run, const run_unit &unit, bool isFirstOwner);

    void takePull(link_id from, pull_question question, peer_bus::reply<pull_answer> reply);
    void forwardPull(pull_question question, const peer_bus::reply<pull_answer> &reply);
    /** Takes a message as the owner, or passes it on. @return false if no owner can be reached */
    template<class Message>
    bool forward(const run_id &run, const Message &message);
    void takeResult(const draft_result &result);
    void forwardKept();
    void linkClosed(link_id link);
    std::optional<run_owner_view> ownerOf(const run_id &run) const;

    void armTimer();
    void onTimer();
    void startReview();
    void beginDrain(std::function<void()> done);
    void handOver(const run_id &run, run_unit &unit);
    void finishDrainIfDone();

    process_context &context;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer reviewTimer;
    decision_log log;
    fleet_service *fleet = nullptr;
    store_service *store = nullptr;
    std::map<run_id, run_unit> units;
    std::map<run_id, run_need> needs;
    std::map<pull_token, open_pull> pulls;
    std::deque<kept_result> keptResults; ///< Results of drafts while no owner can be reached.
    pull_token nextToken = 1;
    std::vector<std::function<void(const run_ownership_news &)>> listeners;
    std::function<void()> onDrained;
    time_point drainUntil = timeNever;
    bool isDraining = false;
    bool isStopped = false;
};

template<class Message>
bool run_service::implementation::forward(const run_id &run, const Message &message)
{
    const auto unit = units.find(run);
    if (unit != units.end() && unit->second.claim.isOwning()) {
        if constexpr (std::is_same_v<Message, draft_result>) {
            tellOwner(run, run_event::draft_ended{ message });
        } else if constexpr (std::is_same_v<Message, draft_progress>) {
            tellOwner(run, run_event::gate_reported{ message.gate, message.drafts });
        } else {
            tellOwner(run, run_event::payload_lost{ message.slot, message.draft });
        }
        return true;
    }
    const std::optional<run_owner_view> owner = ownerOf(run);
    const std::optional<link_id> link = owner && owner->node != fleet->self() ? fleet->linkToSteward(owner->node) : std::nullopt;
    return link && fleet->bus().send(*link, message);
}

} // namespace reedtrail
