/**
 * @file
 * Records of the spool's journal as bytes, and the scan that finds them again.
 *
 *     std::string bytes;
 *     appendRecord(bytes, {record_kind::Payload, "run-1", 7, "run-1/7/0/3/42", payload});
 *     segment_scan scan = scanSegment(bytes);      // scan.records, scan.validEnd, scan.hasHole
 *
 * A record is a header of recordHeaderBytes, then run, key and body. All numbers are little-endian. The checksum (XXH3, 64 bits) covers everything but
 * itself, so a record that was cut or changed anywhere is not taken for one.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** What a record says. */
enum class record_kind : std::uint32_t {
    Payload = 1, ///< A payload under a key.
    Release = 2, ///< Payloads of a run before a step are no longer needed.
};

/** Bytes of a record before run, key and body. */
inline constexpr std::size_t recordHeaderBytes = 40;

/** Longest run id or key. */
inline constexpr std::size_t maximumNameBytes = 4096;

/** Longest body: one peer message holds no more. */
inline constexpr std::size_t maximumBodyBytes = 8U << 20U;

/** One record; the views are valid as long as the bytes they were read from or made for. */
struct journal_record
{
    record_kind kind = record_kind::Payload;
    std::string_view run;
    std::uint64_t step = 0; ///< Of the payload; or the first step that is still needed.
    std::string_view key;
    std::string_view body;
};

/** Returns the size of @p record in bytes. */
std::size_t recordBytes(const journal_record &record);

/** Appends the bytes of @p record to @p bytes. */
void appendRecord(std::string &bytes, const journal_record &record);

/** Reads the record that begins at the start of @p bytes. @return nothing if there is no whole and unchanged one */
std::optional<journal_record> readRecord(std::string_view bytes);

/** A record and where it was found. */
struct placed_record
{
    std::size_t offset = 0;
    journal_record record;
};

/** What a segment holds. */
struct segment_scan
{
    std::vector<placed_record> records;
    std::size_t validEnd = 0; ///< End of the last whole record; what follows is a torn tail.
    bool hasHole = false; ///< Whether changed bytes lie between whole records.
};

/** Finds all whole records of @p bytes. After bytes that are none it searches on for the next whole record. */
segment_scan scanSegment(std::string_view bytes);

} // namespace reedtrail
