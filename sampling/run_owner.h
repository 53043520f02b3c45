/**
 * @file
 * The owner of a training run. It orders drafts from gates, seals one finished draft per slot by recording it in the store, and delivers the recorded
 * batches to the trainer. Does no I/O: it takes events and returns actions.
 *
 * A slot is one sample that a training step needs. A draft is one generation of that sample by an engine, ordered through a gate. A spool is a node's storage
 * for the payloads of finished drafts. A pull is a trainer's request for one batch.
 *
 *     run_owner owner(run, {});
 *     owner.onEvent(now, run_event::settings_changed{settings});
 *     owner.onEvent(now, run_event::gates_changed{{{node, 64}}});
 *     for (run_action_item &action : owner.onEvent(now, run_event::ownership_gained{epoch, batchesInStore})) { ... }
 *     // Send run_event::timer when owner.nextDeadline() is reached.
 *
 * Guarantees, none of which depends on this node's clock or on its memory:
 *   - A trainer sees a sample only after the sample's record was written to the store under the epoch that the owner key had at that time.
 *   - Pull N always returns the slots of record N.
 *   - Each token of a sample has exactly one weight version, as reported by the engine.
 *   - No delivered sample is older than the staleness bound.
 */
#pragma once

#include "base/decision_log.h"
#include "sampling/draft_lead_planner.h"
#include "sampling/run_events.h"
#include "sampling/run_machine.h"
#include "sampling/step_table.h"
#include "sampling/straggler_detector.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace reedtrail {

/** Limits and time intervals of a run_owner. */
struct run_owner_options
{
    duration sealInterval = std::chrono::seconds(1); ///< Minimum time between two seal writes while slots of the step are unfinished.
    std::size_t maximumBatchSamples = 2048; ///< Maximum number of samples in one record. Keeps the stored value below 300 kB.
    duration initialStoreBackoff = std::chrono::milliseconds(200); ///< Delay before the first retry of a store call; doubles with each retry.
    duration maximumStoreBackoff = std::chrono::seconds(2);
    duration initialDraftBackoff = std::chrono::milliseconds(100); ///< Delay before the first retry of a failed draft; doubles with each failure.
    duration maximumDraftBackoff = std::chrono::seconds(5);
    duration adoptionWindow = std::chrono::milliseconds(1500); ///< Time after a takeover for gates to report drafts in progress; no new ones are ordered.
    duration reportTimeout = std::chrono::seconds(6); ///< A draft counts as lost after its gate has not reported it for this long.
    duration spoolTimeout = std::chrono::seconds(20); ///< Payloads count as lost after their spool was unreachable for this long.
    duration timerInterval = std::chrono::milliseconds(250); ///< Minimum interval between periodic timer events.
    duration draftCheckInterval = std::chrono::seconds(1); ///< Minimum interval between checks of all drafts and spools for stalls and timeouts.
    bool usesLeadPlanner = true; ///< If false, steps are drafted in order, as far ahead as the staleness bound allows.
    std::size_t maximumWaitingPulls = 64; ///< When full, the oldest waiting pull is answered without samples.
    std::size_t recordsPerRemoval = 100; ///< Maximum number of records deleted in one transaction; etcd allows 128 operations.
    straggler_options stragglers;
};

/** Event counts of a run_owner since its construction. */
struct run_owner_counts
{
    std::uint64_t ordered = 0; ///< Drafts ordered.
    std::uint64_t redrawn = 0; ///< Drafts, unfinished or finished, discarded to draft the slot again with a newer weight version.
    std::uint64_t moved = 0; ///< Stragglers told to continue on another server.
    std::uint64_t givenUp = 0; ///< Stragglers cancelled because moving them did not help.
    std::uint64_t dropped = 0; ///< Drafts discarded before sealing, for any reason.
    std::uint64_t sealed = 0; ///< Samples sealed, without replacements.
    std::uint64_t regenerated = 0; ///< Sealed samples that became unusable before their delivery was acknowledged and are drafted again.
    std::uint64_t sealWrites = 0; ///< Write attempts of seal records.
};

/** Owns one run on this node while the node holds the run's epoch; idle otherwise. */
class run_owner
{
public:
    run_owner(run_id run, run_owner_options options, decision_log *log = nullptr);

    /** Handles one event. @param now time of this process's monotonic clock @return the actions to perform, in order */
    run_actions onEvent(time_point now, const run_input &event);
    /** Returns the time at which to send the next timer event, or timeNever. */
    time_point nextDeadline() const;

