/**
 * @file
 * Messages between gates, stewards and spools. Unknown fields are ignored, and missing fields take their default, so that releases can be mixed.
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

/** First message on a link. It identifies the sender. */
struct hello
{
    static constexpr std::string_view messageName = "hello";
    node_id node;
    zone_id zone;
    std::string role; ///< "gate", "steward" or "spool".
    incarnation number = 0; ///< Incarnation of the sending process.
    std::string peerAddress; ///< Address where the sender accepts links, "ip:port".
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(hello, node, zone, role, number, peerAddress)
};

/** The current owner of a run and the trainer's progress. */
struct run_owner_view
{
    run_id run;
    node_id node;
    epoch_number epoch = 0; ///< Fencing token of the ownership; increases with each new owner.
    std::string stewardAddress; ///< Peer address of the owner's steward.
    std::uint64_t trainerStep = 0; ///< Step that the trainer is working on.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(run_owner_view, run, node, epoch, stewardAddress, trainerStep)
};

/** A run_owner_view, as stewards gossip it to each other. */
struct run_owner_fact
{
    static constexpr std::string_view messageName = "run-owner";
    run_owner_view owner;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(run_owner_fact, owner)
};

/** A node with a disk, which runs a spool. */
struct spool_view
{
    node_id node;
    zone_id zone;
    std::string address; ///< Peer address of the spool.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(spool_view, node, zone, address)
};

/** A live node. */
struct node_view
{
    node_id node;
    zone_id zone;
    std::string gateAddress; ///< Peer address of the node's gate.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(node_view, node, zone, gateAddress)
};

/** Complete view of the fleet that a steward sends to the gate of its node at each change: the settings in force and soft state. */
struct fleet_view
{
    static constexpr std::string_view messageName = "fleet-view";
    std::uint64_t revision = 0; ///< Revision of the fleet document; 0 while no document is known.
    nlohmann::json document; ///< The fleet document in force.
    std::vector<server_id> leavingServers; ///< Servers that are about to stop, according to the settings, the VM list or peers.
    std::vector<run_owner_view> owners;
    std::vector<spool_view> spools;
    std::vector<node_view> nodes; ///< All live nodes, this one included.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(fleet_view, revision, document, leavingServers, owners, spools, nodes)
};

/** Range [from, to) of the tokens of a response that one weight version generated. */
struct version_range
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    weight_version version = 0;
    auto operator<=>(const version_range &) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(version_range, from, to, version)
};

/** Order from a run owner to a gate to generate a draft, which is a candidate for one sample slot. */
struct draft_order
{
    static constexpr std::string_view messageName = "draft-order";
    slot_id slot;
    std::uint64_t draft = 0; ///< Number of the draft, unique within the run.
    epoch_number epoch = 0;
    customer_id customer;
    pool_id pool;
    pool_id scorerPool;
    std::string prompt;
    std::uint64_t maximumTokens = 0;
    weight_version minimumVersion = 0;
    std::int64_t deadlineMs = 0; ///< Time limit, counted from receipt of the order.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_order, slot, draft, epoch, customer, pool, scorerPool, prompt, maximumTokens, minimumVersion, deadlineMs)
};

/** Result of a draft, sent by a gate to the run owner. The payload of a successful draft is already stored in a spool. */
struct draft_result
{
    static constexpr std::string_view messageName = "draft-result";
    slot_id slot;
    std::uint64_t draft = 0;
    epoch_number epoch = 0;
    std::string error; ///< Name of the error kind; "none" on success.
    std::vector<version_range> versions; ///< Weight versions as the engine reported them with its chunks.
    std::uint64_t tokens = 0;
    double score = 0;
    node_id spoolNode; ///< Node whose spool holds the payload.
    std::string payloadKey;
    server_id server;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_result, slot, draft, epoch, error, versions, tokens, score, spoolNode, payloadKey, server)
};

