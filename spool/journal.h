/**
 * @file
 * The spool's journal: a durable key-value store of payloads in append-only segment files, bounded in bytes.
 *
 *     journal<posix_files> log(files, {.folder = "/var/lib/reedtrail/spool", .limitBytes = 1 << 30});
 *     BOOST_LEAF_CHECK(log.open());                         // recovers all payloads and truncates a torn tail
 *     BOOST_LEAF_CHECK(log.stage("run-1", 7, "key", bytes)); // DiskFull if there is no room; nothing is stored
 *     journal_batch batch = log.takeBatch();
 *     batch.error = log.write(batch);                       // blocks on the disk; may run on another thread
 *     log.finish(batch);                                    // the batch's payloads are now committed
 *     BOOST_LEAF_AUTO(bytes, log.read("key"));
 *
 * At most one batch is in progress; payloads staged in the meantime form the next one (group commit). A payload is committed once its batch is written
 * and synced; a payload that was not committed may or may not exist after a crash. Payloads are released by run and step, and a segment is deleted once all
 * of its payloads are released. Each new segment begins with the releases in force, so deleting older segments never restores a released payload.
 *
 * Resource limits: limitBytes on disk; in memory an index entry of about 200 bytes for each of at most maximumPayloads payloads, the bytes of the batch in
 * progress, and at most maximumStagedBytes of staged records.
 */
#pragma once

#include "base/check.h"
#include "base/failure.h"
#include "spool/journal_format.h"
#include "spool/posix_files.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace reedtrail {

/** Folder and resource limits of a journal. */
struct journal_options
{
    std::string folder;
    std::uint64_t limitBytes = std::uint64_t{ 1 } << 30U; ///< Maximum total size of all segment files.
    std::uint64_t segmentBytes = 16U << 20U; ///< A new segment begins once the current one has reached this size.
    std::uint64_t maximumStagedBytes = 32U << 20U; ///< Maximum size of the records that wait for the next batch.
    std::size_t maximumPayloads = 1000000; ///< Maximum number of payloads, committed and pending.
};

/** Records that are written and synced together. */
struct journal_batch
{
    std::uint64_t number = 0; ///< 0 if there is nothing to write.
    std::uint64_t segment = 0; ///< Number of the segment to append to.
    int file = -1; ///< Descriptor of the segment file.
    std::uint64_t offset = 0; ///< Offset in the segment file at which the batch begins.
    std::string bytes; ///< The encoded records.
    bool isNewSegment = false; ///< Whether the folder must be synced as well.
    std::vector<std::string> keys; ///< Keys of the payloads in the batch.
    file_error error = 0; ///< Result of takeBatch() and write().
};

/** Statistics for the dump and the metrics. */
struct journal_counts
{
    std::uint64_t payloads = 0;
    std::uint64_t segments = 0;
    std::uint64_t fileBytes = 0; ///< Total size of all segment files.
    std::uint64_t batches = 0;
    std::uint64_t tornBytes = 0; ///< Bytes of torn tails that open() truncated.
    std::uint64_t corruptSegments = 0; ///< Segments in which open() found corrupt bytes before a valid record.
    std::uint64_t refusedFull = 0; ///< Payloads refused with DiskFull by stage().
    std::uint64_t failedBatches = 0;
};

/** A journal of payloads, described at the head of this file. All functions except write() must be called on one thread. */
template<journal_files Files>
class journal
{
public:
    journal(Files &files, journal_options options)
        : m_files(files)
        , m_options(std::move(options))
    {
    }
    ~journal()
    {
        for (const auto &[number, each] : m_segments) {
            m_files.close(each.file);
        }
    }
    journal(const journal &) = delete;
    journal &operator=(const journal &) = delete;

