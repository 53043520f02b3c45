/**
 * @file
 * What a batch job leaves in the store, and the transactions that write it. Pure.
 *
 *     reedtrail/job/ID/facts        job_facts; written once, with the document, when the job is accepted
 *     reedtrail/job/ID/document/N   what the caller submitted, in parts
 *     reedtrail/job/ID/result/N     a batch of results; written once, by the owner, never changed
 *     reedtrail/job/ID/state/owner  job_owner_record under the owner's lease; gone when nobody runs the job
 *     reedtrail/job/ID/state/end    present once the caller has ended the job
 *     reedtrail/draft/ID            texts under way, rewritten by the owner now and then; apart from the rest so that readers are not told of each change
 *     reedtrail/left/MODEL/PARITY   groups that the job of an even or odd step has left unfinished; a job follows the last but one of its trainer
 *     reedtrail/demand/MODEL        expected tokens of the newest job of a model; tells who orders weights how many servers the model needs
 *
 * Safety rests on the transactions alone: a job is created only where no facts are, and a batch of results only where its key is absent and the owner key is
 * as the writer knows it. Clocks and leases decide how soon a job goes on after a loss, never whether a position may hold two results.
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

/** Who runs a job. */
struct job_owner_record
{
    std::string node;
    std::string incarnation; ///< Of the node's process; tells its restarts apart.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(job_owner_record, node, incarnation)
};

/** Keys of one job. */
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

/** Longest part of a document in one value: the store's bound for a value less room for its encoding. */
inline constexpr std::size_t documentPartBytes = 700U << 10U;
/** Most parts in the transaction that accepts a job: 32 entries less those for facts, demand and owner, with room to spare. */
inline constexpr std::size_t maximumDocumentParts = 24;

/** Accepts a job for the owner that writes it. @return nothing if the document is too large */
std::optional<store_txn>
acceptTransaction(std::string_view job, const job_metadata &metadata, std::string_view document, const job_owner_record &owner, store_lease_id lease);
/** Reads the expected tokens of a demand key. @return nothing if it cannot be read */
std::optional<double> decodeDemand(std::string_view value);
/** Takes a job whose owner key is at @p seenRevision, 0 if it is absent. */
store_txn claimTransaction(std::string_view job, store_revision seenRevision, const job_owner_record &owner, store_lease_id lease);
/** Gives a job back, so that another node can take it at once. */
store_txn releaseTransaction(std::string_view job, store_revision ownerRevision);
/** Appends a batch of results under the owner key's revision. @param drafts encoded texts under way to keep beside; none if empty */
store_txn
appendTransaction(std::string_view job, store_revision ownerRevision, std::size_t batch, std::span<const item_result> results, const std::string &drafts);
/** Keeps texts under way without any result. */
store_txn keepDraftsTransaction(std::string_view job, store_revision ownerRevision, const std::string &drafts);
/**
 * Ends a job: no owner may append or run items from then on.
 * @param beside what else is to be written in the same step
 */
store_txn endTransaction(std::string_view job, std::span<const store_put> beside = {});

/** Encodes the names of groups that a job has left. */
std::string encodeIncompleteGroups(std::span<const std::string> groups);
/** Decodes them; what cannot be read is logged and counts as none. */
std::vector<std::string> decodeIncompleteGroups(std::string_view bytes);

/** Encodes texts under way. */
std::string encodeDrafts(std::span<const item_draft> drafts);
/** Decodes texts under way; what cannot be read is logged and left out. */
std::vector<item_draft> decodeDrafts(std::string_view bytes);

/** All that the store holds of one job, kept up to date from reads and watch events. */
class job_view
{
public:
    explicit job_view(std::string job);

    /** Takes one key as read or as written. */
    void apply(const store_key_value &item);
    /** Takes the end of a key. */
    void applyDelete(std::string_view key);
    /** Forgets everything before a new complete read. */
    void clear();

    bool isPresent() const
    {
        return m_metadata.has_value();
    }
    bool isEnded() const
    {
        return m_isEnded;
    }
    const job_metadata &metadata() const
    {
        return *m_metadata;
    }
    /** Returns what the caller submitted. */
    std::string document() const;
    const std::optional<job_owner_record> &owner() const
    {
        return m_owner;
    }
    store_revision ownerRevision() const
    {
        return m_ownerRevision;
    }
    /** Returns the lease that the owner key stands under. */
    store_lease_id ownerLease() const
    {
        return m_ownerLease;
    }
    /** Returns the results that are recorded, in the order of their positions. */
    const std::vector<item_result> &results() const
    {
        return m_results;
    }
    /** Returns the number of the next batch of results. */
    std::size_t nextBatch() const
    {
        return m_nextBatch;
    }
    /** Takes a batch that this node has recorded itself. */
    void appendOwn(std::span<const item_result> results);

private:
    void takeBatches();

    std::string m_job;
    std::optional<job_metadata> m_metadata;
    std::map<std::size_t, std::string> m_parts;
    std::optional<job_owner_record> m_owner;
    store_revision m_ownerRevision = 0;
    store_lease_id m_ownerLease = 0;
    std::map<std::size_t, std::vector<item_result>> m_earlyBatches; ///< Batches whose predecessors have not been seen yet.
    std::vector<item_result> m_results;
    std::size_t m_nextBatch = 0;
    bool m_isEnded = false;
};

} // namespace reedtrail
