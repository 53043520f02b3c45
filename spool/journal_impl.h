/**
 * @file
 * Implementation of the template in spool/journal.h. Include spool/journal.h instead of this file.
 *
 * After a failed write or sync the contents of the segment's tail are unknown, because the kernel may have dropped the dirty pages. The segment is therefore
 * truncated to its last committed record, and the next batch begins a new segment.
 */
#pragma once

#include "spool/journal.h"

namespace reedtrail {

template<journal_files Files>
result<void> journal<Files>::open()
{
    constexpr std::string_view prefix = "segment-";
    file_error error = m_files.makeFolder(m_options.folder);
    std::vector<std::string> names;
    error = error != 0 ? error : m_files.list(m_options.folder, names);
    if (error != 0) {
        return fail(error_kind::BadSettings, "dataFolder " + m_options.folder + ": " + std::strerror(error));
    }
    std::set<std::uint64_t> numbers;
    for (const std::string &name : names) {
        if (name.starts_with(prefix)) {
            numbers.insert(std::strtoull(name.c_str() + prefix.size(), nullptr, 10));
        }
    }
    for (const std::uint64_t number : numbers) {
        BOOST_LEAF_CHECK(openSegment(number));
        segment &each = m_segments.at(number);
        std::string bytes;
        std::uint64_t size = 0;
        error = m_files.sizeOf(each.file, size);
        error = error != 0 ? error : m_files.readAt(each.file, 0, size, bytes);
        if (error != 0) {
            return fail(error_kind::Corrupt, pathOf(number) + ": " + std::strerror(error));
        }
        BOOST_LEAF_CHECK(recover(number, bytes, number == *numbers.rbegin()));
    }
    deleteEmptySegments();
    m_needsNewSegment = m_segments.empty() || m_segments.rbegin()->second.size >= m_options.segmentBytes;
    return {};
}

template<journal_files Files>
result<void> journal<Files>::openSegment(std::uint64_t number)
{
    int file = -1;
    const file_error error = m_files.open(pathOf(number), file);
    if (error != 0) {
        return fail(error == ENOSPC ? error_kind::DiskFull : error_kind::BadSettings, pathOf(number) + ": " + std::strerror(error));
    }
    m_segments[number].file = file;
    return {};
}

template<journal_files Files>
result<void> journal<Files>::recover(std::uint64_t number, std::string_view bytes, bool isLast)
{
    const segment_scan scan = scanSegment(bytes);
    segment &each = m_segments.at(number);
    each.size = bytes.size();
    m_counts.corruptSegments += scan.hasCorruption ? 1 : 0;
    if (scan.validEnd < bytes.size()) {
        m_counts.tornBytes += bytes.size() - scan.validEnd;
        each.size = scan.validEnd;
        file_error error = m_files.truncate(each.file, scan.validEnd);
        error = error != 0 ? error : m_files.syncData(each.file);
        if (error != 0 && isLast) {
            return fail(error_kind::Corrupt, pathOf(number) + ": the torn tail cannot be cut: " + std::strerror(error));
        }
    }
    for (const auto &[offset, record] : scan.records) {
        if (record.kind == record_kind::Release) {
            applyRelease(std::string(record.run), record.step);
        } else {
            addToIndex(std::string(record.key), { number, offset, recordBytes(record), std::string(record.run), record.step });
        }
    }
    return {};
}

template<journal_files Files>
void journal<Files>::addToIndex(const std::string &key, payload_location location)
{
    run_payloads &run = m_runs[location.run];
    if (location.step < run.releasedBefore || m_index.contains(key)) {
        return;
    }
    run.keysByStep[location.step].insert(key);
    ++m_segments.at(location.segment).livePayloads;
    m_index.emplace(key, std::move(location));
}

template<journal_files Files>
void journal<Files>::removeFromIndex(const std::string &key)
{
    const auto found = m_index.find(key);
    if (found == m_index.end()) {
        return;
    }
    --m_segments.at(found->second.segment).livePayloads;
    m_index.erase(found);
}

template<journal_files Files>
bool journal<Files>::hasBody(const std::string &key, std::string_view body) const
{
    bool isSame = false;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(kept, read(key));
        isSame = kept == body;
        return {};
    });
    return !error && isSame;
}

