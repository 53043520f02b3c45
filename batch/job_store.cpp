// Values are encoded as CBOR because results are mostly text, which CBOR neither escapes nor scans. Numbers in keys have a fixed width so that a range read
// returns them in order.

#include "batch/job_store.h"

#include "kernel/log.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace reedtrail {
namespace {

constexpr std::string_view jobRoot = "reedtrail/job/";

std::string numberedKey(std::string_view job, std::string_view kind, std::size_t number)
{
    char digits[16];
    std::snprintf(digits, sizeof(digits), "%06zu", number);
    return job_key::prefix(job).append(kind).append("/").append(digits);
}

std::string encodeCbor(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

nlohmann::json decodeCbor(std::string_view bytes)
{
    return nlohmann::json::from_cbor(bytes, true, false);
}

std::string encodeResults(std::span<const item_result> results)
{
    nlohmann::json list = nlohmann::json::array();
    for (const item_result &result : results) {
        list.push_back({ result.id, result.isCompleted, result.output, result.versions, result.score });
    }
    return encodeCbor(list);
}

std::vector<item_result> decodeResults(std::string_view bytes)
{
    std::vector<item_result> results;
    for (const nlohmann::json &row : decodeCbor(bytes)) {
        results.push_back({ row.at(0).get<std::string>(),
                            row.at(1).get<bool>(),
                            row.at(2).get<std::string>(),
                            row.at(3).get<std::vector<std::uint64_t>>(),
                            row.at(4).get<std::string>() });
    }
    return results;
}

std::optional<std::size_t> parseNumberedKey(std::string_view suffix, std::string_view kind)
{
    std::size_t number = 0;
    if (!suffix.starts_with(kind) || suffix.size() <= kind.size() + 1) {
        return std::nullopt;
    }
    suffix.remove_prefix(kind.size() + 1);
    const auto parsed = std::from_chars(suffix.data(), suffix.data() + suffix.size(), number);
    return parsed.ec == std::errc() ? std::optional(number) : std::nullopt;
}

/** Encodes the facts of a job. A job without a customer is written as earlier releases do. */
std::string encodeMetadata(const job_metadata &metadata)
{
    nlohmann::json row = { metadata.host, metadata.path, metadata.submittedAtMs, metadata.model, metadata.expectedTokens };
    if (!metadata.customer.empty()) {
        row.push_back(metadata.customer);
    }
    return encodeCbor(row);
}

} // namespace

namespace job_key {

std::string prefix(std::string_view job)
{
    return std::string(jobRoot).append(job).append("/");
}

std::string metadata(std::string_view job)
{
    return prefix(job) + "facts";
}

std::string documentPart(std::string_view job, std::size_t part)
{
    return numberedKey(job, "document", part);
}

std::string statePrefix(std::string_view job)
{
    return prefix(job) + "state/";
}

std::string owner(std::string_view job)
{
    return statePrefix(job) + "owner";
}

std::string resultBatch(std::string_view job, std::size_t batch)
{
    return numberedKey(job, "result", batch);
}

std::string end(std::string_view job)
{
    return statePrefix(job) + "end";
}

std::string drafts(std::string_view job)
{
    return std::string("reedtrail/draft/").append(job);
}

std::string demand(std::string_view model)
{
    return std::string(demandPrefix).append(model);
}

std::string incompleteGroupsPrefix(std::string_view model)
{
    return std::string("reedtrail/left/").append(model).append("/");
}

std::string incompleteGroups(std::string_view model, std::uint64_t step)
{
    return incompleteGroupsPrefix(model) + std::to_string(step % 2);
}

} // namespace job_key

std::optional<store_txn>
acceptTransaction(std::string_view job, const job_metadata &metadata, std::string_view document, const job_owner_record &owner, store_lease_id lease)
{
    if (document.size() > maximumDocumentPartBytes * maximumDocumentParts) {
        return std::nullopt;
    }
    store_txn txn;
    txn.compares.push_back(store_compare::absent(job_key::metadata(job)));
    txn.onSuccess.push_back(store_put{ job_key::metadata(job), encodeMetadata(metadata), 0 });
    for (std::size_t part = 0; part * maximumDocumentPartBytes < document.size(); ++part) {
        txn.onSuccess.push_back(
            store_put{ job_key::documentPart(job, part), std::string(document.substr(part * maximumDocumentPartBytes, maximumDocumentPartBytes)), 0 });
    }
    if (!metadata.model.empty() && metadata.expectedTokens > 0) {
        txn.onSuccess.push_back(store_put{ job_key::demand(metadata.model), std::to_string(metadata.expectedTokens), 0 });
    }
    txn.onSuccess.push_back(store_put{ job_key::owner(job), encodeCbor(owner), lease });
    return txn;
}

std::optional<double> decodeDemand(std::string_view value)
{
    double tokens = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), tokens);
    return parsed.ec == std::errc() && tokens > 0 ? std::optional(tokens) : std::nullopt;
}