/** Progress of one draft at a gate. */
struct draft_progress_item
{
    slot_id slot;
    std::uint64_t draft = 0;
    std::uint64_t tokens = 0; ///< Tokens generated so far; 0 while the draft waits for a server.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_progress_item, slot, draft, tokens)
};

/**
 * Progress report that a gate sends to the run owner once a second. It lists all drafts of the run that the gate has queued or is running. After the last one
 * has ended, the gate sends one report with an empty list.
 */
struct draft_progress
{
    static constexpr std::string_view messageName = "draft-progress";
    run_id run;
    node_id gate;
    std::vector<draft_progress_item> drafts;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_progress, run, gate, drafts)
};

/** Request from the run owner to a gate to cancel a draft. A gate ignores an unknown draft. */
struct draft_cancel
{
    static constexpr std::string_view messageName = "draft-cancel";
    run_id run;
    std::uint64_t draft = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_cancel, run, draft)
};

/** Request from the run owner to a gate to move a stalled draft to another server, which resumes it from the tokens generated so far. */
struct draft_move
{
    static constexpr std::string_view messageName = "draft-move";
    run_id run;
    std::uint64_t draft = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(draft_move, run, draft)
};

/** Report from a gate to the run owner that the payload of a draft cannot be read from its spool. */
struct payload_missing
{
    static constexpr std::string_view messageName = "payload-missing";
    slot_id slot;
    std::uint64_t draft = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(payload_missing, slot, draft)
};

/** Request for samples that a gate forwards from a trainer to the run owner. */
struct pull_question
{
    static constexpr std::string_view messageName = "pull-question";
    run_id run;
    std::uint64_t number = 0; ///< Number of the pull, counted from 1. Repeating a number returns the same samples.
    std::uint64_t have = 0; ///< Highest pull number whose samples the trainer has received.
    std::int64_t waitMs = 0; ///< How long the owner may wait for samples before it responds.
    bool isForwarded = false; ///< Set by a steward that is not the owner and forwards the request. A forwarded request is not forwarded again.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(pull_question, run, number, have, waitMs, isForwarded)
};

/** A sealed sample, as the owner delivers it. Its payload is read from a spool. */
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

/** Response of the run owner to a pull_question. */
struct pull_answer
{
    static constexpr std::string_view messageName = "pull-answer";
    std::string error; ///< Name of the error kind; "none" on success.
    std::uint64_t number = 0;
    std::uint64_t step = 0;
    std::vector<sealed_sample> samples; ///< Empty if no sample was sealed within the wait time.
    bool isStepComplete = false; ///< Whether these are the last samples of the step.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(pull_answer, error, number, step, samples, isStepComplete)
};

/** Request from a gate to a spool to store a payload. */
struct store_payload
{
    static constexpr std::string_view messageName = "store-payload";
    run_id run;
    std::uint64_t step = 0;
    std::string key;
    std::string bytes;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(store_payload, run, step, key, bytes)
};

/** Response of the spool to store_payload, sent once the payload is durable on disk. */
struct payload_stored
{
    static constexpr std::string_view messageName = "payload-stored";
    std::string error; ///< Name of the error kind; "none" on success.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(payload_stored, error)
};

/** Request to a spool to read a payload. */
struct read_payload
{
    static constexpr std::string_view messageName = "read-payload";
    std::string key;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(read_payload, key)
};

/** Response of the spool to read_payload. */
struct payload_read
{
    static constexpr std::string_view messageName = "payload-read";
    std::string error; ///< Name of the error kind; "none" on success.
    std::string bytes;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(payload_read, error, bytes)
};

/** Notice from the run owner to a spool that it may delete payloads of steps before @p beforeStep. */
struct release_payloads
{
    static constexpr std::string_view messageName = "release-payloads";
    run_id run;
    std::uint64_t beforeStep = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(release_payloads, run, beforeStep)
};

} // namespace reedtrail
