/**
 * @file
 * The record that fixes which drafts a run's trainer gets: one batch of sealed samples, and at the same time the answer to one pull.
 *
 *     std::string value = encodeSealRecord(record);                 // stored at sealKey(run, record.step, record.number)
 *     BOOST_LEAF_AUTO(record, decodeSealRecord(run, value));
 *
 * Batch N of a run is what pull N gets, from whichever node, for as long as the record exists.
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

/** One batch. All its samples are of one step. */
struct seal_record
{
    std::uint64_t number = 0; ///< Of the batch and of the pull that gets it; 1 is the first of a run.
    std::uint64_t step = 0;
    epoch_number epoch = 0; ///< Of the owner that wrote it.
    std::uint64_t revision = 0; ///< 0 as first written; raised when samples whose payload was lost are replaced.
    std::uint64_t acknowledged = 0; ///< Highest pull number the trainer held when this was written.
    std::uint32_t groups = 0; ///< Shape of the step.
    std::uint32_t groupSize = 0;
    bool isStepComplete = false; ///< Whether this batch holds the last open slots of its step.
    std::vector<sealed_sample> samples;

    bool operator==(const seal_record &other) const;
};

/** Returns the key of the owner record of @p run. */
std::string ownerKey(const run_id &run);

/** Returns the key of a batch; numbers are padded, so that keys sort like numbers. */
std::string sealKey(const run_id &run, std::uint64_t step, std::uint64_t number);

/** Returns the prefix of all batches of @p run. */
std::string sealPrefix(const run_id &run);

/** Encodes @p record as compact JSON, about 110 bytes a sample. */
std::string encodeSealRecord(const seal_record &record);

/** Decodes a stored record. @param run whose it is @param value as stored @return the record, or Corrupt */
result<seal_record> decodeSealRecord(const run_id &run, std::string_view value);

} // namespace reedtrail