store_txn claimTransaction(std::string_view job, store_revision expectedRevision, const job_owner_record &owner, store_lease_id lease)
{
    store_txn txn;
    const std::string key = job_key::owner(job);
    txn.compares.push_back(expectedRevision == 0 ? store_compare::absent(key) : store_compare::unchanged(key, expectedRevision));
    txn.compares.push_back(store_compare::absent(job_key::end(job)));
    txn.onSuccess.push_back(store_put{ key, encodeCbor(owner), lease });
    return txn;
}

store_txn releaseTransaction(std::string_view job, store_revision ownerRevision)
{
    store_txn txn;
    txn.compares.push_back(store_compare::unchanged(job_key::owner(job), ownerRevision));
    txn.onSuccess.push_back(store_delete{ job_key::owner(job), false });
    return txn;
}

store_txn keepDraftsTransaction(std::string_view job, store_revision ownerRevision, const std::string &drafts)
{
    store_txn txn;
    txn.compares.push_back(store_compare::unchanged(job_key::owner(job), ownerRevision));
    txn.onSuccess.push_back(store_put{ job_key::drafts(job), drafts, 0 });
    return txn;
}

store_txn
appendTransaction(std::string_view job, store_revision ownerRevision, std::size_t batch, std::span<const item_result> results, const std::string &drafts)
{
    store_txn txn;
    txn.compares.push_back(store_compare::unchanged(job_key::owner(job), ownerRevision));
    txn.compares.push_back(store_compare::absent(job_key::resultBatch(job, batch)));
    txn.onSuccess.push_back(store_put{ job_key::resultBatch(job, batch), encodeResults(results), 0 });
    if (!drafts.empty()) {
        txn.onSuccess.push_back(store_put{ job_key::drafts(job), drafts, 0 });
    }
    return txn;
}

store_txn endTransaction(std::string_view job, std::span<const store_put> additionalPuts)
{
    store_txn txn;
    txn.compares.push_back(store_compare::absent(job_key::end(job)));
    txn.onSuccess.push_back(store_put{ job_key::end(job), "1", 0 });
    txn.onSuccess.push_back(store_delete{ job_key::owner(job), false });
    txn.onSuccess.push_back(store_delete{ job_key::drafts(job), false });
    for (const store_put &put : additionalPuts) {
        txn.onSuccess.push_back(put);
    }
    return txn;
}

std::string encodeIncompleteGroups(std::span<const std::string> groups)
{
    return encodeCbor(nlohmann::json(std::vector<std::string>(groups.begin(), groups.end())));
}

std::vector<std::string> decodeIncompleteGroups(std::string_view bytes)
{
    try {
        return decodeCbor(bytes).get<std::vector<std::string>>();
    } catch (const nlohmann::json::exception &error) {
        logLine(log_level::Error, "groups-left-unreadable", { { "bytes", std::to_string(bytes.size()) }, { "reason", error.what() } });
        return {};
    }
}

