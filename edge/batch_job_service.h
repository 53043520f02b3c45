/**
 * @file
 * Batch jobs at this node: accepts them, answers reads, ends them, and runs those that it owns.
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
#include <string>
#include <vector>

namespace reedtrail {

/** The desk. */
class batch_job_service : public service
{
public:
    static constexpr duration longestWait = std::chrono::milliseconds(1000); ///< Of a read, whatever it asks for: callers wait a second and a half longer.

    batch_job_service(edge_context &context, fleet_cache &fleet);

    result<void> start(kernel &process) override;
    void drain(std::function<void()> done) override;
    nlohmann::json dump() const override;

    /** The store serves this node again: what waits to be tried again is tried now. */
    void storeRegained();
    /** Tells whether this node has jobs that rest on its lease. */
    bool needsLease() const;

    /** Tells whether this node runs the job. */
    bool runs(const std::string &job) const;

    /** @param mayBeRecorded whether another node may have recorded the job for this very call, so that "not recorded" is not known to be true */
    void submit(std::shared_ptr<http_exchange> exchange, const std::string &job, bool mayBeRecorded);
    void read(std::shared_ptr<http_exchange> exchange, const platform::job_read &call);
    void readItem(std::shared_ptr<http_exchange> exchange, const platform::job_item_read &call);
    void end(std::shared_ptr<http_exchange> exchange, const platform::job_end &call);

private:
    using session_type = job_session<edge_store, asio_loop>;
    struct reader
    {
        std::shared_ptr<http_exchange> exchange;
        std::size_t from = 0;
        time_point until;
    };
    struct entry
    {
        std::string job;
        std::shared_ptr<session_type> session;
        std::shared_ptr<job_worker> worker;
        std::optional<job_spec> spec; ///< Decoded document, while it is needed.
        std::size_t total = 0; ///< Items of the job; 0 until its document was decoded once.
        std::vector<reader> readers;
        std::vector<std::function<void(load_outcome)>> loading;
        bool isLoading = false;
        bool isStarting = false; ///< The worker waits for what earlier jobs have left.
        time_point usedAt;
    };

    std::shared_ptr<entry> open(const std::string &job);
    void withImage(const std::shared_ptr<entry> &place, std::function<void(load_outcome)> action);
    bool decodeDocument(entry &place);
    void settleRead(const std::shared_ptr<entry> &place, const reader &waiting);
    void answerRead(const entry &place, const reader &waiting);
    void answerReaders(const std::shared_ptr<entry> &place);
    void owned(const std::shared_ptr<entry> &place);
    void startWorker(const std::shared_ptr<entry> &place, std::span<const store_key_value> left);
    void disowned(entry &place);
    void schedulePump();
    void pump();
    void tick();
    void forgetUnused(time_point now);
    std::size_t ownedJobs() const;
    void finishDrain();
    void refuse(const std::shared_ptr<http_exchange> &exchange, std::uint16_t status, const char *reason, const std::string &job);

    edge_context &m_context;
    fleet_cache &m_fleet;
    std::map<std::string, std::shared_ptr<entry>, std::less<>> m_entries;
    std::function<void()> m_drained;
    time_point m_drainBy;
    bool m_isPumpScheduled = false;
    bool m_isTicking = false;
};

} // namespace reedtrail