    /** Recovers the index from all segments and truncates torn tails. @return BadSettings, DiskFull or Corrupt if the folder is not usable */
    result<void> open();
    /**
     * Adds a payload to the next batch.
     * @return true if it was added or is already pending, false if it is already committed; DiskFull, TooLarge, or Conflict if the committed payload of the
     * key differs
     */
    result<bool> stage(std::string_view run, std::uint64_t step, std::string_view key, std::string_view body);
    /** Releases the payloads of @p run with a step lower than @p beforeStep and adds a release record to the next batch. */
    void release(std::string_view run, std::uint64_t beforeStep);
    /** Returns whether records are staged and no batch is in progress. */
    bool hasStaged() const
    {
        return !m_stagedRecords.empty() && m_batchInProgress == 0;
    }
    /** Turns the staged records into a batch, which must be passed to finish(). */
    journal_batch takeBatch();
    /** Writes and syncs a batch. May run on another thread. @return the value for batch.error */
    file_error write(const journal_batch &batch) const;
    /** Ends a batch: its payloads are committed, or discarded if batch.error is set. */
    void finish(const journal_batch &batch);
    /** Returns the body of a committed payload, or NotFound, or Corrupt if its checksum fails. */
    result<std::string> read(std::string_view key) const;
    /** Returns the keys of all committed payloads in no particular order. */
    std::vector<std::string> keys() const;
    journal_counts counts() const;

private:
    struct segment
    {
        int file = -1;
        std::uint64_t size = 0;
        std::uint64_t livePayloads = 0; ///< Number of committed payloads that are not released.
    };
    /** Location of a payload's record. */
    struct payload_location
    {
        std::uint64_t segment = 0;
        std::uint64_t offset = 0;
        std::size_t size = 0;
        std::string run;
        std::uint64_t step = 0;
    };
    struct staged_payload
    {
        std::string key;
        payload_location location; ///< Its offset is relative to the staged bytes until takeBatch().
    };
    struct run_payloads
    {
        std::uint64_t releasedBefore = 0;
        std::map<std::uint64_t, std::set<std::string>> keysByStep;
    };

    /** Returns the path of the segment file with @p number. */
    std::string pathOf(std::uint64_t number) const
    {
        std::string digits = std::to_string(number);
        digits.insert(0, digits.size() < segmentDigits ? segmentDigits - digits.size() : 0, '0');
        return m_options.folder + "/segment-" + digits;
    }
    result<void> openSegment(std::uint64_t number);
    /** Applies the records of a segment to the index and truncates its torn tail. */
    result<void> recover(std::uint64_t number, std::string_view bytes, bool isLast);
    /** Adds a committed payload to the index unless it is released or present. */
    void addToIndex(const std::string &key, payload_location location);
    /** Removes a payload from the index. */
    void removeFromIndex(const std::string &key);
    /** Returns whether the committed payload of @p key has this body. */
    bool hasBody(const std::string &key, std::string_view body) const;
    std::uint64_t fileBytes() const;
    /** Opens a new segment unless the last one is empty. @return whether a segment can be appended to */
    bool startSegment();
    void applyRelease(const std::string &run, std::uint64_t beforeStep);
    /** Deletes the segments without live payloads, except the last one. */
    void deleteEmptySegments();

    static constexpr std::size_t segmentDigits = 12;
    /** Part of limitBytes that payloads may not use, so that release records still fit into a full journal. */
    static constexpr std::uint64_t releaseReserveBytes = 64U << 10U;

    Files &m_files;
    journal_options m_options;
    std::map<std::uint64_t, segment> m_segments;
    std::unordered_map<std::string, payload_location> m_index;
    std::map<std::string, run_payloads, std::less<>> m_runs;
    std::string m_stagedRecords;
    std::vector<staged_payload> m_stagedPayloads;
    std::vector<staged_payload> m_batchPayloads;
    std::set<std::string, std::less<>> m_pendingKeys; ///< Keys of the payloads that are staged or in the batch in progress.
    std::uint64_t m_batchInProgress = 0; ///< Number of the batch in progress, or 0.
    std::uint64_t m_batchBytes = 0;
    bool m_needsNewSegment = true;
    journal_counts m_counts;
};

} // namespace reedtrail

#include "spool/journal_impl.h"
