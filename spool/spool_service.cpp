// Group commit: while one batch is written, new payloads are staged for the next. The rate of syncs is therefore bounded by the disk rather than by the
// number of callers, and each caller waits for at most two syncs.

#include "spool/spool_service.h"

#include "fleet/peer_messages.h"
#include "kernel/log.h"
#include "net/peer_bus.h"
#include "spool/journal.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <optional>
#include <thread>
#include <unordered_map>

namespace reedtrail {
namespace {

using stored_reply = peer_bus::reply<payload_stored>;

std::string errorName(error_kind kind)
{
    return std::string(answerFor(kind).name);
}

/** Implementation of the service; see spool_service.h. */
class spool_service : public service
{
public:
    explicit spool_service(process_context &context)
        : m_control(context.control)
        , m_settings(context.settings)
        , m_bus(context.control, busOptions(context.settings))
        , m_journal(m_files, optionsOf(context.settings))
        , m_storedCounter(context.metrics.counter("reedtrail_spool_stored_total", "Payloads stored"))
        , m_refusedCounter(context.metrics.counter("reedtrail_spool_refused_total", "Payloads refused"))
        , m_syncTime(context.metrics.latency("reedtrail_spool_sync_seconds", "Time to write and sync a batch"))
        , m_fileBytes(context.metrics.gauge("reedtrail_spool_file_bytes", "Bytes of the segment files"))
    {
    }

    result<void> start(kernel &) override
    {
        if (!m_settings.listen.spoolPeer) {
            return fail(error_kind::BadSettings, "listen.spoolPeer: is missing; must be IP:PORT on a VM that runs reedtrail-spool");
        }
        BOOST_LEAF_CHECK(m_journal.open());
        const journal_counts counts = m_journal.counts();
        logLine(
            log_level::Info,
            "spool-opened",
            { { "payloads", std::to_string(counts.payloads) }, { "bytes", std::to_string(counts.fileBytes) }, { "torn", std::to_string(counts.tornBytes) } });
        m_bus.onQuestion<store_payload, payload_stored>([this](link_id, const store_payload &question, const stored_reply &reply) {
            store(question, reply);
        });
        m_bus.onQuestion<read_payload, payload_read>([this](link_id, const read_payload &question, const peer_bus::reply<payload_read> &reply) {
            read(question, reply);
        });
        m_bus.onMessage<release_payloads>([this](link_id, const release_payloads &message) {
            m_journal.release(message.run.view(), message.beforeStep);
            writeStaged();
        });
        m_writer.emplace([this] {
            m_writerLoop.run();
        });
        return m_bus.listen(*m_settings.listen.spoolPeer);
    }

    void drain(std::function<void()> done) override
    {
        m_isDraining = true;
        if (m_isWriting) {
            m_onDrained = std::move(done);
        } else {
            done();
        }
    }

    void stop() override
    {
        m_bus.stop();
        m_writerGuard.reset();
        if (m_writer && m_writer->joinable()) {
            m_writer->join();
        }
    }

    nlohmann::json dump() const override
    {
        const journal_counts counts = m_journal.counts();
        return { { "payloads", counts.payloads },
                 { "segments", counts.segments },
                 { "fileBytes", counts.fileBytes },
                 { "limitBytes", optionsOf(m_settings).limitBytes },
                 { "batches", counts.batches },
                 { "failedBatches", counts.failedBatches },
                 { "refusedFull", counts.refusedFull },
                 { "tornBytesAtStart", counts.tornBytes },
                 { "holesAtStart", counts.corruptSegments },
                 { "waiting", m_waitingReplies.size() },
                 { "isDraining", m_isDraining } };
    }

private:
    static peer_bus_options busOptions(const node_settings &settings)
    {
        peer_bus_options options;
        options.transport.tls = settings.peerTls;
        return options;
    }

