/**
 * @file
 * The spool's journal: payloads under keys, kept in segment files under one folder, bounded in bytes.
 *
 *     journal<posix_files> log(files, {.folder = "/var/lib/reedtrail/spool", .limitBytes = 1 << 30});
 *     BOOST_LEAF_CHECK(log.open());                         // finds all payloads again, cuts a torn tail
 *     BOOST_LEAF_CHECK(log.stage("run-1", 7, "key", bytes)); // DiskFull if there is no room: nothing was promised
 *     journal_batch batch = log.takeBatch();
 *     batch.error = log.write(batch);                       // the only slow call; may run on another thread
 *     log.finish(batch);                                    // from here on the batch's payloads are promised
 *     BOOST_LEAF_AUTO(bytes, log.read("key"));
 *
 * One batch is under way at a time; payloads staged meanwhile form the next one (group commit). A payload is promised when its batch was written and
 * synced; what was not promised may be found again after a crash or not. Payloads are released by run and step, and a segment whose payloads are all
 * released is deleted. Each new segment begins with the releases in force, so deleting older segments never brings a released payload back.
 *
 * Bounds: limitBytes of files; an index entry of about 200 bytes a payload in memory, at most maximumPayloads of them; one batch of bytes under way and
 * at most maximumStagedBytes staged.
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

/** Where and how much. */
struct journal_options
{
    std::string folder;
    std::uint64_t limitBytes = std::uint64_t{ 1 } << 30U; ///< Of all segment files together.
    std::uint64_t segmentBytes = 16U << 20U; ///< A segment that has reached this size is followed by a new one.
    std::uint64_t maximumStagedBytes = 32U << 20U;
    std::size_t maximumPayloads = 1000000;
};

/** Payloads that are written and synced together. */
struct journal_batch
{
    std::uint64_t number = 0; ///< 0 if there is nothing to write.
    std::uint64_t segment = 0;
    int file = -1;
    std::uint64_t offset = 0;
    std::string bytes;
    bool isNewSegment = false;
    std::vector<std::string> keys; ///< Of the payloads in it.
    file_error error = 0;
};

/** Counts for the dump and the metrics. */
struct journal_counts
{
    std::uint64_t payloads = 0;
    std::uint64_t segments = 0;
    std::uint64_t fileBytes = 0;
    std::uint64_t batches = 0;
    std::uint64_t tornBytes = 0; ///< Cut at the last open.
    std::uint64_t holes = 0; ///< Segments with changed bytes between records at the last open.
    std::uint64_t refusedFull = 0;
    std::uint64_t failedBatches = 0;
};

/** The journal; see the head of this file. All calls but write() are made on one thread. */
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

    /** Reads all segments and cuts a torn tail. @return what is wrong with the folder, if anything */
    result<void> open();
    /**
     * Adds a payload to the next batch.
     * @return true if it was added or waits already, false if it is promised already; DiskFull, TooLarge, or Conflict if the key holds other bytes
     */
    result<bool> stage(std::string_view run, std::uint64_t step, std::string_view key, std::string_view body);
    /** Releases payloads of @p run before @p beforeStep; the record of it goes with the next batch. */
    void release(std::string_view run, std::uint64_t beforeStep);
    /** Tells whether a batch can be taken. */
    bool hasStaged() const
    {
        return !m_staged.empty() && m_underWay == 0;
    }
    /** Takes what is staged. The batch must be given back to finish(). */
    journal_batch takeBatch();
    /** Writes and syncs a batch. Safe on another thread. */
    file_error write(const journal_batch &batch) const;
    /** Ends a batch: its payloads are promised, or, if batch.error is set, forgotten. */
    void finish(const journal_batch &batch);
    /** Returns a promised payload. @return NotFound, or Corrupt if its checksum fails */
    result<std::string> read(std::string_view key) const;
    /** Returns the keys of all promised payloads. */
    std::vector<std::string> keys() const;
    journal_counts counts() const;

private:
    struct segment
    {
        int file = -1;
        std::uint64_t size = 0;
        std::uint64_t live = 0; ///< Payloads in it that are needed.
    };
    struct placed_payload
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
        placed_payload place; ///< Offset within the batch.
    };
    struct run_payloads
    {
        std::uint64_t releasedBefore = 0;
        std::map<std::uint64_t, std::set<std::string>> keysByStep;
    };

    std::string pathOf(std::uint64_t number) const
    {
        std::string digits = std::to_string(number);
        digits.insert(0, digits.size() < segmentDigits ? segmentDigits - digits.size() : 0, '0');
        return m_options.folder + "/segment-" + digits;
    }
    result<void> openSegment(std::uint64_t number);
    result<void> recover(std::uint64_t number, std::string_view bytes, bool isLast);
    void adopt(const std::string &key, placed_payload place);
    void forget(const std::string &key);
    bool matches(const std::string &key, std::string_view body) const;
    std::uint64_t fileBytes() const;
    bool startSegment();
    void applyRelease(const std::string &run, std::uint64_t beforeStep);
    void deleteEmptySegments();

    static constexpr std::size_t segmentDigits = 12;
    /** Room kept for release records when payloads are refused. */
    static constexpr std::uint64_t releaseReserveBytes = 64U << 10U;

    Files &m_files;
    journal_options m_options;
    std::map<std::uint64_t, segment> m_segments;
    std::unordered_map<std::string, placed_payload> m_index;
    std::map<std::string, run_payloads, std::less<>> m_runs;
    std::string m_staged;
    std::vector<staged_payload> m_stagedPayloads;
    std::vector<staged_payload> m_writing;
    std::set<std::string, std::less<>> m_pendingKeys; ///< Staged or being written.
    std::uint64_t m_underWay = 0; ///< Number of the batch being written, or 0.
    std::uint64_t m_writingBytes = 0;
    bool m_needsNewSegment = true;
    journal_counts m_counts;
};

} // namespace reedtrail

#include "spool/journal_impl.h"