    run_phase phase() const
    {
        return m_stateMachine.phase();
    }
    /** Returns the last epoch at which this node owned the run; 0 if it never did. */
    epoch_number epoch() const
    {
        return m_epoch;
    }
    /** Returns the step that the trainer is working on or waiting for. */
    std::uint64_t trainerStep() const
    {
        return m_trainerStep;
    }
    /** Returns the highest batch number known to be in the store. */
    std::uint64_t lastBatchNumber() const
    {
        return m_lastBatchNumber;
    }
    const run_owner_counts &counts() const
    {
        return m_counts;
    }
    /** Returns how urgently this run needs drafts; used to divide engines among runs. */
    run_need need(time_point now) const;
    /** Returns the state as JSON for diagnostics. */
    nlohmann::json dump() const;

private:
    /** The write of a seal record in progress. */
    struct pending_write
    {
        seal_record record;
        std::uint64_t attempt = 0; ///< Number of the latest store call; results of earlier calls are ignored.
        bool isReadingBack = false; ///< The result of the write is unknown and the record is being read back.
        bool isBackingOff = false; ///< Waits for retryAt before the next attempt.
        time_point retryAt{};
        duration backoff{};
    };
    struct waiting_pull
    {
        pull_token token = 0;
        std::uint64_t number = 0; ///< Number of the requested batch.
        time_point until; ///< Answered without samples at this time.
    };

    void handle(const run_event::settings_changed &event);
    void handle(const run_event::ownership_gained &event);
    void handle(const run_event::ownership_lost &event);
    void handle(const run_event::gates_changed &event);
    void handle(const run_event::spools_changed &event);
    void handle(const run_event::versions_changed &event);
    void handle(const run_event::draft_ended &event);
    void handle(const run_event::gate_reported &event);
    void handle(const run_event::pull_requested &event);
    void handle(const run_event::pull_abandoned &event);
    void handle(const run_event::seal_write_ended &event);
    void handle(const run_event::seal_read_ended &event);
    void handle(const run_event::payload_lost &event);
    void handle(const run_event::timer &event);

    // run_owner.cpp
    /** Takes over a batch read from the store: marks its slots as sealed. */
    void adoptBatch(const seal_record &record);
    /** Returns the step shape in the current settings. */
    step_shape shape() const;
    /** Orders, seals and answers whatever the current state allows. Called after every event. */
    void runDueWork();
    bool isOwner() const
    {
        return m_stateMachine.phase() != run_phase::Standby;
    }
    bool maySeal() const
    {
        return m_stateMachine.phase() == run_phase::Open || m_stateMachine.phase() == run_phase::Paused;
    }
    void logDecision(decision_kind kind, subject_kind subject, std::string id, error_kind cause, std::string detail);

    // run_owner_drafts.cpp
    void orderDrafts();
    void orderDraft(slot_entry &entry, draft_gate &gate);
    /** Discards an unfinished or finished draft and reopens its slot. @param countsAsFailure whether to delay the next draft by a backoff */
    void dropDraft(slot_entry &entry, error_kind cause, bool countsAsFailure);
    /** Discards the drafts of unsealed steps that used an older version than the one now served, if staleness outweighs idle time. */
    void redrawOutdatedDrafts();
    /** Tells whether no slot of the step is sealed and the trainer needs the step late enough to draft it again. */
    bool isRedrawWorthwhile(const step_slots &slots) const;
    /** Tells whether drafting of @p step may start now. */
    bool mayDraft(std::uint64_t step) const;
    /** Drops drafts that timed out, and moves or gives up stragglers. */
    void checkDraftProgress();
    /** Takes over a draft that an earlier owner ordered and that @p gate reports, or cancels it. */
    void adoptAttempt(const node_id &gate, const draft_progress_item &item);
    void recordProgress(slot_entry &entry, const draft_progress_item &item);
    /** Removes the slot's draft in progress, if any, from the bookkeeping of drafts. */
    void endAttempt(slot_entry &entry);
    /** Cancels the drafts of all steps before @p step and removes these steps from the step table. */
    void discardStepsBefore(std::uint64_t step);
    bool needsDraft(const slot_entry &entry) const;
    /** Returns the gate with the smallest part of its capacity in use, or null if all are full. */
    draft_gate *leastLoadedGate();
    bool isGateKnown(const node_id &node) const;