    static journal_options optionsOf(const node_settings &settings)
    {
        journal_options options;
        options.folder = settings.dataFolder + "/spool";
        options.limitBytes = static_cast<std::uint64_t>(settings.dataFolderLimitMiB) << 20U;
        options.segmentBytes = std::clamp<std::uint64_t>(options.limitBytes / 16, 64U << 10U, options.segmentBytes);
        return options;
    }

    void store(const store_payload &question, const stored_reply &reply)
    {
        if (m_isDraining) {
            reply({ errorName(error_kind::Draining) });
            return;
        }
        bool isPending = false;
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(isPending, m_journal.stage(question.run.view(), question.step, question.key, question.bytes));
            return {};
        });
        if (error) {
            m_refusedCounter.add();
            reply({ errorName(error->kind) });
        } else if (!isPending) {
            reply({ errorName(error_kind::None) });
        } else {
            m_waitingReplies.emplace(question.key, reply);
            writeStaged();
        }
    }

    void read(const read_payload &question, const peer_bus::reply<payload_read> &reply)
    {
        payload_read answer;
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(answer.bytes, m_journal.read(question.key));
            return {};
        });
        answer.error = errorName(error ? error->kind : error_kind::None);
        reply(answer);
    }

    /** Passes the staged records to the writer thread as a batch unless a batch is in progress. */
    void writeStaged()
    {
        if (m_isWriting || !m_journal.hasStaged()) {
            return;
        }
        m_isWriting = true;
        const auto batch = std::make_shared<journal_batch>(m_journal.takeBatch());
        boost::asio::post(m_writerLoop, [this, batch] {
            const time_point began = monotonicNow();
            batch->error = m_journal.write(*batch);
            const duration taken = monotonicNow() - began;
            boost::asio::post(m_control, [this, batch, taken] {
                onBatchWritten(*batch, taken);
            });
        });
    }

    /** Finishes a batch on the control thread, replies to its callers and begins the next batch. */
    void onBatchWritten(const journal_batch &batch, duration taken)
    {
        m_isWriting = false;
        m_syncTime.record(taken);
        m_journal.finish(batch);
        m_fileBytes.set(static_cast<double>(m_journal.counts().fileBytes));
        const error_kind kind = batch.error == 0 ? error_kind::None : error_kind::DiskFull;
        if (batch.error != 0) {
            logLine(log_level::Error, "spool-write-failed", { { "error", std::strerror(batch.error) }, { "payloads", std::to_string(batch.keys.size()) } });
        }
        for (const std::string &key : batch.keys) {
            replyToWaiting(key, kind);
        }
        writeStaged();
        if (!m_isWriting && m_onDrained) {
            std::exchange(m_onDrained, nullptr)();
        }
    }

    /** Replies to all store requests that wait for @p key. */
    void replyToWaiting(const std::string &key, error_kind kind)
    {
        const auto [first, last] = m_waitingReplies.equal_range(key);
        for (auto each = first; each != last; ++each) {
            each->second({ errorName(kind) });
            (kind == error_kind::None ? m_storedCounter : m_refusedCounter).add();
        }
        m_waitingReplies.erase(first, last);
    }

    boost::asio::io_context &m_control;
    const node_settings &m_settings;
    posix_files m_files;
    peer_bus m_bus;
    journal<posix_files> m_journal;
    std::unordered_multimap<std::string, stored_reply> m_waitingReplies;
    metric_counter &m_storedCounter;
    metric_counter &m_refusedCounter;
    metric_latency &m_syncTime;
    metric_gauge &m_fileBytes;
    boost::asio::io_context m_writerLoop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_writerGuard{ m_writerLoop.get_executor() };
    std::optional<std::thread> m_writer;
    bool m_isWriting = false;
    bool m_isDraining = false;
    std::function<void()> m_onDrained;
};

} // namespace

std::unique_ptr<service> makeSpoolService(process_context &context)
{
    return std::make_unique<spool_service>(context);
}

} // namespace reedtrail
