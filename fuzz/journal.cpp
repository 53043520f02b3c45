// Scanning a journal segment must be safe for any bytes. The records found must lie inside the segment, in order and without overlap, and a record appended at
// the valid end must be found by the next scan, as after a restart.

#include "fuzz/targets.h"

#include "base/check.h"
#include "spool/journal_format.h"

namespace reedtrail {

void fuzzJournal(std::string_view bytes)
{
    const segment_scan scan = scanSegment(bytes);
    REEDTRAIL_CHECK(scan.validEnd <= bytes.size(), "the valid end lies inside the segment");
    std::size_t end = 0;
    for (const placed_record &each : scan.records) {
        REEDTRAIL_CHECK(each.offset >= end, "records do not overlap");
        end = each.offset + recordBytes(each.record);
        std::string written;
        appendRecord(written, each.record);
        REEDTRAIL_CHECK(written == bytes.substr(each.offset, written.size()), "writing a scanned record gives the same bytes");
    }
    REEDTRAIL_CHECK(end == scan.validEnd, "the valid end is the end of the last record");
    std::string continued(bytes.substr(0, scan.validEnd));
    appendRecord(continued, { record_kind::Payload, "run", 7, "key", bytes.substr(0, maximumBodyBytes) });
    const segment_scan again = scanSegment(continued);
    REEDTRAIL_CHECK(again.records.size() == scan.records.size() + 1, "a record appended at the valid end is found again");
    REEDTRAIL_CHECK(again.validEnd == continued.size(), "nothing is left after the appended record");
}

} // namespace reedtrail
