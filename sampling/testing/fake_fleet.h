/**
 * @file
 * Simulates nodes, gates, engine servers, spools and trainers in virtual time around the real run_owner and run_ownership, for randomised tests and benchmarks.
 *
 *     fake_fleet fleet(options);
 *     fleet.openRun(settings, std::chrono::seconds(30));          // the trainer trains 30 s per step
 *     fleet.clock().at(..., [&] { fleet.killNode(2, ...); });
 *     fleet.runFor(std::chrono::minutes(10));
 *     fleet.trainerStats(run).duplicated == 0
 *
 * The simulated engines record which weight version generated which token, and the trainers compare each sample with this record.
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

/** Sizes, speeds and fault rates of a simulated fleet. */
struct fake_fleet_options
{
    std::uint64_t seed = 1;
    std::size_t nodes = 4; ///< Number of nodes.
    std::size_t zones = 2; ///< Number of availability zones.
    std::size_t servers = 6; ///< Number of engine servers.
    std::size_t slots = 8; ///< Drafts that a server runs at once.
    double tokensPerSecond = 50; ///< Mean speed of a draft; each server deviates by up to 20 %.
    double medianTokens = 200; ///< Median length of an answer; lengths are log-normal.
    double tokensSigma = 0.7; ///< Standard deviation of the logarithm of the length.
    std::size_t spools = 2; ///< Number of nodes with a spool; these are the first nodes.
    double draftFailureRate = 0; ///< Probability, each time a draft starts on a server, that it is interrupted there.
    bool resumesBrokenDrafts = true; ///< Whether an interrupted draft resumes from its tokens; otherwise it is generated anew.
    duration weightRolloutDelay = std::chrono::seconds(5); ///< Time from publishing a weight version until all servers serve it.
    duration reportInterval = std::chrono::seconds(1); ///< Interval of the progress reports of gates.
    duration failureDetectionDelay = std::chrono::seconds(2); ///< Time until the other nodes consider a killed, paused or partitioned node down.
    double duplicatePullRate = 0.1; ///< Probability that a pull is sent twice, each to a random node.
    network_options network{};
    run_owner_options owner{};
    ownership_options ownership{};
};

/** Counts of what a trainer received and how long it waited. */
struct trainer_stats
{
    std::uint64_t delivered = 0; ///< Number of samples received.
    std::uint64_t duplicated = 0; ///< Samples whose slot had been delivered before.
    std::uint64_t lost = 0; ///< Samples missing from steps that were reported complete.
    std::uint64_t overBound = 0; ///< Samples staler than the bound, or of another step than the current one.
    std::uint64_t wrongVersions = 0; ///< Samples whose versions differ from the record of the engine.
    std::uint64_t changedAnswers = 0; ///< Answers that hold other slots than an earlier answer to the same pull number.
    std::uint64_t totalStaleness = 0; ///< Sum of the staleness of all samples, in steps.
    std::uint64_t totalTokens = 0; ///< Sum of the tokens of all samples.
    std::uint64_t completedSteps = 0; ///< Number of steps received completely.
    duration idleTime{}; ///< Time spent waiting for samples, from the second step on.
    duration longestStepWait{}; ///< Longest wait for all samples of a step.
    std::vector<time_point> deliveryTimes; ///< Time of each delivered batch.
    std::vector<std::uint64_t> sampleLengths; ///< Number of tokens of each sample.
    std::set<epoch_number> ownerEpochs; ///< Epochs under which batches were sealed.
};

/** A simulated fleet with its store, network, servers and trainers. */
class fake_fleet
{
public:
    explicit fake_fleet(fake_fleet_options options);
    ~fake_fleet();

    virtual_time &clock()
    {
        return m_clock;
    }
    fake_store &store()
    {
        return m_store;
    }
    lossy_network &network()
    {
        return m_network;
    }
    /** Opens a run whose trainer trains each step for @p trainTime and then publishes the next weight version. */
    void openRun(const run_settings &settings, duration trainTime);
    /** Changes the settings of a run on all nodes. */
    void changeRun(const run_settings &settings);
    /** Advances the virtual time by @p span. */
    void runFor(duration span);
    /** Returns the statistics of the trainer of @p run. */
    const trainer_stats &trainerStats(const run_id &run) const;
    /** Returns the running node that considers itself the owner of @p run; the one with the newest epoch if there are several. */
    std::optional<std::size_t> ownerOf(const run_id &run) const;
    /** Returns the run owner on the node given by ownerOf(), or null. */
    const run_owner *owner(const run_id &run) const;

