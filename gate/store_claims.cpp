// One transaction a claim: create the record if the key is absent, else return it. The records of an hour share one lease, so that they go away a day later
// without a call for each. A claim on a lease that has lapsed fails, and so does one whose answer is lost or unreadable: key_records sends it again, with
// the same record, and finds out whether it took effect. Store addresses are tried in turn, one for each call.

#include "gate/store_claims.h"

#include "node/process_host.h"

#include <nlohmann/json.hpp>

namespace reedtrail {

struct store_claims::implementation
{
    http_client &client;
    std::vector<endpoint> stores;
    store_claim_options options;
    std::size_t nextStore = 0;
    store_lease_id lease = 0;
    time_point leaseTakenAt;

    using text_handler = std::function<void(std::optional<std::string> body)>;

    /** Makes one call; the handler gets nothing if there was no good answer. */
    void call(const store_call &call, text_handler onBody)
    {
        if (stores.empty()) {
            onBody(std::nullopt);
            return;
        }
        const endpoint where = stores[nextStore % stores.size()];
        http_request request{ "POST", std::string(storePath(call)), { { "Content-Type", "application/json" } }, encodeStoreCall(call) };
        client.call(where,
                    std::move(request),
                    { options.connectTimeout, options.callTimeout, options.callTimeout },
                    [this, onBody = std::move(onBody)](const http_call_end &end, const http_response &response) {
                        const bool isGood = end.error == error_kind::None && response.status == 200;
                        nextStore += isGood ? 0 : 1;
                        onBody(isGood ? std::optional(response.body) : std::nullopt);
                    });
    }

    bool needsLease() const
    {
        return lease == 0 || monotonicNow() - leaseTakenAt > options.leaseUse;
    }

    void takeLease(std::function<void(bool hasLease)> onLease)
    {
        const store_lease_grant grant{ options.recordLifetimeSeconds };
        call(grant, [this, grant, onLease = std::move(onLease)](const std::optional<std::string> &body) {
            store_lease_answer answer;
            const std::optional<failure> error = failureOf([&]() -> result<void> {
                BOOST_LEAF_ASSIGN(answer, decodeLeaseAnswer(body.value_or(""), grant));
                return {};
            });
            const bool isGranted = !error && !answer.error && answer.lease != 0;
            if (isGranted) {
                lease = answer.lease;
                leaseTakenAt = monotonicNow();
            }
            onLease(isGranted);
        });
    }

    void write(const claim_record &claim, claim_handler onAnswer)
    {
        const std::string key = std::string(keyRecordPrefix) + claim.key;
        store_txn create;
        create.compares.push_back(store_compare::absent(key));
        create.onSuccess.emplace_back(store_put{ key, encodeKeyRecord(claim.record), lease });
        create.onFailure.emplace_back(store_range{ key, false, 0 });
        call(create, [this, onAnswer = std::move(onAnswer)](const std::optional<std::string> &body) {
            store_txn_answer answer;
            const std::optional<failure> error = failureOf([&]() -> result<void> {
                BOOST_LEAF_ASSIGN(answer, decodeTxnAnswer(body.value_or("")));
                return {};
            });
            if (error || answer.error) {
                lease = 0;
                onAnswer(claim_result::Failed, {});
            } else if (answer.isSucceeded) {
                onAnswer(claim_result::Created, {});
            } else {
                const bool hasItem = !answer.ranges.empty() && !answer.ranges.front().items.empty();
                const std::optional<key_record> found = hasItem ? decodeKeyRecord(answer.ranges.front().items.front().value) : std::nullopt;
                onAnswer(found ? claim_result::Exists : claim_result::Failed, found.value_or(key_record{}));
            }
        });
    }
};

std::string encodeKeyRecord(const key_record &record)
{
    return nlohmann::json{
        { "node", record.owner.node }, { "incarnation", record.owner.number }, { "operation", record.operation }, { "claimedAt", record.claimedAt }
    }.dump();
}

std::optional<key_record> decodeKeyRecord(std::string_view text)
{
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    const bool isRecord = body.is_object() && body.contains("node") && body.at("node").is_string()
        && body.value("incarnation", nlohmann::json()).is_number_unsigned() && body.value("operation", nlohmann::json()).is_number_unsigned()
        && body.value("claimedAt", nlohmann::json()).is_number_integer();
    if (!isRecord) {
        return std::nullopt;
    }
    key_record record;
    record.owner.node = node_id(body.at("node").get<std::string>());
    record.owner.number = body.at("incarnation").get<incarnation>();
    record.operation = body.at("operation").get<std::uint64_t>();
    record.claimedAt = body.at("claimedAt").get<std::int64_t>();
    return record;
}

store_claims::store_claims(http_client &client, std::vector<endpoint> stores, store_claim_options options)
    : m_implementation(std::make_shared<implementation>(implementation{ client, std::move(stores), options }))
{
}

store_claims::~store_claims() = default;

void store_claims::claim(const claim_record &claim, claim_handler onAnswer)
{
    implementation *self = m_implementation.get();
    if (!self->needsLease()) {
        self->write(claim, std::move(onAnswer));
        return;
    }
    self->takeLease([self, claim, onAnswer = std::move(onAnswer)](bool hasLease) {
        if (hasLease) {
            self->write(claim, onAnswer);
        } else {
            onAnswer(claim_result::Failed, {});
        }
    });
}

} // namespace reedtrail
