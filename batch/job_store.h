/**
 * @file
 * Keys and values of batch jobs in the store, and the transactions that write them. Does no input or output.
 *
 *     reedtrail/job/ID/facts        job_metadata; written once, with the document, when the job is accepted
 *     reedtrail/job/ID/document/N   the submitted document, in parts
 *     reedtrail/job/ID/result/N     a batch of results; written once, by the owner, never changed
 *     reedtrail/job/ID/state/owner  job_owner_record, attached to the owner's lease; absent while no node runs the job
 *     reedtrail/job/ID/state/end    present once the caller has ended the job
 *     reedtrail/draft/ID            drafts of unfinished items, rewritten by the owner from time to time; outside the job's prefix so that readers are not
 *                                   notified of each change
 *     reedtrail/left/MODEL/PARITY   groups that the job of an even or odd step left incomplete; a trainer's job carries over groups of its last job but one
 *     reedtrail/demand/MODEL        expected tokens of the newest job of a model, from which the number of servers that the model needs is planned
 *
 * Safety depends only on the transactions: a job is created only if its facts key is absent, and a batch of results only if its key is absent and the owner
 * key is at the revision that the writer knows. Clocks and leases affect how soon a job resumes after its owner is lost. They never allow two results at one
 * position.
 */
#pragma once

#include "batch/job_types.h"
#include "fleet/store_types.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** The process that runs a job. */
struct job_owner_record
{
    std::string node; ///< Name of the node.
    std::string incarnation; ///< Identifies the node's process, so that a restart is a different owner.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(job_owner_record, node, incarnation)
};

/** Store keys of a job, and of the records that its model has across jobs. See the head of this file. */
namespace job_key {
std::string prefix(std::string_view job);
std::string metadata(std::string_view job);
std::string documentPart(std::string_view job, std::size_t part);
std::string statePrefix(std::string_view job);
std::string owner(std::string_view job);
std::string resultBatch(std::string_view job, std::size_t batch);
std::string end(std::string_view job);
std::string drafts(std::string_view job);
std::string demand(std::string_view model);
std::string incompleteGroupsPrefix(std::string_view model);
std::string incompleteGroups(std::string_view model, std::uint64_t step);
inline constexpr std::string_view demandPrefix = "reedtrail/demand/";
} // namespace job_key

/** Maximum size of a part of the document, in bytes: the store's limit for a value minus room for its encoding. */
inline constexpr std::size_t maximumDocumentPartBytes = 700U << 10U;
/** Maximum number of document parts. The accepting transaction has at most 32 entries, of which metadata, demand and owner take one each; some stay free. */
inline constexpr std::size_t maximumDocumentParts = 24;

/** Creates a job that is owned by @p owner from the start. @return nothing if the document is too large */
std::optional<store_txn>
acceptTransaction(std::string_view job, const job_metadata &metadata, std::string_view document, const job_owner_record &owner, store_lease_id lease);
/** Decodes the expected tokens in the value of a demand key. @return nothing if the value is invalid */
std::optional<double> decodeDemand(std::string_view value);
/** Takes over a job that has not ended and whose owner key is at @p expectedRevision, or absent if that is 0. */
store_txn claimTransaction(std::string_view job, store_revision expectedRevision, const job_owner_record &owner, store_lease_id lease);
/** Releases a job so that another node can take it over immediately. */
store_txn releaseTransaction(std::string_view job, store_revision ownerRevision);
/** Appends a batch of results if the owner key is still at @p ownerRevision. @param drafts encoded drafts to store in the same transaction; empty for none */
store_txn
appendTransaction(std::string_view job, store_revision ownerRevision, std::size_t batch, std::span<const item_result> results, const std::string &drafts);
/** Stores encoded drafts without results. */
store_txn keepDraftsTransaction(std::string_view job, store_revision ownerRevision, const std::string &drafts);
/**
 * Ends a job. From then on no owner may append results or run items.
 * @param additionalPuts further writes of the same transaction
 */
store_txn endTransaction(std::string_view job, std::span<const store_put> additionalPuts = {});

/** Encodes the names of the groups that a job leaves incomplete. */
std::string encodeIncompleteGroups(std::span<const std::string> groups);
/** Decodes names of incomplete groups. An invalid value is logged and yields an empty list. */
std::vector<std::string> decodeIncompleteGroups(std::string_view bytes);

/** Encodes drafts for job_key::drafts(). */
std::string encodeDrafts(std::span<const item_draft> drafts);
/** Decodes drafts. Decoding stops at the first invalid entry, which is logged. */
std::vector<item_draft> decodeDrafts(std::string_view bytes);

/** This node's view of the keys under reedtrail/job/ID/, built from reads and kept up to date by watch events. */
class job_view
{
public:
    explicit job_view(std::string job);

    /** Applies a key and value that was read, written by this node, or reported by a watch. */
    void apply(const store_key_value &item);
    /** Applies the deletion of a key. */
    void applyDelete(std::string_view key);
    /** Clears the view before the result of a complete read is applied. */
    void clear();

    /** Returns whether the job is known to exist. */
    bool isPresent() const
    {
        return m_metadata.has_value();
    }
    bool isEnded() const
    {
        return m_isEnded;
    }
    /** Returns the metadata; the job must be present. */
    const job_metadata &metadata() const
    {
        return *m_metadata;
    }
    /** Returns the submitted document, joined from its parts. */
    std::string document() const;
    const std::optional<job_owner_record> &owner() const
    {
        return m_owner;
    }
    store_revision ownerRevision() const
    {
        return m_ownerRevision;
    }
    /** Returns the lease that the owner key is attached to. */
    store_lease_id ownerLease() const
    {
        return m_ownerLease;
    }
    /** Returns the recorded results in the order of their positions. */
    const std::vector<item_result> &results() const
    {
        return m_results;
    }
    /** Returns the number of the next batch of results. */
    std::size_t nextBatch() const
    {
        return m_nextBatch;
    }
    /** Appends a batch that this node has recorded itself. */
    void appendRecorded(std::span<const item_result> results);

private:
    void applyContiguousBatches();

    std::string m_job;
    std::optional<job_metadata> m_metadata;
    std::map<std::size_t, std::string> m_documentParts;
    std::optional<job_owner_record> m_owner;
    store_revision m_ownerRevision = 0;
    store_lease_id m_ownerLease = 0;
    std::map<std::size_t, std::vector<item_result>> m_outOfOrderBatches; ///< Batches that were received before one of their predecessors.
    std::vector<item_result> m_results;
    std::size_t m_nextBatch = 0;
    bool m_isEnded = false;
};

} // namespace reedtrail