std::string encodeDrafts(std::span<const item_draft> drafts)
{
    nlohmann::json list = nlohmann::json::array();
    for (const item_draft &draft : drafts) {
        list.push_back({ draft.id, draft.text, draft.lastEvent, draft.versions, draft.isTextComplete, draft.build });
    }
    return encodeCbor(list);
}

std::vector<item_draft> decodeDrafts(std::string_view bytes)
{
    std::vector<item_draft> drafts;
    try {
        for (const nlohmann::json &row : decodeCbor(bytes)) {
            drafts.push_back({ row.at(0).get<std::string>(),
                               row.at(1).get<std::string>(),
                               row.at(2).get<std::uint64_t>(),
                               row.at(3).get<std::vector<std::uint64_t>>(),
                               row.at(4).get<bool>(),
                               row.size() > 5 ? row.at(5).get<std::string>() : std::string() }); // Earlier releases do not write the build.
        }
    } catch (const nlohmann::json::exception &error) {
        logLine(log_level::Error, "drafts-unreadable", { { "bytes", std::to_string(bytes.size()) }, { "reason", error.what() } });
    }
    return drafts;
}

job_view::job_view(std::string job)
    : m_job(std::move(job))
{
}

void job_view::apply(const store_key_value &item)
{
    const std::string prefix = job_key::prefix(m_job);
    if (!item.key.starts_with(prefix)) {
        return;
    }
    const std::string_view suffix = std::string_view(item.key).substr(prefix.size());
    try {
        if (suffix == "facts") {
            const nlohmann::json row = decodeCbor(item.value);
            m_metadata = job_metadata{ row.at(0).get<std::string>(), row.at(1).get<std::string>(), row.at(2).get<std::int64_t>(), "", 0, "" };
            if (row.size() > 4) { // Earlier releases do not write these fields.
                m_metadata->model = row.at(3).get<std::string>();
                m_metadata->expectedTokens = row.at(4).get<double>();
            }
            if (row.size() > 5) {
                m_metadata->customer = row.at(5).get<std::string>();
            }
        } else if (suffix == "state/owner") {
            m_owner = decodeCbor(item.value).get<job_owner_record>();
            m_ownerRevision = item.modRevision;
            m_ownerLease = item.lease;
        } else if (suffix == "state/end") {
            m_isEnded = true;
        } else if (const auto part = parseNumberedKey(suffix, "document")) {
            m_documentParts[*part] = item.value;
        } else if (const auto batch = parseNumberedKey(suffix, "result"); batch && *batch >= m_nextBatch) {
            m_outOfOrderBatches[*batch] = decodeResults(item.value);
            applyContiguousBatches();
        }
    } catch (const nlohmann::json::exception &error) {
        logLine(log_level::Error, "job-record-unreadable", { { "job", m_job }, { "key", item.key }, { "reason", error.what() } });
    }
}

void job_view::applyDelete(std::string_view key)
{
    if (key == job_key::owner(m_job)) {
        m_owner.reset();
        m_ownerRevision = 0;
        m_ownerLease = 0;
    }
}

void job_view::clear()
{
    *this = job_view(m_job);
}

std::string job_view::document() const
{
    std::string joined;
    for (const auto &[part, bytes] : m_documentParts) {
        joined += bytes;
    }
    return joined;
}

void job_view::appendRecorded(std::span<const item_result> results)
{
    m_results.insert(m_results.end(), results.begin(), results.end());
    ++m_nextBatch;
}

void job_view::applyContiguousBatches()
{
    for (auto next = m_outOfOrderBatches.find(m_nextBatch); next != m_outOfOrderBatches.end(); next = m_outOfOrderBatches.find(m_nextBatch)) {
        std::ranges::move(next->second, std::back_inserter(m_results));
        m_outOfOrderBatches.erase(next);
        ++m_nextBatch;
    }
}

} // namespace reedtrail
