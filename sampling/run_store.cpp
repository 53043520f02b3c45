// Each write compares the epoch in the same transaction, so the store itself rejects writes of a former owner, without relying on any clock. The write of a
// seal record has a second condition: the number of previous writes to the record's key. It makes repeated writes idempotent.

#include "sampling/run_store.h"

#include <algorithm>

namespace reedtrail {
namespace {

store_compare ownerEpochIs(const run_id &run, epoch_number epoch)
{
    return store_compare::unchanged(ownerKey(run), epoch);
}

const store_key_value *firstItem(const store_range_answer &answer)
{
    return answer.items.empty() ? nullptr : &answer.items.front();
}

} // namespace

store_txn claimTxn(const run_id &run, const ownership_action::claim &claim)
{
    const std::string key = ownerKey(run);
    store_txn txn;
    txn.compares.push_back(claim.heldEpoch == 0 ? store_compare::absent(key) : store_compare::unchanged(key, claim.heldEpoch));
    txn.onSuccess.emplace_back(store_put{ key, nlohmann::json(claim.record).dump(), claim.lease });
    txn.onFailure.emplace_back(store_range{ key });
    return txn;
}

ownership_event::claim_ended decodeClaimAnswer(const store_txn_answer &answer)
{
    using outcome = ownership_event::claim_ended::outcome;
    ownership_event::claim_ended ended;
    if (answer.error) {
        ended.result = answer.error->kind == error_kind::StoreUnknown ? outcome::Unknown : outcome::NotApplied;
        return ended;
    }
    if (answer.isSucceeded) {
        ended.result = outcome::Succeeded;
        ended.epoch = answer.revision;
        return ended;
    }
    ended.result = outcome::Refused;
    ended.owner = answer.ranges.empty() ? observed_owner{} : decodeOwnerAnswer(answer.ranges.front());
    return ended;
}

store_txn writeSealTxn(const run_id &run, const seal_record &record)
{
    const std::string key = sealKey(run, record.step, record.number);
    store_txn txn;
    txn.compares.push_back(ownerEpochIs(run, record.epoch));
    txn.compares.push_back({ key, store_compare_target::Version, store_compare_relation::Equal, record.revision, {} });
    txn.onSuccess.emplace_back(store_put{ key, encodeSealRecord(record), 0 });
    txn.onFailure.emplace_back(store_range{ ownerKey(run) });
    return txn;
}

seal_outcome decodeSealWriteAnswer(const store_txn_answer &answer, epoch_number epoch)
{
    if (answer.error) {
        return answer.error->kind == error_kind::StoreUnknown ? seal_outcome::Unknown : seal_outcome::NotWritten;
    }
    if (answer.isSucceeded) {
        return seal_outcome::Written;
    }
    const store_key_value *owner = answer.ranges.empty() ? nullptr : firstItem(answer.ranges.front());
    const bool isOwner = owner != nullptr && owner->modRevision == epoch;
    return isOwner ? seal_outcome::Unknown : seal_outcome::Fenced; // This owner's own earlier attempt may have been applied; the caller reads it back.
}

store_txn readSealTxn(const run_id &run, const run_action::read_seal &action)
{
    store_txn txn;
    txn.onSuccess.emplace_back(store_range{ ownerKey(run) });
    txn.onSuccess.emplace_back(store_range{ sealKey(run, action.step, action.number) });
    return txn;
}

run_event::seal_read_ended decodeSealReadAnswer(const run_id &run, const run_action::read_seal &action, epoch_number epoch, const store_txn_answer &answer)
{
    run_event::seal_read_ended ended{ .number = action.number, .attempt = action.attempt };
    if (answer.error || answer.ranges.size() != 2) {
        return ended;
    }
    const store_key_value *owner = firstItem(answer.ranges[0]);
    const store_key_value *item = firstItem(answer.ranges[1]);
    ended.isAnswered = true;
    ended.isOwner = owner != nullptr && owner->modRevision == epoch;
    if (item == nullptr) {
        return ended;
    }
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(ended.record, decodeSealRecord(run, item->value));
        return {};
    });
    ended.isFound = !error;
    return ended;
}

store_txn removeSealsTxn(const run_id &run, const run_action::remove_seals &action)
{
    store_txn txn;
    txn.compares.push_back(ownerEpochIs(run, action.epoch));
    for (const run_action::remove_seals::batch &batch : action.batches) {
        txn.onSuccess.emplace_back(store_delete{ sealKey(run, batch.step, batch.number) });
    }
    return txn;
}

store_range batchesRange(const run_id &run)
{
    return { .key = sealPrefix(run), .isPrefix = true };
}

ownership_event::batches_read decodeBatchesAnswer(const run_id &run, const store_range_answer &answer)
{
    ownership_event::batches_read read;
    read.isAnswered = !answer.error;
    for (const store_key_value &item : answer.items) {
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_AUTO(record, decodeSealRecord(run, item.value));
            read.batches.push_back(std::move(record));
            return {};
        });
        read.isAnswered = read.isAnswered && !error;
    }
    std::ranges::sort(read.batches, {}, &seal_record::number);
    return read;
}

observed_owner decodeOwnerAnswer(const store_range_answer &answer)
{
    return decodeOwner(firstItem(answer));
}

} // namespace reedtrail
