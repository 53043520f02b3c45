/**
 * @file
 * What the owner of a run is told and what it asks for. The adapter turns messages, store answers and timers into events, and actions into I/O.
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

/** A gate that makes drafts for this run. */
struct draft_gate
{
    node_id node;
    std::uint64_t capacity = 0; ///< Most drafts of this run it should work on at once.
};

/** Identifies one waiting pull to the adapter. */
using pull_token = std::uint64_t;

/** How a write of a seal record ended. */
enum class seal_outcome : std::uint8_t {
    Written, ///< The record is in the store.
    Fenced, ///< The owner key no longer carries this epoch; nothing was written.
    Unknown, ///< No answer: it may have been written.
    NotWritten, ///< The store refused or could not be reached: nothing was written.
};

namespace run_event {

/** Settings of the run as accepted by operators. */
struct settings_changed
{
    run_settings settings;
};

/** This node owns the run from now on; the batches are those in the store, read after the epoch was fixed. */
struct ownership_gained
{
    epoch_number epoch = 0;
    std::vector<seal_record> batches;
};

/** This node no longer owns the run, or cannot know that it does. */
struct ownership_lost
{
};

/** The gates that may be given drafts, whole. */
struct gates_changed
{
    std::vector<draft_gate> gates;
};

/** The nodes whose spools can be reached, whole. */
struct spools_changed
{
    std::vector<node_id> nodes;
};

/** Newest weight version in the weight store, and newest that every engine of the pool was seen to serve. */
struct versions_changed
{
    weight_version published = 0;
    weight_version served = 0; ///< Newest that any engine in sampling serves; 0 if not known.
};

/** A draft ended. */
struct draft_ended
{
    draft_result result;
};

/** A gate says which drafts of the run it works on, whole, and how far they have come. */
struct gate_reported
{
    node_id gate;
    std::vector<draft_progress_item> drafts;
};

/** A trainer asks for samples. */
struct pull_requested
{
    pull_token token = 0;
    pull_question question;
};

/** The asker of a pull has gone. */
struct pull_abandoned
{
    pull_token token = 0;
};

/** A write of a seal record ended. */
struct seal_write_ended
{
    std::uint64_t number = 0;
    std::uint64_t attempt = 0; ///< As in the action.
    seal_outcome outcome = seal_outcome::Unknown;
};

/** A read of a seal record ended. */
struct seal_read_ended
{
    std::uint64_t number = 0;
    std::uint64_t attempt = 0;
    bool isAnswered = false; ///< False if the store gave no answer.
    bool isFound = false;
    bool isOwner = false; ///< Whether the owner key still carried the epoch in the same read.
    seal_record record{}; ///< If found.
};

/** A payload cannot be read from its spool, nor will it be. */
struct payload_lost
{
    slot_id slot;
    std::uint64_t draft = 0;
};

/** The time given by nextDeadline() has come. */
struct timer
{
};

} // namespace run_event

/** Everything a run owner can be told. */
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

/** Give a draft to the gate of a node. */
struct order_draft
{
    node_id gate;
    draft_order order;
};

/** Tell a gate that a draft is no longer wanted. */
struct cancel_draft
{
    node_id gate;
    std::uint64_t draft = 0;
};

/** Tell a gate to resume a draft on another server from the tokens it has. */
struct move_draft
{
    node_id gate;
    std::uint64_t draft = 0;
};

/** Write a record at its key in one transaction: the owner key carries the epoch, and the record is the next revision of its key. */
struct write_seal
{
    seal_record record;
    std::uint64_t attempt = 0;
};

/** Read a record and the owner key in one transaction. */
struct read_seal
{
    std::uint64_t step = 0;
    std::uint64_t number = 0;
    std::uint64_t attempt = 0;
};

/** Remove the records of these batches, all acknowledged, in one transaction under the epoch. */
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

/** Tell all spools that payloads of earlier steps are no longer needed. */
struct release
{
    release_payloads payloads;
};

/** The store says that another owns the run: stop, and compete again if wanted. */
struct step_down
{
    epoch_number epoch = 0;
};

} // namespace run_action

/** Everything a run owner can ask for. */
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
