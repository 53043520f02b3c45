/**
 * @file
 * Nodes, gates, engines, spools and trainers in virtual time around the real cores of sampling/, for randomised runs and benchmarks.
 *
 *     fake_fleet fleet(options);
 *     fleet.openRun(settings, std::chrono::seconds(30));          // a trainer that trains 30 s a step
 *     fleet.world().at(..., [&] { fleet.killNode(2, ...); });
 *     fleet.runFor(std::chrono::minutes(10));
 *     fleet.record(run).doubled == 0
 *
 * The engines keep their own record of which version made which token, and the trainers compare each sample with it.
 */
#pragma once

#include "harness/fake_store.h"
#include "harness/lossy_network.h"
#include "sampling/run_owner.h"
#include "sampling/run_ownership.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace reedtrail::harness {

/** Sizes and behaviour of a fleet. */
struct fake_fleet_options
{
    std::uint64_t seed = 1;
    std::size_t nodes = 4;
    std::size_t zones = 2;
    std::size_t servers = 6;
    std::size_t slots = 8;
    double tokensPerSecond = 50; ///< Of one draft.
    double medianTokens = 200;
    double sigma = 0.7;
    std::size_t spools = 2; ///< Nodes with a disk, the first ones.
    double draftFailure = 0; ///< Share of drafts whose server fails; they are resumed, or drawn anew without resume.
    bool hasResume = true; ///< Whether a broken draft goes on from its tokens.
    duration rolloutDelay = std::chrono::seconds(5); ///< From published to served.
    duration reportInterval = std::chrono::seconds(1); ///< Of gates.
    duration detection = std::chrono::seconds(2); ///< Until the others know of a dead or returned node.
    double pullRepeat = 0.1; ///< Share of pulls that are asked twice, at two nodes.
    network_options network{};
    run_owner_options owner{};
    ownership_options claim{};
};

/** What a trainer saw. */
struct trainer_record
{
    std::uint64_t delivered = 0;
    std::uint64_t doubled = 0;
    std::uint64_t lost = 0;
    std::uint64_t overBound = 0;
    std::uint64_t untrue = 0; ///< Samples whose versions differ from the engine's record.
    std::uint64_t changed = 0; ///< Pull numbers answered with other slots when asked again.
    std::uint64_t stalenessSum = 0;
    std::uint64_t tokensSum = 0;
    std::uint64_t stepsWhole = 0;
    duration idle{}; ///< Waiting for samples, from the second step on.
    duration longestStep{}; ///< From wanting a step to having it whole.
    std::vector<time_point> deliveries; ///< Of each batch.
    std::vector<std::uint64_t> lengths; ///< Tokens of each sample.
    std::set<epoch_number> owners; ///< Epochs under which batches were sealed.
};

/** The fleet. */
class fake_fleet
{
public:
    explicit fake_fleet(fake_fleet_options options);
    ~fake_fleet();

    virtual_time &world()
    {
        return m_world;
    }
    fake_store &store()
    {
        return m_store;
    }
    lossy_network &network()
    {
        return m_network;
    }
    /** Opens a run with a trainer that trains for @p trainTime a step and then publishes the next version. */
    void openRun(const run_settings &settings, duration trainTime);
    /** Changes a run's settings on all nodes. */
    void changeRun(const run_settings &settings);
    void runFor(duration span);
    const trainer_record &record(const run_id &run) const;
    /** Returns the node that owns @p run by its own belief, the newest epoch if several do. */
    std::optional<std::size_t> ownerOf(const run_id &run) const;
    const run_owner *owner(const run_id &run) const;

