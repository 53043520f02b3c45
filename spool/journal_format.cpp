// Recovery truncates a torn tail, whose records were never acknowledged, but skips corrupt bytes that precede acknowledged records. Both begin with an
// invalid record, so the scan distinguishes them by searching for a valid record further on. The search considers only offsets with the magic number and
// compares the sizes in the header with the remaining bytes before it computes a checksum, so its cost is linear except for chance matches.

#include "spool/journal_format.h"

#include <cstddef>
#include <cstring>
#include <xxhash.h>

namespace reedtrail {
namespace {

constexpr std::uint32_t recordMagic = 0x31505352; // "RSP1"

struct record_header
{
    std::uint32_t magic = recordMagic;
    std::uint32_t kind = 0;
    std::uint32_t runBytes = 0;
    std::uint32_t keyBytes = 0;
    std::uint64_t step = 0;
    std::uint32_t bodyBytes = 0;
    std::uint32_t reserved = 0;
    std::uint64_t checksum = 0;
};
static_assert(sizeof(record_header) == recordHeaderBytes);

constexpr std::size_t checksumOffset = offsetof(record_header, checksum);

std::uint64_t checksumOf(std::string_view record)
{
    const std::uint64_t headerChecksum = XXH3_64bits(record.data(), checksumOffset);
    return XXH3_64bits_withSeed(record.data() + recordHeaderBytes, record.size() - recordHeaderBytes, headerChecksum);
}

} // namespace

std::size_t recordBytes(const journal_record &record)
{
    return recordHeaderBytes + record.run.size() + record.key.size() + record.body.size();
}

void appendRecord(std::string &bytes, const journal_record &record)
{
    record_header header;
    header.kind = static_cast<std::uint32_t>(record.kind);
    header.runBytes = static_cast<std::uint32_t>(record.run.size());
    header.keyBytes = static_cast<std::uint32_t>(record.key.size());
    header.step = record.step;
    header.bodyBytes = static_cast<std::uint32_t>(record.body.size());
    const std::size_t start = bytes.size();
    bytes.append(reinterpret_cast<const char *>(&header), sizeof(header));
    bytes.append(record.run).append(record.key).append(record.body);
    const std::uint64_t checksum = checksumOf(std::string_view(bytes).substr(start));
    std::memcpy(bytes.data() + start + checksumOffset, &checksum, sizeof(checksum));
}

std::optional<journal_record> readRecord(std::string_view bytes)
{
    if (bytes.size() < recordHeaderBytes) {
        return std::nullopt;
    }
    record_header header;
    std::memcpy(&header, bytes.data(), sizeof(header));
    const bool hasKnownKind =
        header.kind == static_cast<std::uint32_t>(record_kind::Payload) || header.kind == static_cast<std::uint32_t>(record_kind::Release);
    const bool hasValidSizes = header.runBytes <= maximumNameBytes && header.keyBytes <= maximumNameBytes && header.bodyBytes <= maximumBodyBytes;
    if (header.magic != recordMagic || !hasKnownKind || !hasValidSizes) {
        return std::nullopt;
    }
    const std::size_t size = recordHeaderBytes + header.runBytes + header.keyBytes + header.bodyBytes;
    if (size > bytes.size() || checksumOf(bytes.substr(0, size)) != header.checksum) {
        return std::nullopt;
    }
    journal_record record;
    record.kind = static_cast<record_kind>(header.kind);
    record.step = header.step;
    record.run = bytes.substr(recordHeaderBytes, header.runBytes);
    record.key = bytes.substr(recordHeaderBytes + header.runBytes, header.keyBytes);
    record.body = bytes.substr(recordHeaderBytes + header.runBytes + header.keyBytes, header.bodyBytes);
    return record;
}

segment_scan scanSegment(std::string_view bytes)
{
    const std::string_view magic(reinterpret_cast<const char *>(&recordMagic), sizeof(recordMagic));
    segment_scan scan;
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const std::optional<journal_record> record = readRecord(bytes.substr(offset));
        if (record) {
            scan.hasCorruption = scan.hasCorruption || offset != scan.validEnd;
            scan.records.push_back({ offset, *record });
            offset += recordBytes(*record);
            scan.validEnd = offset;
            continue;
        }
        offset = bytes.find(magic, offset + 1);
        if (offset == std::string_view::npos) {
            break;
        }
    }
    return scan;
}

} // namespace reedtrail
