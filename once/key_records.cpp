// A record is created once and never changes, so every gate reads the same owner: one incarnation of one gate may run the request, as with a ticket. A lost
// answer needs no special handling: the claim is retried with the same record and finds that record, recognised by its operation number.
//
// While the store is unavailable, a key cannot be resolved. The caller is told "unknown" rather than "not run", because it may have sent the key through
// another gate before. It may send the same key again, to any gate, until the store is available. A caller that must be served during store outages uses a
// ticket instead. The cost is one write per key, and one read in the same store call for each retry through another gate.

#include "once/key_records.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace reedtrail {

std::string keyRecordName(const customer_id &customer, std::string_view idempotencyKey)
{
    constexpr std::uint64_t otherSeed = 1;
    std::array<char, 40> digits{};
    std::snprintf(digits.data(),
                  digits.size(),
                  "%016llx%016llx",
                  static_cast<unsigned long long>(stableHash(idempotencyKey)),
                  static_cast<unsigned long long>(stableHash(idempotencyKey, otherSeed)));
    return customer.str() + "/" + digits.data();
}

key_records::key_records(gate_incarnation self, key_record_options options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void key_records::resolve(time_point now, std::uint64_t request, const std::string &key, actions &out)
{
    const auto known = m_claimByKey.find(key);
    if (known != m_claimByKey.end()) {
        m_claims.at(known->second).requests.push_back(request);
        return;
    }
    if (m_claims.size() >= m_options.maximumOpenClaims) {
        out.push_back(resolved_key{ request, key_resolution::Unresolved, {} });
        return;
    }
    const std::uint64_t operation = ++m_lastOperation;
    open_claim &claim = m_claims[operation];
    claim.key = key;
    claim.record = { m_self, operation, now.time_since_epoch().count() };
    claim.requests.assign(1, request);
    claim.giveUpAt = now + m_options.claimTimeout;
    claim.retryDelay = m_options.initialRetryDelay;
    m_claimByKey[key] = operation;
    send(claim, out);
}

void key_records::send(open_claim &claim, actions &out)
{
    ++m_storeCalls;
    claim.retryAt = timeNever;
    out.push_back(claim_record{ claim.record.operation, claim.key, claim.record });
}

void key_records::onClaimAnswer(time_point now, std::uint64_t operation, claim_result outcome, const key_record &found, actions &out)
{
    const auto open = m_claims.find(operation);
    if (open == m_claims.end()) {
        return;
    }
    open_claim &claim = open->second;
    if (outcome == claim_result::Failed) {
        if (now + claim.retryDelay >= claim.giveUpAt) {
            finish(operation, key_resolution::Unresolved, {}, out);
            return;
        }
        claim.retryAt = now + claim.retryDelay;
        claim.retryDelay *= 2;
        return;
    }
    const key_record &record = outcome == claim_result::Created ? claim.record : found;
    if (record.owner != m_self) {
        finish(operation, key_resolution::Foreign, record.owner, out);
        return;
    }
    const duration age = now - time_point(duration(record.claimedAt));
    finish(operation, age > m_options.claimLifetime ? key_resolution::Expired : key_resolution::Own, m_self, out);
}

void key_records::finish(std::uint64_t operation, key_resolution resolution, const gate_incarnation &owner, actions &out)
{
    const auto found = m_claims.find(operation);
    for (const std::uint64_t request : found->second.requests) {
        out.push_back(resolved_key{ request, resolution, owner });
    }
    m_claimByKey.erase(found->second.key);
    m_claims.erase(found);
}

void key_records::onTimer(time_point now, actions &out)
{
    for (auto &[operation, claim] : m_claims) {
        if (claim.retryAt <= now) {
            send(claim, out);
        }
    }
}

time_point key_records::nextDeadline() const
{
    time_point next = timeNever;
    for (const auto &[operation, claim] : m_claims) {
        next = std::min(next, claim.retryAt);
    }
    return next;
}

nlohmann::json key_records::dump() const
{
    return { { "claimsOpen", m_claims.size() }, { "storeCalls", m_storeCalls } };
}

} // namespace reedtrail