    /** Kills the processes of a node and restarts them after @p downTime. @param losesDisk whether its spool loses all payloads */
    void killNode(std::size_t node, duration downTime, bool losesDisk);
    /** Pauses the processes of a node for @p span. */
    void pauseNode(std::size_t node, duration span);
    /** Partitions a node from the store, the trainers and all other nodes for @p span. */
    void partitionNode(std::size_t node, duration span);
    /**
     * Kills the owner at one of its next actions.
     * @param actionIndex index of the action type in run_action_item
     * @param isAfter whether the owner is killed right after the action is executed; otherwise the action is not executed
     * @param count which action of this type from now on
     */
    void killOwnerAtAction(std::size_t actionIndex, bool isAfter, std::uint64_t count = 1);
    /** Kills a server, which interrupts its drafts, and restarts it after @p downTime. */
    void killServer(std::size_t server, duration downTime);
    /** Returns the number of nodes. */
    std::size_t nodes() const
    {
        return m_nodes.size();
    }
    /** Returns the availability zone of a node or server. */
    std::size_t zoneOf(std::size_t index) const
    {
        return index % m_options.zones;
    }
    /** Returns the number of servers. */
    std::size_t servers() const
    {
        return m_servers.size();
    }
    /** Returns how many times a node was killed. */
    std::uint64_t kills() const
    {
        return m_kills;
    }

private:
    /** A draft on a gate. */
    struct draft_state
    {
        draft_order order;
        std::size_t gate = 0;
        std::uint64_t gateIncarnation = 0;
        std::size_t server = 0;
        std::uint64_t targetTokens = 0; ///< Length of the complete answer.
        std::uint64_t tokensAtStart = 0; ///< Tokens generated before startedAt.
        time_point startedAt{};
        double tokenRate = 0; ///< Tokens per second on the current server.
        weight_version version = 0; ///< Weight version served since startedAt.
        std::uint64_t timerGeneration = 0; ///< Incremented with each change of server or state, so that older timers are ignored.
        bool isQueued = true; ///< Whether the draft waits for a server.
        std::vector<version_range> versions;
    };
    /** An engine server. */
    struct server
    {
        bool isUp = true;
        double speed = 1; ///< Factor on the mean speed of a draft.
        std::map<run_id, weight_version> versions; ///< Weight version served for each run.
        std::set<std::uint64_t> drafts; ///< Keys in m_drafts.
    };
    /** State machines of one run on one node. */
    struct run_cores
    {
        run_cores(const run_id &run, const node_id &self, std::string claimPrefix, const fake_fleet_options &options)
            : ownership(self, std::move(claimPrefix), "", options.ownership)
            , owner(run, options.owner)
        {
        }
        run_ownership ownership;
        run_owner owner;
        store_watch_id watch = 0;
        std::uint64_t timerGeneration = 0; ///< Incremented with each timer set, so that older timers are ignored.
        time_point timerAt = timeNever;
    };
    /** A node with a gate, and with a spool if it has a disk. */
    struct node
    {
        std::string name;
        bool isUp = true;
        bool isPaused = false;
        std::uint64_t incarnation = 1; ///< Incremented when the node is killed, so that actions for its earlier processes are ignored.
        std::map<run_id, std::unique_ptr<run_cores>> cores;
        std::set<std::uint64_t> drafts;
        std::vector<std::function<void()>> deferredActions; ///< Actions that arrived while the node was paused.
        std::map<std::pair<run_id, std::uint64_t>, std::set<std::string>> payloads; ///< Payload keys in its spool, by run and step.
        bool hasDisk = false;
        bool isConsideredUp = true; ///< Whether the other nodes consider it up.
    };
    /** What the engines recorded while they generated a payload. */
    struct generated_payload
    {
        std::vector<version_range> versions;
    };
    /** A simulated trainer and what it has received. */
    struct trainer
    {
        run_settings settings;
        duration trainTime{};
        trainer_stats stats;
        std::uint64_t nextPull = 1; ///< Number of the next pull.
        std::uint64_t attempt = 0; ///< Identifies the current attempt at the pull, so that timeouts and empty answers of earlier attempts are ignored.
        std::uint64_t step = 1;
        weight_version publishedVersion = 1;
        bool isTraining = false;
        time_point waitingSince{}; ///< When the trainer began to wait for the current step.
        std::set<slot_id> receivedSlots;
        std::map<std::uint64_t, std::vector<slot_id>> answeredSlots; ///< Slots of the first answer to each pull number.
        std::size_t receivedInStep = 0; ///< Number of samples of the current step received so far.
    };