    // run_owner_seals.cpp
    void sealReadySamples();
    /** Tells whether to seal the ready samples of the step now, rather than to wait for more. */
    bool isSealDue(const step_slots &slots) const;
    /** Starts to write a record of the step's ready samples. */
    void startSeal(step_slots &slots);
    /** Starts to rewrite one batch whose unusable samples all have a replacement. @return whether a write was started */
    bool startAmendment();
    void discardUnreachableSamples();
    void recordUnreachableSpools();
    /** Reopens the slot of a sealed sample that is unusable; its batch is held back until the sample is replaced. */
    void requestReplacement(slot_entry &entry, std::uint64_t number, error_kind cause);
    /** Tells whether the slot's sample is sealed but the trainer has not acknowledged its batch. */
    bool isUnacknowledged(const slot_entry &entry) const;
    /** Tells whether all samples of @p record are within the staleness bound; requests replacements for those that are not. */
    bool checkStaleness(const seal_record &record);
    /** Sends the pending write, or the read that resolves its unknown result. */
    void sendWrite();
    void scheduleWriteRetry();
    /** The pending record is in the store: marks its slots as sealed. */
    void completeWrite();
    /** Gives up the run after the store fenced a write. */
    void stepDown();
    void answerPulls();
    void answerPull(pull_token token, const seal_record &record);
    /** @return whether the pull was answered and can be removed */
    bool tryAnswer(const waiting_pull &pull);
    void answerWithoutSamples(pull_token token, std::uint64_t number, error_kind kind);
    /** The trainer holds all batches up to number @p have. */
    void acknowledge(std::uint64_t have);
    /** Deletes the payloads and records of steps that the trainer has acknowledged completely. */
    void releaseAcknowledged();
    /** Raises the trainer's step to that of the highest batch requested. */
    void advanceTrainerStep(std::uint64_t requestedNumber);

    run_id m_run;
    run_owner_options m_options;
    decision_log *m_decisionLog;
    run_machine m_stateMachine;
    std::optional<run_settings> m_settings;
    step_table m_stepTable;
    straggler_detector m_stragglers;
    draft_lead_planner m_leadPlanner;
    run_owner_counts m_counts;
    run_actions m_actions; ///< Actions that result from the event being handled.
    time_point m_now; ///< Time of the event being handled.
    time_point m_nextTimerAt = timeNever;
    time_point m_nextDraftCheckAt{};

    epoch_number m_epoch = 0;
    std::uint64_t m_nextDraftId = 0;
    std::vector<draft_gate> m_gates;
    std::map<node_id, std::uint64_t> m_activeDraftsByGate;
    std::optional<std::set<node_id>> m_reachableSpools; ///< Nodes with a reachable spool; empty optional while unknown.
    std::map<node_id, time_point> m_spoolUnreachableSince; ///< For each unreachable spool, the time at which this was noticed.
    std::set<node_id> m_reportingGates; ///< Gates that sent a report since this node took the run over.
    time_point m_ordersNotBefore; ///< End of the adoption window; no drafts are ordered earlier.
    std::map<std::uint64_t, slot_id> m_slotOfDraft; ///< Slot of each draft in progress, by draft ID.
    weight_version m_publishedVersion = 0; ///< Newest version in the weight store.
    time_point m_publishedAt; ///< Time at which m_publishedVersion last rose.
    weight_version m_redrawnForVersion = 0; ///< Newest served version for which redrawOutdatedDrafts() has run.
    weight_version m_servedVersion = 0; ///< Newest version that any engine used for sampling serves; 0 if unknown.

    std::map<std::uint64_t, seal_record> m_batches; ///< Batches in the store that were not yet deleted, by number.
    std::uint64_t m_lastBatchNumber = 0; ///< Highest batch number known to be in the store.
    std::uint64_t m_nextStepToSeal = 1; ///< First step that is not sealed completely.
    std::uint64_t m_acknowledgedBatch = 0; ///< Highest batch number that the trainer confirmed to hold.
    std::uint64_t m_highestRequested = 0; ///< Highest pull number requested.
    std::uint64_t m_trainerStep = 1; ///< Step that the trainer is working on or waiting for.
    std::uint64_t m_releasedBeforeStep = 0; ///< Payloads of earlier steps were released.
    std::optional<pending_write> m_pendingWrite;
    std::uint64_t m_nextWriteAttempt = 1;
    std::set<std::uint64_t> m_batchesToAmend; ///< Sealed batches that are not delivered until their unusable samples are replaced.
    time_point m_lastSealAt; ///< Time of the last write of a new record.
    std::deque<waiting_pull> m_waitingPulls;
};

} // namespace reedtrail
