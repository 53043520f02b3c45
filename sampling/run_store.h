/**
 * @file
 * Encodes the store calls for a run's records and decodes their answers. Production adapters and randomised tests share these functions, so both make the same
 * store calls.
 *
 *     client.txn(claimTxn(run, action), [](const store_txn_answer &answer) { event = decodeClaimAnswer(answer); });
 *     client.txn(writeSealTxn(run, record), [](const store_txn_answer &answer) { outcome = decodeSealWriteAnswer(answer, record.epoch); });
 */
#pragma once

#include "fleet/store_types.h"
#include "sampling/run_events.h"
#include "sampling/run_ownership.h"

#include <span>
#include <vector>

namespace reedtrail {

/** Returns a transaction that writes the owner key if it is absent or, in a handover, unchanged since @p claim.heldEpoch; otherwise it reads the key. */
store_txn claimTxn(const run_id &run, const ownership_action::claim &claim);

/** Decodes the answer to claimTxn(). */
ownership_event::claim_ended decodeClaimAnswer(const store_txn_answer &answer);

/**
 * Returns a transaction that writes a seal record if the owner key has the record's epoch and the record's key was written exactly record.revision times
 * before. Otherwise it reads the owner key.
 */
store_txn writeSealTxn(const run_id &run, const seal_record &record);

/** Decodes the answer to writeSealTxn(). @param epoch epoch of the record */
seal_outcome decodeSealWriteAnswer(const store_txn_answer &answer, epoch_number epoch);

/** Returns a transaction that reads a seal record and the owner key at one revision. */
store_txn readSealTxn(const run_id &run, const run_action::read_seal &action);

/** Decodes the answer to readSealTxn(). @param epoch epoch to compare the owner key with */
run_event::seal_read_ended decodeSealReadAnswer(const run_id &run, const run_action::read_seal &action, epoch_number epoch, const store_txn_answer &answer);

/** Returns a transaction that deletes acknowledged records if the owner key still has the epoch. */
store_txn removeSealsTxn(const run_id &run, const run_action::remove_seals &action);

/** Returns the range request that reads all batches of a run. */
store_range batchesRange(const run_id &run);

/** Decodes the answer to batchesRange(). @return the batches by number; isAnswered is false if the store did not answer or a record is unreadable */
ownership_event::batches_read decodeBatchesAnswer(const run_id &run, const store_range_answer &answer);

/** Decodes the answer to a read of the owner key. */
observed_owner decodeOwnerAnswer(const store_range_answer &answer);

} // namespace reedtrail
