/**
 * @file
 * The owner of a training run: orders drafts, seals one for each slot, and hands batches to the trainer. Pure core: events in, actions out.
 *
 *     run_owner owner(run, {});
 *     owner.onEvent(now, run_event::settings_changed{settings});
 *     owner.onEvent(now, run_event::gates_changed{{{node, 64}}});
 *     for (run_action_item &action : owner.onEvent(now, run_event::ownership_gained{epoch, batchesInStore})) { ... }
 *     ... wake it with run_event::timer at owner.nextDeadline() ...
 *
 * Promises: a sample is visible to a trainer only after its record is in the store under the current epoch; pull N always gets the slots of record N; a sample
 * names one version for each token as the engine said it, and is never older than the bound. None of them needs this node's clock or memory.
 */
#pragma once

#include "base/decision_log.h"
#include "sampling/draft_objective.h"
#include "sampling/run_events.h"
#include "sampling/run_machine.h"
#include "sampling/step_book.h"
#include "sampling/straggler_watch.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace reedtrail {

/** Bounds and times of an owner. */
struct run_owner_options
{
    duration sealInterval = std::chrono::seconds(1); ///< Least time between two seal writes of a step that is not whole.
    std::size_t maximumBatch = 2048; ///< Samples in one record; keeps a value below 300 kB.
    duration storeRetryFirst = std::chrono::milliseconds(200);
    duration storeRetryLongest = std::chrono::seconds(2);
    duration draftRetryFirst = std::chrono::milliseconds(100);
    duration draftRetryLongest = std::chrono::seconds(5);
    duration adoptionWindow = std::chrono::milliseconds(1500); ///< After a takeover gates may report drafts under way before new ones are ordered.
    duration reportTimeout = std::chrono::seconds(6); ///< A draft that its gate no longer reports is lost after this.
    duration spoolPatience = std::chrono::seconds(20); ///< A spool that cannot be reached for longer has lost its payloads.
    duration tick = std::chrono::milliseconds(250); ///< Least time between two looks at what is ready.
    duration watchInterval = std::chrono::seconds(1); ///< Least time between two looks over all drafts.
    bool usesObjective = true; ///< Otherwise steps are drafted first come, first served, as far ahead as the staleness bound allows.
    std::size_t maximumWaitingPulls = 64;
    std::size_t recordsPerRemoval = 100; ///< Records removed by one transaction (etcd takes 128 operations).
    straggler_options stragglers;
};

/** What an owner has done since it was made. */
struct run_owner_counts
{
    std::uint64_t ordered = 0;
    std::uint64_t redrawn = 0; ///< Ready drafts dropped for one of a newer version.
    std::uint64_t moved = 0; ///< Stragglers told to resume elsewhere.
    std::uint64_t givenUp = 0; ///< Stragglers drawn anew.
    std::uint64_t dropped = 0; ///< Finished drafts that could not be used.
    std::uint64_t sealed = 0;
    std::uint64_t regenerated = 0;
    std::uint64_t sealWrites = 0;
};

/** The owner. */
class run_owner
{
public:
    run_owner(run_id run, run_owner_options options, decision_log *log = nullptr);

    /** Handles one event. @param now of this process's monotonic clock @return what to do, in order */
    run_actions onEvent(time_point now, const run_input &event);
    /** Returns when a timer event is wanted next; timeNever if none is. */
    time_point nextDeadline() const;

    run_phase phase() const
    {
        return m_machine.phase();
    }
    epoch_number epoch() const
    {
        return m_epoch;
    }
    /** Returns the step that the trainer works on or waits for. */
    std::uint64_t trainerStep() const
    {
        return m_trainerStep;
    }
    /** Returns the highest batch number fixed in the store. */
    std::uint64_t lastFixed() const
    {
        return m_lastFixed;
    }
    const run_owner_counts &counts() const
    {
        return m_counts;
    }
    /** Returns the need of this run for sharing engines among runs. */
    run_need need(time_point now) const;
    /** Returns the whole state for a person. */
    nlohmann::json dump() const;

private:
    struct pending_write
    {
        seal_record record;
        std::uint64_t attempt = 0;
        bool isReading = false; ///< A read decides what became of the write.
        bool isWaiting = false; ///< Between two attempts.
        time_point retryAt{};
        duration backoff{};
    };
    struct waiting_pull
    {
        pull_token token = 0;
        std::uint64_t number = 0;
        time_point until;
    };