template<journal_files Files>
result<bool> journal<Files>::stage(std::string_view run, std::uint64_t step, std::string_view key, std::string_view body)
{
    if (run.size() > maximumNameBytes || key.empty() || key.size() > maximumNameBytes || body.size() > maximumBodyBytes) {
        return fail(error_kind::TooLarge, "a payload's run and key have at most 4096 bytes, and its body at most 8 MiB");
    }
    if (m_pendingKeys.contains(key)) {
        return true;
    }
    if (m_index.contains(std::string(key))) {
        if (!hasBody(std::string(key), body)) {
            return fail(error_kind::Conflict, "the key holds another payload");
        }
        return false;
    }
    const journal_record record{ record_kind::Payload, run, step, key, body };
    const std::size_t size = recordBytes(record);
    const std::uint64_t pending = m_stagedRecords.size() + m_batchBytes + size;
    const bool isOverLimit = fileBytes() + pending + releaseReserveBytes > m_options.limitBytes;
    const bool isOverCount = m_index.size() + m_pendingKeys.size() >= m_options.maximumPayloads;
    if (isOverLimit || isOverCount || m_stagedRecords.size() + size > m_options.maximumStagedBytes) {
        ++m_counts.refusedFull;
        return fail(error_kind::DiskFull, "the spool has no room for " + std::to_string(size) + " bytes more");
    }
    const std::uint64_t offset = m_stagedRecords.size();
    appendRecord(m_stagedRecords, record);
    m_stagedPayloads.push_back({ std::string(key), { 0, offset, size, std::string(run), step } });
    m_pendingKeys.insert(std::string(key));
    return true;
}

template<journal_files Files>
void journal<Files>::release(std::string_view run, std::uint64_t beforeStep)
{
    if (run.size() > maximumNameBytes || beforeStep <= m_runs[std::string(run)].releasedBefore) {
        return;
    }
    appendRecord(m_stagedRecords, { record_kind::Release, run, beforeStep, {}, {} });
    applyRelease(std::string(run), beforeStep);
    deleteEmptySegments();
}

template<journal_files Files>
void journal<Files>::applyRelease(const std::string &run, std::uint64_t beforeStep)
{
    run_payloads &payloads = m_runs[run];
    payloads.releasedBefore = std::max(payloads.releasedBefore, beforeStep);
    while (!payloads.keysByStep.empty() && payloads.keysByStep.begin()->first < beforeStep) {
        for (const std::string &key : payloads.keysByStep.begin()->second) {
            removeFromIndex(key);
        }
        payloads.keysByStep.erase(payloads.keysByStep.begin());
    }
}

template<journal_files Files>
void journal<Files>::deleteEmptySegments()
{
    for (auto each = m_segments.begin(); each != m_segments.end();) {
        const bool isLast = std::next(each) == m_segments.end();
        if (isLast || each->second.livePayloads > 0) {
            ++each;
            continue;
        }
        m_files.close(each->second.file);
        m_files.remove(pathOf(each->first));
        each = m_segments.erase(each);
    }
}

template<journal_files Files>
std::uint64_t journal<Files>::fileBytes() const
{
    std::uint64_t total = 0;
    for (const auto &[number, each] : m_segments) {
        total += each.size;
    }
    return total;
}

template<journal_files Files>
bool journal<Files>::startSegment()
{
    if (!m_segments.empty() && m_segments.rbegin()->second.size == 0) {
        m_needsNewSegment = false;
        return true;
    }
    const std::uint64_t number = m_segments.empty() ? 1 : m_segments.rbegin()->first + 1;
    const std::optional<failure> error = failureOf([&] {
        return openSegment(number);
    });
    if (error) {
        return false;
    }
    m_needsNewSegment = false;
    return true;
}

