/**
 * @file
 * Typed messages between the system's own processes that more than one part uses. Unknown fields are ignored and missing ones take their default.
 */
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(slot_id, run, step, group, index)

/** First message on a link: who speaks. */
struct hello
{
    static constexpr std::string_view messageName = "hello";
    node_id node;
    zone_id zone;
    std::string role; ///< "gate", "steward" or "spool".
    incarnation number = 0;
    std::string peerAddress; ///< Where the sender accepts links, "ip:port".
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(hello, node, zone, role, number, peerAddress)
};

/** Who owns a run now. */
struct run_owner_view
{
    run_id run;
    node_id node;
    epoch_number epoch = 0;
    std::string stewardAddress; ///< Peer address of the owner's steward.
    std::uint64_t trainerStep = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(run_owner_view, run, node, epoch, stewardAddress, trainerStep)
};

/** The same, as the stewards tell each other. */
struct run_owner_fact
{
    static constexpr std::string_view messageName = "run-owner";
    run_owner_view owner;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(run_owner_fact, owner)
};

/** A node with a disk. */
struct spool_view
{
    node_id node;
    zone_id zone;
    std::string address; ///< Peer address of its spool.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(spool_view, node, zone, address)
};

/** A node that is believed to be alive. */
struct node_view
{
    node_id node;
    zone_id zone;
    std::string gateAddress; ///< Peer address of its gate.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(node_view, node, zone, gateAddress)
};

/** What a steward tells the gate of its node, whole, at each change: settings in force and hints. */
struct fleet_view
{
    static constexpr std::string_view messageName = "fleet-view";
    std::uint64_t revision = 0; ///< Of the fleet document; 0 while none is known.
    nlohmann::json document; ///< The fleet document in force.
    std::vector<server_id> leavingServers; ///< From the VM list or from peers.
    std::vector<run_owner_view> owners;
    std::vector<spool_view> spools;
    std::vector<node_view> nodes; ///< This node included.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(fleet_view, revision, document, leavingServers, owners, spools, nodes)
};

/** Tokens [from, to) of an answer were made by one weight version. */
struct version_range
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    weight_version version = 0;
    auto operator<=>(const version_range &) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(version_range, from, to, version)
};

/** A run owner asks a gate for a draft. */
struct draft_order
{
    static constexpr std::string_view messageName = "draft-order";
    slot_id slot;
    std::uint64_t draft = 0; ///< Number of the draft, unique for the run.
    epoch_number epoch = 0;
    customer_id customer;
    pool_id pool;
    pool_id scorerPool;
    std::string prompt;
    std::uint64_t maximumTokens = 0;
    weight_version minimumVersion = 0;
    std::int64_t deadlineMs = 0; ///< From receipt.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_order, slot, draft, epoch, customer, pool, scorerPool, prompt, maximumTokens, minimumVersion, deadlineMs)
};

/** A gate tells the owner what became of a draft. The payload is in a spool by then. */
struct draft_result
{
    static constexpr std::string_view messageName = "draft-result";
    slot_id slot;
    std::uint64_t draft = 0;
    epoch_number epoch = 0;
    std::string error; ///< Name of the error kind; "none" if the draft is good.
    std::vector<version_range> versions; ///< As the engine said with its chunks.
    std::uint64_t tokens = 0;
    double score = 0;
    node_id spoolNode; ///< Which spool keeps the payload.
    std::string payloadKey;
    server_id server;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_result, slot, draft, epoch, error, versions, tokens, score, spoolNode, payloadKey, server)
};

/** One draft that a gate works on. */
struct draft_progress_item
{
    slot_id slot;
    std::uint64_t draft = 0;
    std::uint64_t tokens = 0; ///< So far; 0 while it waits for a server.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_progress_item, slot, draft, tokens)
};

/** A gate tells the owner, once a second, which drafts of a run it works on: all of them, queued ones too; an empty list once when the last has ended. */
struct draft_progress
{
    static constexpr std::string_view messageName = "draft-progress";
    run_id run;
    node_id gate;
    std::vector<draft_progress_item> drafts;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_progress, run, gate, drafts)
};

/** The owner tells a gate to cancel a draft that is no longer wanted; a draft not known is ignored. */
struct draft_cancel
{
    static constexpr std::string_view messageName = "draft-cancel";
    run_id run;
    std::uint64_t draft = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_cancel, run, draft)
};

/** The owner tells a gate to resume a draft that stands still on another server, from the tokens it has. */
struct draft_move
{
    static constexpr std::string_view messageName = "draft-move";
    run_id run;
    std::uint64_t draft = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_move, run, draft)
};

/** A gate tells the owner that a payload cannot be read from its spool. */
struct payload_missing
{
    static constexpr std::string_view messageName = "payload-missing";
    slot_id slot;
    std::uint64_t draft = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(payload_missing, slot, draft)
};

/** A gate passes a trainer's pull to the owner of the run. */
struct pull_question
{
    static constexpr std::string_view messageName = "pull-question";
    run_id run;
    std::uint64_t number = 0; ///< Pull number, rising from 1; the same number always gets the same samples.
    std::uint64_t have = 0; ///< Highest pull number whose samples the trainer holds.
    std::int64_t waitMs = 0;
    bool isForwarded = false; ///< Set by a steward that is not the owner; a forwarded question is not forwarded again.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(pull_question, run, number, have, waitMs, isForwarded)
};

/** A sealed sample as the owner hands it out. */
struct sealed_sample
{
    slot_id slot;
    std::uint64_t draft = 0;
    std::vector<version_range> versions;
    std::uint64_t tokens = 0;
    double score = 0;
    node_id spoolNode;
    std::string payloadKey;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(sealed_sample, slot, draft, versions, tokens, score, spoolNode, payloadKey)
};

/** The owner's answer to a pull. */
struct pull_answer
{
    static constexpr std::string_view messageName = "pull-answer";
    std::string error; ///< Name of the error kind; "none" if the samples are there.
    std::uint64_t number = 0;
    std::uint64_t step = 0;
    std::vector<sealed_sample> samples; ///< Empty if none were sealed within the wait.
    bool isStepComplete = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(pull_answer, error, number, step, samples, isStepComplete)
};

/** A gate stores a payload in a spool. */
struct store_payload
{
    static constexpr std::string_view messageName = "store-payload";
    run_id run;
    std::uint64_t step = 0;
    std::string key;
    std::string bytes;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(store_payload, run, step, key, bytes)
};

/** The spool's answer once the payload is on disk. */
struct payload_stored
{
    static constexpr std::string_view messageName = "payload-stored";
    std::string error;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(payload_stored, error)
};

/** Asks a spool for a payload. */
struct read_payload
{
    static constexpr std::string_view messageName = "read-payload";
    std::string key;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(read_payload, key)
};

/** The payload. */
struct payload_read
{
    static constexpr std::string_view messageName = "payload-read";
    std::string error;
    std::string bytes;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(payload_read, error, bytes)
};

/** The owner tells a spool that payloads of steps before this one are no longer needed. */
struct release_payloads
{
    static constexpr std::string_view messageName = "release-payloads";
    run_id run;
    std::uint64_t beforeStep = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(release_payloads, run, beforeStep)
};

} // namespace reedtrail
