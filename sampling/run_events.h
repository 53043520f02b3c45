/**
 * @file
 * Events that a run_owner handles and actions that it returns.
 *
 * An adapter turns messages, store answers and timers into events, and performs the actions as I/O.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "fleet/fleet_document.h"
#include "fleet/peer_messages.h"
#include "sampling/seal_record.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace reedtrail {

/** A gate that can generate drafts for this run. */
struct draft_gate
{
    node_id node;
    std::uint64_t capacity = 0; ///< Maximum number of this run's drafts in progress on the gate at once.
};

/** Handle by which the adapter and the owner refer to one waiting pull. */
using pull_token = std::uint64_t;

/** Result of writing a seal record. */
enum class seal_outcome : std::uint8_t {
    Written, ///< The record is in the store.
    Fenced, ///< The owner key no longer has the writer's epoch. Nothing was written.
    Unknown, ///< The record may or may not have been written. It must be read back.
    NotWritten, ///< The store refused the write or could not be reached. Nothing was written.
};

namespace run_event {

/** The run's settings, as confirmed by operators, changed. */
struct settings_changed
{
    run_settings settings;
};

/** This node became the owner of the run. */
struct ownership_gained
{
    epoch_number epoch = 0;
    std::vector<seal_record> batches; ///< All batches in the store, read after the owner key had this epoch.
};

/** This node lost the ownership of the run, or can no longer rely on it. */
struct ownership_lost
{
};

/** The complete list of gates that accept drafts changed. */
struct gates_changed
{
    std::vector<draft_gate> gates;
};

/** The complete list of nodes with a reachable spool changed. */
struct spools_changed
{
    std::vector<node_id> nodes;
};

/** A newer weight version was published or is being served. */
struct versions_changed
{
    weight_version published = 0; ///< Newest version in the weight store.
    weight_version served = 0; ///< Newest version that any engine used for sampling serves; 0 if unknown.
};

/** A gate finished a draft, successfully or with an error. */
struct draft_ended
{
    draft_result result;
};

/** A gate reported the complete list of this run's drafts in progress there, with their progress. */
struct gate_reported
{
    node_id gate;
    std::vector<draft_progress_item> drafts;
};

/** A trainer requested a batch of samples. */
struct pull_requested
{
    pull_token token = 0;
    pull_question question;
};

/** The requester of a waiting pull disconnected, so no answer is needed. */
struct pull_abandoned
{
    pull_token token = 0;
};

/** Result of a write_seal action. */
struct seal_write_ended
{
    std::uint64_t number = 0;
    std::uint64_t attempt = 0; ///< Attempt number of the write_seal action.
    seal_outcome outcome = seal_outcome::Unknown;
};

/** Result of a read_seal action. */
struct seal_read_ended
{
    std::uint64_t number = 0;
    std::uint64_t attempt = 0; ///< Attempt number of the read_seal action.
    bool isAnswered = false; ///< Whether the store answered. If not, the members below are not valid.
    bool isFound = false; ///< Whether the key holds a readable record.
    bool isOwner = false; ///< Whether the owner key still had this owner's epoch in the same read.
    seal_record record{}; ///< Valid if isFound.
};

/** A sample's payload is permanently lost from its spool. */
struct payload_lost
{
    slot_id slot;
    std::uint64_t draft = 0;
};

/** The time returned by run_owner::nextDeadline() was reached. */
struct timer
{
};

} // namespace run_event

/** Any event that run_owner handles. */
using run_input = std::variant<run_event::settings_changed,
                               run_event::ownership_gained,
                               run_event::ownership_lost,
                               run_event::gates_changed,
                               run_event::spools_changed,
                               run_event::versions_changed,
                               run_event::draft_ended,
                               run_event::gate_reported,
                               run_event::pull_requested,
                               run_event::pull_abandoned,
                               run_event::seal_write_ended,
                               run_event::seal_read_ended,
                               run_event::payload_lost,
                               run_event::timer>;

namespace run_action {

/** Send a draft order to a gate. */
struct order_draft
{
    node_id gate;
    draft_order order;
};

/** Cancel a draft at its gate. */
struct cancel_draft
{
    node_id gate;
    std::uint64_t draft = 0;
};

/** Tell a gate to continue a draft on another server from the tokens generated so far. */
struct move_draft
{
    node_id gate;
    std::uint64_t draft = 0;
};

/**
 * Write a seal record in one transaction, on condition that the owner key has the record's epoch and that the record's key was written exactly
 * record.revision times before.
 */
struct write_seal
{
    seal_record record;
    std::uint64_t attempt = 0;
};

/** Read a seal record and the owner key in one transaction. */
struct read_seal
{
    std::uint64_t step = 0;
    std::uint64_t number = 0;
    std::uint64_t attempt = 0;
};

/** Delete the records of acknowledged batches in one transaction, on condition that the owner key has the epoch. */
struct remove_seals
{
    struct batch
    {
        std::uint64_t step = 0;
        std::uint64_t number = 0;
    };
    epoch_number epoch = 0;
    std::vector<batch> batches;
};

/** Answer a waiting pull. */
struct answer_pull
{
    pull_token token = 0;
    pull_answer answer;
};

/** Tell all spools that the payloads of earlier steps may be deleted. */
struct release
{
    release_payloads payloads;
};

/** A write at this epoch was fenced, so another node may own the run. Give up this epoch; the node may claim the run again. */
struct step_down
{
    epoch_number epoch = 0;
};

} // namespace run_action

/** Any action that run_owner returns. */
using run_action_item = std::variant<run_action::order_draft,
                                     run_action::cancel_draft,
                                     run_action::move_draft,
                                     run_action::write_seal,
                                     run_action::read_seal,
                                     run_action::remove_seals,
                                     run_action::answer_pull,
                                     run_action::release,
                                     run_action::step_down>;

using run_actions = std::vector<run_action_item>;

} // namespace reedtrail
