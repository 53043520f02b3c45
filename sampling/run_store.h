/**
 * @file
 * A run's records as typed store calls, and what their answers mean. Adapters and randomised runs share these, so that both write alike.
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

/** Writes the owner key if it is absent, or unchanged since the epoch held by the one who hands over; reads it otherwise. */
store_txn claimTxn(const run_id &run, const ownership_action::claim &claim);

/** Reads what became of a claim. */
ownership_event::claim_ended decodeClaimAnswer(const store_txn_answer &answer);

/** Writes a seal record if the owner key carries its epoch and its key holds the revision before it; reads both otherwise. */
store_txn writeSealTxn(const run_id &run, const seal_record &record);

/** Reads what became of the write of a seal record. @param epoch of the record */
seal_outcome decodeSealWriteAnswer(const store_txn_answer &answer, epoch_number epoch);

/** Reads a seal record and the owner key as one step. */
store_txn readSealTxn(const run_id &run, const run_action::read_seal &action);

/** Reads the answer to readSealTxn(). */
run_event::seal_read_ended decodeSealReadAnswer(const run_id &run, const run_action::read_seal &action, epoch_number epoch, const store_txn_answer &answer);

/** Deletes acknowledged records if the owner key still carries the epoch. */
store_txn removeSealsTxn(const run_id &run, const run_action::remove_seals &action);

/** Returns the call that reads all batches of a run. */
store_range batchesRange(const run_id &run);

/** Reads the answer to batchesRange(). @return no answer if the store gave none or a record is not readable */
ownership_event::batches_read decodeBatchesAnswer(const run_id &run, const store_range_answer &answer);

/** Returns who owns the run by an answer to a read of its owner key. */
observed_owner decodeOwnerAnswer(const store_range_answer &answer);

} // namespace reedtrail