    void handle(const run_event::settings_changed &event);
    void handle(const run_event::ownership_gained &event);
    void handle(const run_event::ownership_lost &event);
    void handle(const run_event::gates_changed &event);
    void handle(const run_event::spools_changed &event);
    void handle(const run_event::versions_seen &event);
    void handle(const run_event::draft_ended &event);
    void handle(const run_event::gate_reported &event);
    void handle(const run_event::pull_asked &event);
    void handle(const run_event::pull_gone &event);
    void handle(const run_event::seal_write_ended &event);
    void handle(const run_event::seal_read_ended &event);
    void handle(const run_event::payload_lost &event);
    void handle(const run_event::timer &event);

    // run_owner.cpp
    void adoptBatch(const seal_record &record);
    step_shape shape() const;
    void proceed();
    bool isOwner() const
    {
        return m_machine.phase() != run_phase::Standby;
    }
    bool maySeal() const
    {
        return m_machine.phase() == run_phase::Open || m_machine.phase() == run_phase::Paused;
    }
    void note(decision_kind kind, subject_kind subject, std::string id, error_kind cause, std::string detail);

    // run_owner_drafts.cpp
    void orderDrafts();
    void orderDraft(slot_entry &entry, draft_gate &gate);
    void dropDraft(slot_entry &entry, error_kind cause, bool countsAsFailure);
    void redrawOldDrafts();
    bool isRedrawWorthwhile(const step_slots &slots) const;
    bool mayDraft(std::uint64_t step) const;
    void watchStragglers();
    void adoptAttempt(const node_id &gate, const draft_progress_item &item);
    void noteProgress(slot_entry &entry, const draft_progress_item &item);
    void endAttempt(slot_entry &entry);
    void forgetStepsBefore(std::uint64_t step);
    bool isWanted(const slot_entry &entry) const;
    draft_gate *leastLoadedGate();
    bool isGateKnown(const node_id &node) const;

    // run_owner_seals.cpp
    void sealWhatIsReady();
    bool isSealDue(const step_slots &slots) const;
    void startSeal(step_slots &slots);
    bool startAmendment();
    void loseUnreachable();
    void noteLostSpools();
    void loseSample(slot_entry &entry, std::uint64_t number, error_kind cause);
    bool isUndelivered(const slot_entry &entry) const;
    bool isFreshEnough(const seal_record &record);
    void sendWrite();
    void retryWriteLater();
    void completeWrite();
    void abandonWrite();
    void answerPulls();
    void answerPull(pull_token token, const seal_record &record);
    bool tryAnswer(const waiting_pull &pull);
    void answerEmpty(pull_token token, std::uint64_t number, error_kind kind);
    void acknowledge(std::uint64_t have);
    void releaseAcknowledged();
    void advanceTrainer(std::uint64_t askedNumber);

    run_id m_run;
    run_owner_options m_options;
    decision_log *m_log;
    run_machine m_machine;
    std::optional<run_settings> m_settings;
    step_table m_book;
    straggler_detector m_stragglers;
    draft_lead_planner m_objective;
    run_owner_counts m_counts;
    run_actions m_actions; ///< Of the event being handled.
    time_point m_now;
    time_point m_nextTick = timeNever;
    time_point m_nextWatch{};

    epoch_number m_epoch = 0;
    std::uint64_t m_nextDraft = 0;
    std::vector<draft_gate> m_gates;
    std::map<node_id, std::uint64_t> m_activeByGate;
    std::optional<std::set<node_id>> m_spools; ///< Reachable ones; none while not known.
    std::map<node_id, time_point> m_spoolGoneAt; ///< Since when a spool that samples are in cannot be reached.
    std::set<node_id> m_reportingGates; ///< Those that have sent a report since this node owns the run.
    time_point m_orderFrom; ///< No drafts are ordered before.
    std::map<std::uint64_t, slot_id> m_slotOfDraft; ///< Of the drafts under way.
    weight_version m_published = 0;
    time_point m_publishedAt;
    weight_version m_redrawnFor = 0; ///< Newest version for which old drafts were looked through.
    weight_version m_served = 0;

    std::map<std::uint64_t, seal_record> m_fixed; ///< By number; those not yet removed.
    std::uint64_t m_lastFixed = 0;
    std::uint64_t m_nextStepToSeal = 1;
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_asked = 0; ///< Highest pull number asked for.
    std::uint64_t m_trainerStep = 1;
    std::uint64_t m_releasedBefore = 0;
    std::optional<pending_write> m_write;
    std::uint64_t m_nextAttempt = 1;
    std::set<std::uint64_t> m_broken; ///< Fixed batches with a sample that must be replaced before they can be delivered.
    time_point m_lastSealAt;
    std::deque<waiting_pull> m_pulls;
};

} // namespace reedtrail
