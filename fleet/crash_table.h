/**
 * @file
 * Requests under which backend servers ended, as one node knows them. Makes no I/O calls.
 *
 * A row is made only when a server has ended under a request, so callers can't fill the table with requests that servers bear. When it is full, those under
 * which the fewest servers ended are forgotten first. A request that was refused or sent within the lifetime is kept.
 */
#pragma once

#include "base/time.h"
#include "fleet/crash_messages.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace reedtrail {

/** Bounds of a crash_table. */
struct crash_table_options
{
    std::size_t maxRows = 4096;
    std::size_t maxEndsKept = 16; ///< Of one request.
    duration lifetime = std::chrono::minutes(60); ///< Of a row, since the request was last sent or refused.
};

/** The requests under which servers ended. */
class crash_table
{
public:
    /** Servers that end under a request before it counts as one that crashes servers. */
    static constexpr std::size_t endsOfCrashing = 3;
    /** Servers that end under a request before all nodes have to know. In a loss of many servers at once most requests see one end. */
    static constexpr std::size_t endsToShare = 2;

    /** One request. */
    struct row
    {
        request_identity identity;
        std::uint32_t era = 0;
        std::set<std::uint64_t> ends; ///< Hashes of the instances that ended under it.
        std::array<std::uint32_t, 2> retries{};
        bool isShared = false; ///< Whether it concerns all nodes.
        time_point seenAt;

        /** Tells whether enough servers ended under the request. */
        bool isCrashing() const
        {
            return ends.size() >= endsOfCrashing;
        }
    };

    explicit crash_table(crash_table_options options = {})
        : m_options(options)
    {
    }

    /** Tells whether a request with this outline may be in the table. */
    bool mayContain(const request_outline &outline) const
    {
        return m_outlines.contains(outline);
    }
    /** Returns the row of a request under which servers ended, or null. */
    const row *find(const request_identity &identity) const;
    const row *find(std::uint64_t digest) const;
    /** Records that the instance with hash @p instance ended under the request. @return whether that is news */
    bool recordEnd(time_point now, const request_identity &identity, std::uint64_t instance);
    /** Records that a server survived the request: it is no suspect any more. @return whether it was one */
    bool recordSurvival(time_point now, const request_identity &identity);
    /** Records a retry that the first or the second keeper has granted. */
    void recordRetry(time_point now, std::uint64_t digest, bool isSecond);
    /** Records that the request has come again. */
    void touch(time_point now, std::uint64_t digest);
    /** Merges what another node knows. @return whether it was news beside the time of the last repeat */
    bool merge(time_point now, const crash_record &record);
    /** Returns a row as other nodes merge it; an empty record if there is none. */
    crash_record recordOf(time_point now, std::uint64_t digest) const;
    /** Returns the rows that concern all nodes. */
    std::vector<crash_record> sharedRecords(time_point now) const;
    /** Returns a hash of sharedRecords() without ages; 0 if there are none. Two nodes that know the same have the same hash. */
    std::uint64_t stateHash() const;
    /** Forgets rows beyond their lifetime. @return the digests of those that were forgotten */
    std::vector<std::uint64_t> expire(time_point now);
    std::size_t size() const
    {
        return m_rows.size();
    }

private:
    row &make(time_point now, const request_identity &identity);
    void makeRoom();
    void erase(std::uint64_t digest);

    crash_table_options m_options;
    std::map<std::uint64_t, row> m_rows; ///< By digest.
    std::map<request_outline, int> m_outlines; ///< Number of rows of each outline.
};

} // namespace reedtrail