    /** Runs @p action if the node is up in the given incarnation; defers it while the node is paused. */
    void runOnNode(std::size_t index, std::uint64_t incarnation, std::function<void()> action);
    void restartNode(std::size_t index);
    /** Sends all nodes their rank for each run and the gates and spools that are considered up. */
    void announceMembership();
    /** Passes @p event to the run_ownership of a node and executes the resulting actions. */
    void notifyOwnership(std::size_t index, const run_id &run, const ownership_input &event);
    /** Passes @p event to the run_owner of a node and executes the resulting actions. */
    void notifyOwner(std::size_t index, const run_id &run, const run_input &event);
    void execute(std::size_t index, const run_id &run, const ownership_action_item &action);
    /** Executes @p action, and kills the node before or after it if killOwnerAtAction() asked for that. */
    void execute(std::size_t index, const run_id &run, const run_action_item &action);
    void executeAction(std::size_t index, const run_id &run, const run_action_item &action);
    void armTimer(std::size_t index, const run_id &run);
    /** Opens or closes the watch of a node on the owner key. */
    void updateOwnerWatch(std::size_t index, const run_id &run, bool isWanted);
    /** Creates the state machines of a run on a node. */
    void createCores(std::size_t index, const run_settings &settings);

    void acceptOrder(std::size_t gate, const draft_order &order);
    /** Starts waiting drafts in order while a server is free for the first of them. */
    void dispatchDrafts();
    std::optional<std::size_t> findFreeServer(weight_version minimum, const run_id &run) const;
    void startDraft(std::uint64_t key, std::size_t server);
    /** Adds the tokens generated since startedAt to the versions of @p draft. */
    void updateProgress(draft_state &draft);
    /** Sets the timer for the last token of a draft. */
    void scheduleEnd(std::uint64_t key);
    /** Frees the server of a draft whose tokens are complete, and finishes the draft after the scoring time. */
    void scoreDraft(std::uint64_t key);
    /** Drops a draft without a result. */
    void discardDraft(std::uint64_t key);
    /** Takes a draft off its server and puts it at the head of the queue. */
    void interruptDraft(std::uint64_t key);
    /** Stores the payload of a draft in a spool and sends its result to the owner of the run. */
    void finishDraft(std::uint64_t key);
    /** Sends @p result to the owner of the run, or retries later if there is no owner that can be reached. */
    void sendResult(std::size_t gate, std::uint64_t incarnation, const draft_result &result, int retriesLeft);
    std::uint64_t generatedTokens(const draft_state &draft) const;
    /** Sends the progress of the drafts of a gate to the owners of their runs. */
    void sendGateReport(std::size_t gate);
    void sendGateReports();
    /** Announces the published version of @p run, and lets the servers serve it after the rollout delay. */
    void publishVersion(const run_id &run);

    /** Starts the next attempt at the current pull of the trainer of @p run. */
    void pull(const run_id &run);
    void sendPull(const run_id &run, std::size_t node, std::uint64_t attempt);
    /** Delivers @p answer to the trainer if all its payloads can be read; reports missing payloads to the owner. */
    void readPayloads(const run_id &run, std::size_t gate, std::size_t owner, std::uint64_t attempt, const pull_answer &answer);
    void onPullAnswered(const run_id &run, std::uint64_t attempt, const pull_answer &answer);
    void acceptBatch(trainer &state, const pull_answer &answer);
    void beginTraining(trainer &state);
    void checkSample(trainer &state, const sealed_sample &sample);

    fake_fleet_options m_options;
    virtual_time m_clock;
    random_source m_random;
    fake_store m_store;
    lossy_network m_network;
    std::vector<node> m_nodes;
    std::vector<server> m_servers;
    std::map<run_id, trainer> m_trainers;
    std::map<std::uint64_t, draft_state> m_drafts;
    std::deque<std::uint64_t> m_draftQueue;
    std::uint64_t m_nextDraftKey = 1;
    std::set<std::pair<run_id, std::uint64_t>> m_acceptedOrders; ///< Orders accepted by a gate; a repeated order is ignored.
    std::map<std::string, generated_payload> m_generatedPayloads; ///< By payload key.
    std::map<pull_token, std::function<void(const pull_answer &)>> m_pendingPulls;
    pull_token m_nextPullToken = 1;
    std::optional<std::pair<std::size_t, bool>> m_killPoint; ///< Action index, and whether the owner is killed after the action.
    std::uint64_t m_killCountdown = 0;
    std::uint64_t m_kills = 0;
};

} // namespace reedtrail::harness