template<journal_files Files>
journal_batch journal<Files>::takeBatch()
{
    REEDTRAIL_CHECK(m_batchInProgress == 0, "takeBatch() requires that no batch is in progress");
    journal_batch batch;
    if (m_stagedRecords.empty()) {
        return batch;
    }
    batch.number = ++m_counts.batches;
    m_batchInProgress = batch.number;
    std::uint64_t releaseBytes = 0;
    if (m_needsNewSegment) {
        batch.isNewSegment = true;
        if (!startSegment()) {
            batch.error = ENOSPC;
        }
        for (const auto &[run, payloads] : m_runs) {
            if (payloads.releasedBefore > 0) {
                appendRecord(batch.bytes, { record_kind::Release, run, payloads.releasedBefore, {}, {} });
            }
        }
        releaseBytes = batch.bytes.size();
    }
    if (!m_segments.empty()) {
        const auto &[number, last] = *m_segments.rbegin();
        batch.segment = number;
        batch.file = last.file;
        batch.offset = last.size;
    }
    batch.bytes += m_stagedRecords;
    m_stagedRecords.clear();
    m_batchBytes = batch.bytes.size();
    m_batchPayloads = std::exchange(m_stagedPayloads, {});
    for (staged_payload &each : m_batchPayloads) {
        each.location.segment = batch.segment;
        each.location.offset += batch.offset + releaseBytes;
        batch.keys.push_back(each.key);
    }
    return batch;
}

template<journal_files Files>
file_error journal<Files>::write(const journal_batch &batch) const
{
    file_error error = batch.error;
    error = error != 0 ? error : m_files.writeAt(batch.file, batch.offset, batch.bytes);
    error = error != 0 ? error : m_files.syncData(batch.file);
    if (error == 0 && batch.isNewSegment) {
        error = m_files.syncFolder(m_options.folder);
    }
    return error;
}

template<journal_files Files>
void journal<Files>::finish(const journal_batch &batch)
{
    REEDTRAIL_CHECK(m_batchInProgress == batch.number, "finish() requires the batch in progress");
    m_batchInProgress = 0;
    m_batchBytes = 0;
    const std::vector<staged_payload> written = std::exchange(m_batchPayloads, {});
    for (const staged_payload &each : written) {
        m_pendingKeys.erase(each.key);
    }
    if (batch.error != 0) {
        ++m_counts.failedBatches;
        m_needsNewSegment = true;
        if (batch.file >= 0) {
            m_files.truncate(batch.file, batch.offset);
        }
        return;
    }
    segment &last = m_segments.at(batch.segment);
    last.size = batch.offset + batch.bytes.size();
    m_needsNewSegment = last.size >= m_options.segmentBytes;
    for (const staged_payload &each : written) {
        addToIndex(each.key, each.location);
    }
}

template<journal_files Files>
result<std::string> journal<Files>::read(std::string_view key) const
{
    const auto found = m_index.find(std::string(key));
    if (found == m_index.end()) {
        return fail(error_kind::NotFound, "no payload under that key");
    }
    const payload_location &location = found->second;
    std::string bytes;
    const file_error error = m_files.readAt(m_segments.at(location.segment).file, location.offset, location.size, bytes);
    const std::optional<journal_record> record = readRecord(bytes);
    if (error != 0 || !record || record->key != key) {
        return fail(error_kind::Corrupt, pathOf(location.segment) + " at " + std::to_string(location.offset) + ": the record fails its checksum");
    }
    return std::string(record->body);
}

template<journal_files Files>
std::vector<std::string> journal<Files>::keys() const
{
    std::vector<std::string> all;
    all.reserve(m_index.size());
    for (const auto &[key, location] : m_index) {
        all.push_back(key);
    }
    return all;
}

template<journal_files Files>
journal_counts journal<Files>::counts() const
{
    journal_counts counts = m_counts;
    counts.payloads = m_index.size();
    counts.segments = m_segments.size();
    counts.fileBytes = fileBytes();
    return counts;
}

} // namespace reedtrail
