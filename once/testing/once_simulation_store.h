/**
 * @file
 * The store of the simulated world of named requests: create-if-absent records, leases with ranges, outages, answers lost after the write.
 */
#pragma once

#include "base/random.h"
#include "harness/lossy_network.h"
#include "harness/virtual_time.h"
#include "once/key_ranges.h"
#include "once/key_records.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace reedtrail::testing {

/** The store; calls are made where it runs, the network to and from it is the caller's business. */
class simulated_store
{
public:
    /** Who owns a range, and whether anybody did before. */
    struct range_record
    {
        std::optional<gate_incarnation> owner;
        bool wasOwnedBefore = false;
        time_point leaseEnd;
    };

    simulated_store(harness::virtual_time &time, std::size_t ranges)
        : m_time(time)
        , m_ranges(ranges)
    {
    }

    bool isUnavailable = false;

    /** Creates a record if there is none. @return what is there now */
    claim_result claim(const std::string &key, const key_record &record, key_record &found)
    {
        ++m_calls;
        const auto [entry, isNew] = m_records.try_emplace(key, record);
        found = entry->second;
        return isNew ? claim_result::Created : claim_result::Exists;
    }
    /** Prolongs the lease under which @p owner holds its ranges. */
    void keepAlive(const gate_incarnation &owner, duration timeToLive)
    {
        ++m_calls;
        m_leases[owner] = m_time.now() + timeToLive;
    }
    /** Gives a range to @p wanted if it has no owner whose lease holds. */
    void acquireRange(std::size_t range, const gate_incarnation &candidate)
    {
        ++m_calls;
        expireOwner(range);
        range_record &record = m_ranges[range];
        if (!record.owner && m_leases[candidate] > m_time.now()) {
            record.owner = candidate;
        }
    }
    /** Counts a watch that was begun. */
    void countWatchCall()
    {
        ++m_calls;
    }
    /** Returns the ranges as a watch shows them. */
    const std::vector<range_record> &ranges()
    {
        for (std::size_t range = 0; range < m_ranges.size(); ++range) {
            expireOwner(range);
        }
        return m_ranges;
    }
    std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    void expireOwner(std::size_t range)
    {
        range_record &record = m_ranges[range];
        if (record.owner && m_leases[*record.owner] <= m_time.now()) {
            record.owner.reset();
            record.wasOwnedBefore = true;
        }
    }

    harness::virtual_time &m_time;
    std::map<std::string, key_record> m_records;
    std::map<gate_incarnation, time_point> m_leases;
    std::vector<range_record> m_ranges;
    std::uint64_t m_calls = 0;
};

} // namespace reedtrail::testing
