/**
 * @file
 * The store of once_simulation: create-if-absent records, leases that hold ranges, and outages.
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

/** The store. Its functions run at the store; the caller simulates the network to and from it. */
class simulated_store
{
public:
    /** Owner of a range, and whether the range ever had another owner. */
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

    /** Creates a record if the key has none. @param found set to the record that the key has now */
    claim_result claim(const std::string &key, const key_record &record, key_record &found)
    {
        ++m_calls;
        const auto [entry, isNew] = m_records.try_emplace(key, record);
        found = entry->second;
        return isNew ? claim_result::Created : claim_result::Exists;
    }
    /** Renews the lease under which @p owner holds its ranges. */
    void keepAlive(const gate_incarnation &owner, duration timeToLive)
    {
        ++m_calls;
        m_leases[owner] = m_time.now() + timeToLive;
    }
    /** Makes @p candidate the owner of a range if its own lease is valid and the range has no owner with a valid lease. */
    void acquireRange(std::size_t range, const gate_incarnation &candidate)
    {
        ++m_calls;
        expireOwner(range);
        range_record &record = m_ranges[range];
        if (!record.owner && m_leases[candidate] > m_time.now()) {
            record.owner = candidate;
        }
    }
    /** Counts the call that starts a watch. */
    void countWatchCall()
    {
        ++m_calls;
    }
    /** Returns the ranges as a watch reports them. */
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
