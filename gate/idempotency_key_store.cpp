// A claim is one transaction: it creates the record if the key is absent and returns the existing record otherwise. All records created within an hour share
// one lease, so the store expires them after a day without a delete call for each. A claim fails if its lease has expired or if its answer is lost or
// unreadable. key_records then sends the claim again with the same record, which shows whether the first one took effect. A call that fails makes the next
// call use the next store address.

#include "gate/idempotency_key_store.h"

#include "node/process_host.h"

#include <nlohmann/json.hpp>

namespace reedtrail {

struct idempotency_key_store::implementation
{
    http_client &client;
    std::vector<endpoint> stores;
    idempotency_key_store_options options;
    std::size_t nextStore = 0;
    store_lease_id lease = 0;
    time_point leaseGrantedAt;

    using body_handler = std::function<void(std::optional<std::string> body)>;

    /** Makes one call to the store. onBody gets the response body, or nothing if the call failed or its status is not 200. */
    void call(const store_call &call, body_handler onBody)
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
                        const bool isSuccess = end.error == error_kind::None && response.status == 200;
                        nextStore += isSuccess ? 0 : 1;
                        onBody(isSuccess ? std::optional(response.body) : std::nullopt);
                    });
    }

    /** Tells whether there is no lease, or the current one is too old for new records. */
    bool needsLease() const
    {
        return lease == 0 || monotonicNow() - leaseGrantedAt > options.leaseReusePeriod;
    }

    void requestLease(std::function<void(bool hasLease)> onLease)
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
                leaseGrantedAt = monotonicNow();
            }
            onLease(isGranted);
        });
    }

    void createRecord(const claim_record &claim, claim_handler onAnswer)
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

idempotency_key_store::idempotency_key_store(http_client &client, std::vector<endpoint> stores, idempotency_key_store_options options)
    : m_implementation(std::make_shared<implementation>(implementation{ client, std::move(stores), options }))
{
}

idempotency_key_store::~idempotency_key_store() = default;

void idempotency_key_store::claim(const claim_record &claim, claim_handler onAnswer)
{
    implementation *self = m_implementation.get();
    if (!self->needsLease()) {
        self->createRecord(claim, std::move(onAnswer));
        return;
    }
    self->requestLease([self, claim, onAnswer = std::move(onAnswer)](bool hasLease) {
        if (hasLease) {
            self->createRecord(claim, onAnswer);
        } else {
            onAnswer(claim_result::Failed, {});
        }
    });
}

} // namespace reedtrail