    /** Ends a node's processes; they start again after @p downTime. @param losesDisk whether its spool is empty then */
    void killNode(std::size_t node, duration downTime, bool losesDisk);
    /** Lets a node's processes stand still. */
    void pauseNode(std::size_t node, duration span);
    /** Cuts a node from the store and all nodes. */
    void cutNode(std::size_t node, duration span);
    /** Ends the owner at the moment it has asked for the @p count-th action of type @p kind from now: before the action is carried out, or right after. */
    void killOwnerAt(std::size_t actionIndex, bool isAfter, std::uint64_t count = 1);
    /** Ends a server; its drafts break. It returns after @p downTime. */
    void killServer(std::size_t server, duration downTime);
    std::size_t nodes() const
    {
        return m_nodes.size();
    }
    std::size_t zoneOf(std::size_t index) const
    {
        return index % m_options.zones;
    }
    std::size_t servers() const
    {
        return m_servers.size();
    }
    std::uint64_t kills() const
    {
        return m_kills;
    }

private:
    struct draft_state
    {
        draft_order order;
        std::size_t gate = 0;
        std::uint64_t gateLife = 0;
        std::size_t server = 0;
        std::uint64_t wanted = 0; ///< Tokens of the whole answer.
        std::uint64_t done = 0; ///< Tokens made before startedAt.
        time_point startedAt{};
        double rate = 0;
        weight_version version = 0; ///< Of the server since startedAt.
        std::uint64_t turn = 0; ///< Raised whenever its end is planned anew.
        bool isQueued = true;
        std::vector<version_range> versions;
    };
    struct server
    {
        bool isUp = true;
        double speed = 1;
        std::map<run_id, weight_version> versions;
        std::set<std::uint64_t> drafts; ///< By key of m_drafts.
    };
    struct run_unit
    {
        run_unit(const run_id &run, const node_id &self, std::string claimPrefix, const fake_fleet_options &options)
            : claim(self, std::move(claimPrefix), "", options.claim)
            , owner(run, options.owner)
        {
        }
        run_ownership claim;
        run_owner owner;
        store_watch_id watch = 0;
        std::uint64_t timerTurn = 0;
        time_point timerAt = timeNever;
    };
    struct node
    {
        std::string name;
        bool isUp = true;
        bool isPaused = false;
        std::uint64_t life = 1;
        std::map<run_id, std::unique_ptr<run_unit>> units;
        std::set<std::uint64_t> drafts;
        std::vector<std::function<void()>> held; ///< What arrived while it was paused.
        std::map<std::pair<run_id, std::uint64_t>, std::set<std::string>> payloads; ///< Of its spool, by run and step.
        bool hasDisk = false;
        bool isKnownUp = true; ///< What the others believe.
    };
    struct payload_truth
    {
        std::vector<version_range> versions;
    };
    struct trainer
    {
        run_settings settings;
        duration trainTime{};
        trainer_record record;
        std::uint64_t number = 1;
        std::uint64_t turn = 0; ///< Of the question under way.
        std::uint64_t step = 1;
        weight_version published = 1;
        bool isTraining = false;
        time_point wantedAt{};
        std::set<slot_id> seen;
        std::map<std::uint64_t, std::vector<slot_id>> answered; ///< Slots by pull number.
        std::size_t received = 0; ///< Samples of the current step.
    };

    void deliver(std::size_t index, std::uint64_t life, std::function<void()> action);
    void startNode(std::size_t index);
    void membershipChanged();
    void tellClaim(std::size_t index, const run_id &run, const ownership_input &event);
    void tellOwner(std::size_t index, const run_id &run, const run_input &event);
    void perform(std::size_t index, const run_id &run, const ownership_action_item &action);
    void perform(std::size_t index, const run_id &run, const run_action_item &action);
    void carryOut(std::size_t index, const run_id &run, const run_action_item &action);
    void armTimer(std::size_t index, const run_id &run);
    void watchOwner(std::size_t index, const run_id &run, bool isWanted);
    void openUnit(std::size_t index, const run_settings &settings);

    void takeOrder(std::size_t gate, const draft_order &order);
    void placeDrafts();
    std::optional<std::size_t> freeServer(weight_version minimum, const run_id &run) const;
    void startDraft(std::uint64_t key, std::size_t server);
    void accrue(draft_state &draft);
    void planEnd(std::uint64_t key);
    void endDraft(std::uint64_t key);
    void forgetDraft(std::uint64_t key);
    void breakDraft(std::uint64_t key);
    void finishDraft(std::uint64_t key);
    void sendResult(std::size_t gate, std::uint64_t life, const draft_result &result, int triesLeft);
    std::uint64_t tokensOf(const draft_state &draft) const;
    void reportGate(std::size_t gate);
    void reportGates();
    void publish(const run_id &run);

    void pull(const run_id &run);
    void ask(const run_id &run, std::size_t node, std::uint64_t turn);
    void readPayloads(const run_id &run, std::size_t gate, std::size_t owner, std::uint64_t turn, const pull_answer &answer);
    void answered(const run_id &run, std::uint64_t turn, const pull_answer &answer);
    void accept(trainer &each, const pull_answer &answer);
    void beginTraining(trainer &each);
    void checkSample(trainer &each, const sealed_sample &sample);

    fake_fleet_options m_options;
    virtual_time m_world;
    random_source m_random;
    fake_store m_store;
    lossy_network m_network;
    std::vector<node> m_nodes;
    std::vector<server> m_servers;
    std::map<run_id, trainer> m_trainers;
    std::map<std::uint64_t, draft_state> m_drafts;
    std::deque<std::uint64_t> m_queue;
    std::uint64_t m_nextDraftKey = 1;
    std::set<std::pair<run_id, std::uint64_t>> m_taken; ///< Orders that a gate has taken, each once.
    std::map<std::string, payload_truth> m_truth;
    std::map<pull_token, std::function<void(const pull_answer &)>> m_pulls;
    pull_token m_nextToken = 1;
    std::optional<std::pair<std::size_t, bool>> m_killAt;
    std::uint64_t m_killCountdown = 0;
    std::uint64_t m_kills = 0;
};

} // namespace reedtrail::harness
