/**
 * @file
 * The stored record that fixes which drafts the trainer of a run gets. It holds one batch of sealed samples, which is also the answer to one pull.
 *
 *     std::string value = encodeSealRecord(record);                 // stored at sealKey(run, record.step, record.number)
 *     BOOST_LEAF_AUTO(record, decodeSealRecord(run, value));
 *
 * Pull N of a run is answered with batch N by whichever node handles it, for as long as the record exists.
 */
#pragma once

#include "base/failure.h"
#include "base/ids.h"
#include "fleet/peer_messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** One batch of samples, all of the same step. */
struct seal_record
{
    std::uint64_t number = 0; ///< Number of the batch and of the pull that gets it; the first of a run is 1.
    std::uint64_t step = 0; ///< Step of all samples.
    epoch_number epoch = 0; ///< Epoch of the owner that wrote the record.
    std::uint64_t revision = 0; ///< 0 when first written; increases each time samples that cannot be delivered are replaced, such as those with a lost payload.
    std::uint64_t acknowledged = 0; ///< Highest pull number that the trainer had acknowledged when the record was written.
    std::uint32_t groups = 0; ///< Number of groups in the step.
    std::uint32_t groupSize = 0; ///< Number of samples in each group.
    bool isStepComplete = false; ///< Whether this is the last batch of its step.
    std::vector<sealed_sample> samples; ///< Samples of the batch.

    bool operator==(const seal_record &other) const;
};

/** Returns the key of the owner record of @p run. */
std::string ownerKey(const run_id &run);

/** Returns the key of a batch. Numbers are padded with zeros, so that keys sort in numeric order. */
std::string sealKey(const run_id &run, std::uint64_t step, std::uint64_t number);

/** Returns the key prefix of all batches of @p run. */
std::string sealPrefix(const run_id &run);

/** Encodes @p record as compact JSON, about 110 bytes per sample. */
std::string encodeSealRecord(const seal_record &record);

/** Decodes a stored record. @param run run that the record belongs to @param value value from the store @return the record, or Corrupt */
result<seal_record> decodeSealRecord(const run_id &run, std::string_view value);

} // namespace reedtrail
