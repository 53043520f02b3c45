/**
 * @file
 * Batch jobs on this node: accepts submissions, serves reads, ends jobs on request, and runs the jobs that this node owns.
 */
#pragma once

#include "batch/job_session.h"
#include "edge/edge_context.h"
#include "edge/fleet_cache.h"
#include "edge/job_worker.h"
#include "kernel/service.h"
#include "net/http_server.h"
#include "platform/caller_wire.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace reedtrail {

/**
 * Serves callers' batch job calls from the jobs' records in the store.
 *
 * Every node can serve every job. The node that owns a job also runs its items; job_session decides in the store who that is.
 */
class batch_job_service : public service
{
public:
    static constexpr duration maxReadWait = std::chrono::milliseconds(1000); ///< Upper bound of a read's long-poll time; callers allow 1.5 s beyond it.

    batch_job_service(edge_context &context, fleet_cache &fleet);

    result<void> start(kernel &process) override;
    void drain(std::function<void()> done) override;
    void stop() override;
    nlohmann::json dump() const override;

    /** Retries pending store calls at once. Called when the store serves this node again after an outage. */
    void onStoreRecovered();
    /** Tells whether this node owns jobs, whose owner keys depend on its lease. */
    bool needsLease() const;

    /** Tells whether this node owns the job. */
    bool ownsJob(const std::string &job) const;

    /**
     * Records a submitted job, or confirms it if it is recorded already.
     * @param customer for whom the call is made, as access_verdict::customer; a job of another customer is answered as one that does not exist, here and below
     * @param mayBeRecorded whether another node may have recorded the job for this same call, so that the caller must not be told that it was not recorded
     */
    void submit(std::shared_ptr<http_exchange> exchange, const std::string &job, const std::optional<std::string> &customer, bool mayBeRecorded);
    /** Responds with the results from a position on; waits up to maxReadWait for the first of them. */
    void read(std::shared_ptr<http_exchange> exchange, const platform::job_read &call, const std::optional<std::string> &customer);
    /** Responds with the request body of one item of a job. */
    void readItem(std::shared_ptr<http_exchange> exchange, const platform::job_item_read &call, const std::optional<std::string> &customer);
    /** Ends a job: records the end, so that its owner stops running it. */
    void end(std::shared_ptr<http_exchange> exchange, const platform::job_end &call, const std::optional<std::string> &customer);

private:
    using session_type = job_session<edge_store, asio_loop>;
    /** A caller's read that waits for a result. */
    struct pending_read
    {
        std::shared_ptr<http_exchange> exchange;
        std::size_t from = 0; ///< First position of the results that the caller asks for.
        time_point deadline; ///< The read is answered by then, with or without a result.
    };
    /** A job that this node owns, or that a caller asked for recently. */
    struct job_entry
    {
        std::string job;
        std::shared_ptr<session_type> session;
        std::shared_ptr<job_worker> worker; ///< Null unless this node owns the job.
        std::optional<job_spec> spec; ///< The decoded document; dropped when the job is no longer watched.
        std::size_t total = 0; ///< Number of items; 0 until the document has been decoded.
        std::vector<pending_read> pendingReads;
        std::vector<std::function<void(load_outcome)>> loadCallbacks; ///< Calls that wait for the load in progress.
        bool isLoading = false;
        bool isWorkerStarting = false; ///< The incomplete groups of earlier jobs are being read before the worker starts.
        time_point knownSince; ///< When this process first heard of the job.
        time_point lastUsedAt; ///< Time of the last call for this job.
    };

    std::shared_ptr<job_entry> findOrCreate(const std::string &job);
    void withLoadedView(const std::shared_ptr<job_entry> &entry, std::function<void(load_outcome)> action);
    bool decodeDocument(job_entry &entry);
    bool isHidden(const job_entry &entry, load_outcome outcome, const std::optional<std::string> &customer);
    void completeRead(const std::shared_ptr<job_entry> &entry, const pending_read &pendingRead);
    void respondToRead(const job_entry &entry, const pending_read &pendingRead);
    void completeDueReads(const std::shared_ptr<job_entry> &entry);
    void onOwnershipGained(const std::shared_ptr<job_entry> &entry);
    void startWorker(const std::shared_ptr<job_entry> &entry, std::span<const store_key_value> earlierGroups);
    void onOwnershipLost(job_entry &entry);
    void scheduleAdvance();
    void advance();
    void advanceInOrder(const std::function<bool(const job_worker &)> &isAffected);
    void onPlaceFreed(const std::string &job);
    void tick();
    void evictUnused(time_point now);
    std::size_t countUnfinishedOwnedJobs() const;
    void finishDrain();
    void refuse(const std::shared_ptr<http_exchange> &exchange, std::uint16_t status, const char *reason, const std::string &job);

    edge_context &m_context;
    fleet_cache &m_fleet;
    std::map<std::string, std::shared_ptr<job_entry>, std::less<>> m_entries;
    std::function<void()> m_onDrained;
    time_point m_drainDeadline;
    bool m_isAdvanceScheduled = false;
    time_point m_lastRoomLogAt; ///< When the order of jobs was logged last.
    bool m_isTicking = false;
};

} // namespace reedtrail
