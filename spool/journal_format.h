/**
 * @file
 * The binary format of journal records, and the scan that finds the records of a segment.
 *
 *     std::string bytes;
 *     appendRecord(bytes, {record_kind::Payload, "run-1", 7, "run-1/7/0/3/42", payload});
 *     segment_scan scan = scanSegment(bytes);      // scan.records, scan.validEnd, scan.hasCorruption
 *
 * A record is a header of recordHeaderBytes followed by run, key and body. All numbers are little-endian. The checksum (XXH3, 64 bits) covers the whole
 * record except itself, so a truncated or changed record is rejected.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Type of a journal record, stored in its header. */
enum class record_kind : std::uint32_t {
    Payload = 1, ///< Stores a payload under a key.
    Release = 2, ///< Releases all payloads of a run with a step lower than the record's.
};

/** Size of a record's header in bytes. */
inline constexpr std::size_t recordHeaderBytes = 40;

/** Maximum size of a run id or a key in bytes. */
inline constexpr std::size_t maximumNameBytes = 4096;

/** Maximum size of a payload's body in bytes. A peer message cannot carry a larger one. */
inline constexpr std::size_t maximumBodyBytes = 8U << 20U;

/** A journal record. The views refer to bytes that the caller owns and must outlive the record. */
struct journal_record
{
    record_kind kind = record_kind::Payload;
    std::string_view run;
    std::uint64_t step = 0; ///< The payload's step; in a Release record, the first step that is kept.
    std::string_view key;
    std::string_view body;
};

/** Returns the size of the encoded @p record in bytes. */
std::size_t recordBytes(const journal_record &record);

/** Encodes @p record and appends it to @p bytes. */
void appendRecord(std::string &bytes, const journal_record &record);

/** Decodes the record at the start of @p bytes. @return std::nullopt if it is incomplete, malformed or fails its checksum */
std::optional<journal_record> readRecord(std::string_view bytes);

/** A record and its byte offset in the segment. */
struct placed_record
{
    std::size_t offset = 0;
    journal_record record;
};

/** Result of the scan of a segment. */
struct segment_scan
{
    std::vector<placed_record> records;
    std::size_t validEnd = 0; ///< Offset of the end of the last valid record; the bytes after it are a torn tail.
    bool hasCorruption = false; ///< Whether corrupt bytes precede a valid record.
};

/** Finds all valid records in @p bytes. Skips corrupt bytes and resumes at the next valid record. */
segment_scan scanSegment(std::string_view bytes);

} // namespace reedtrail
