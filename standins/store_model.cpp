// As in the JSON gateway of etcd v3, 64-bit numbers are written as JSON strings, and keys and values in base64. Numbers are read in either form. Fields with
// their default value are written too, which the JSON form allows.

#include "standins/store_model.h"

#include <algorithm>
#include <array>

namespace reedtrail {
namespace {

using json = nlohmann::json;

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::int64_t numberAt(const json &object, const char *key, std::int64_t fallback = 0)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return fallback;
    }
    if (found->is_number()) {
        return found->get<std::int64_t>();
    }
    return found->is_string() ? std::strtoll(found->get_ref<const std::string &>().c_str(), nullptr, 10) : fallback;
}

std::string bytesAt(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? base64Decoded(found->get_ref<const std::string &>()) : std::string();
}

std::string textAt(const json &object, const char *key, const char *fallback)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : fallback;
}

/** Returns whether @p key is in [@p first, @p end). An empty @p end means the single key @p first; the end "\0" means all keys from @p first on. */
bool inRange(const std::string &key, const std::string &first, const std::string &end)
{
    if (end.empty()) {
        return key == first;
    }
    return key >= first && (end == std::string(1, '\0') || key < end);
}

store_response grpcError(int code, int status, const std::string &message)
{
    return { status, { { "code", code }, { "error", message }, { "message", message } } };
}

constexpr int codeNotFound = 5;

} // namespace

std::string base64Encoded(std::string_view bytes)
{
    std::string text;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char byte : bytes) {
        bits = bits << 8U | static_cast<unsigned char>(byte);
        count += 8;
        while (count >= 6) {
            count -= 6;
            text += alphabet[bits >> static_cast<unsigned>(count) & 63U];
        }
    }
    if (count > 0) {
        text += alphabet[bits << static_cast<unsigned>(6 - count) & 63U];
    }
    while (text.size() % 4 != 0) {
        text += '=';
    }
    return text;
}

std::string base64Decoded(std::string_view text)
{
    std::string bytes;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char letter : text) {
        const std::size_t value = alphabet.find(letter);
        if (value == std::string_view::npos) {
            continue;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
        }
    }
    return bytes;
}

json store_model::header() const
{
    return { { "cluster_id", "1" }, { "member_id", "1" }, { "revision", std::to_string(m_revision) }, { "raft_term", "1" } };
}

json store_model::keyJson(const std::string &key, const key_value &entry)
{
    return { { "key", base64Encoded(key) },
             { "value", base64Encoded(entry.value) },
             { "create_revision", std::to_string(entry.createRevision) },
             { "mod_revision", std::to_string(entry.modRevision) },
             { "version", std::to_string(entry.version) },
             { "lease", std::to_string(entry.lease) } };
}

json store_model::rangeBody(const json &body) const
{
    const std::string first = bytesAt(body, "key");
    const std::string end = bytesAt(body, "range_end");
    const auto limit = static_cast<std::size_t>(numberAt(body, "limit"));
    json found = json::array();
    std::size_t count = 0;
    for (auto each = m_keys.lower_bound(first); each != m_keys.end() && inRange(each->first, first, end); ++each) {
        ++count;
        if (limit == 0 || found.size() < limit) {
            found.push_back(keyJson(each->first, each->second));
        }
    }
    return { { "header", header() }, { "kvs", found }, { "more", count > found.size() }, { "count", std::to_string(count) } };
}

store_response store_model::range(const json &body)
{
    ++m_counts.ranges;
    return { 200, rangeBody(body) };
}

json store_model::putAt(const json &body, std::uint64_t revision)
{
    const std::string key = bytesAt(body, "key");
    key_value &entry = m_keys[key];
    if (const auto oldLease = m_leases.find(entry.lease); oldLease != m_leases.end()) {
        oldLease->second.keys.erase(key);
    }
    entry.value = bytesAt(body, "value");
    entry.createRevision = entry.version == 0 ? revision : entry.createRevision;
    entry.modRevision = revision;
    ++entry.version;
    entry.lease = numberAt(body, "lease");
    if (const auto leaseEntry = m_leases.find(entry.lease); leaseEntry != m_leases.end()) {
        leaseEntry->second.keys.insert(key);
    }
    m_changes.push_back({ revision, key, entry, false });
    return { { "header", header() } };
}

void store_model::erase(const std::string &key, std::uint64_t revision)
{
    const auto found = m_keys.find(key);
    if (const auto leaseEntry = m_leases.find(found->second.lease); leaseEntry != m_leases.end()) {
        leaseEntry->second.keys.erase(key);
    }
    m_keys.erase(found);
    key_value deletedEntry;
    deletedEntry.modRevision = revision;
    m_changes.push_back({ revision, key, deletedEntry, true });
}

json store_model::deleteAt(const json &body, std::uint64_t revision)
{
    const std::string first = bytesAt(body, "key");
    const std::string end = bytesAt(body, "range_end");
    std::vector<std::string> keysToDelete;
    for (auto each = m_keys.lower_bound(first); each != m_keys.end() && inRange(each->first, first, end); ++each) {
        keysToDelete.push_back(each->first);
    }
    for (const std::string &key : keysToDelete) {
        erase(key, revision);
    }
    return { { "header", header() }, { "deleted", std::to_string(keysToDelete.size()) } };
}

store_response store_model::put(const json &body)
{
    ++m_counts.transactions;
    if (numberAt(body, "lease") != 0 && !m_leases.contains(numberAt(body, "lease"))) {
        return grpcError(codeNotFound, 404, "etcdserver: requested lease not found");
    }
    ++m_revision;
    return { 200, putAt(body, m_revision) };
}

store_response store_model::deleteRange(const json &body)
{
    ++m_counts.transactions;
    const std::size_t before = m_changes.size();
    json answer = deleteAt(body, m_revision + 1);
    m_revision += m_changes.size() > before ? 1 : 0;
    answer["header"] = header();
    return { 200, answer };
}

bool store_model::conditionHolds(const json &condition) const
{
    static const key_value absent;
    const auto found = m_keys.find(bytesAt(condition, "key"));
    const key_value &entry = found == m_keys.end() ? absent : found->second;
    const std::string target = textAt(condition, "target", "VERSION");
    int order = 0;
    if (target == "VALUE") {
        if (found == m_keys.end()) {
            return false;
        }
        order = entry.value.compare(bytesAt(condition, "value"));
    } else {
        const bool isCreate = target == "CREATE";
        const bool isMod = target == "MOD";
        const bool isLease = target == "LEASE";
        const char *field = isCreate ? "create_revision" : isMod ? "mod_revision" : isLease ? "lease" : "version";
        const auto actual = isLease ? entry.lease : static_cast<std::int64_t>(isCreate ? entry.createRevision : isMod ? entry.modRevision : entry.version);
        const std::int64_t requiredValue = numberAt(condition, field);
        order = actual < requiredValue ? -1 : actual > requiredValue ? 1 : 0;
    }
    const std::string comparison = textAt(condition, "result", "EQUAL");
    if (comparison == "GREATER") {
        return order > 0;
    }
    if (comparison == "LESS") {
        return order < 0;
    }
    return comparison == "NOT_EQUAL" ? order != 0 : order == 0;
}

store_response store_model::transaction(const json &body)
{
    ++m_counts.transactions;
    static const json nothing = json::array();
    const json &conditions = body.contains("compare") ? body["compare"] : nothing;
    const bool succeeded = std::ranges::all_of(conditions, [this](const json &condition) {
        return conditionHolds(condition);
    });
    const char *branch = succeeded ? "success" : "failure";
    const json &operations = body.contains(branch) ? body[branch] : nothing;
    for (const json &operation : operations) {
        const auto request = operation.find("request_put");
        if (request != operation.end() && numberAt(*request, "lease") != 0 && !m_leases.contains(numberAt(*request, "lease"))) {
            return grpcError(codeNotFound, 404, "etcdserver: requested lease not found");
        }
    }
    const std::size_t before = m_changes.size();
    json responses = json::array();
    for (const json &operation : operations) {
        if (operation.contains("request_put")) {
            responses.push_back({ { "response_put", putAt(operation["request_put"], m_revision + 1) } });
        } else if (operation.contains("request_range")) {
            responses.push_back({ { "response_range", rangeBody(operation["request_range"]) } });
        } else if (operation.contains("request_delete_range")) {
            responses.push_back({ { "response_delete_range", deleteAt(operation["request_delete_range"], m_revision + 1) } });
        }
    }
    m_revision += m_changes.size() > before ? 1 : 0;
    return { 200, { { "header", header() }, { "succeeded", succeeded }, { "responses", responses } } };
}

store_response store_model::compact(const json &body)
{
    const auto target = static_cast<std::uint64_t>(numberAt(body, "revision"));
    m_compacted = std::max(m_compacted, std::min(target, m_revision));
    std::erase_if(m_changes, [this](const change &each) {
        return each.revision <= m_compacted;
    });
    return { 200, { { "header", header() } } };
}

store_response store_model::grantLease(const json &body, time_point now)
{
    ++m_counts.leaseCalls;
    const std::int64_t seconds = std::max<std::int64_t>(1, numberAt(body, "TTL"));
    std::int64_t id = numberAt(body, "ID");
    if (id == 0) {
        id = ++m_lastLeaseId;
    }
    if (m_leases.contains(id)) {
        return grpcError(9, 400, "etcdserver: lease already exists");
    }
    m_leases[id] = { seconds, now + std::chrono::seconds(seconds), {} };
    return { 200, { { "header", header() }, { "ID", std::to_string(id) }, { "TTL", std::to_string(seconds) } } };
}

void store_model::removeLease(std::int64_t id)
{
    const std::set<std::string> keys = m_leases.at(id).keys;
    for (const std::string &key : keys) {
        erase(key, m_revision + 1);
    }
    m_revision += keys.empty() ? 0 : 1;
    m_leases.erase(id);
}

store_response store_model::revokeLease(const json &body)
{
    ++m_counts.leaseCalls;
    const std::int64_t id = numberAt(body, "ID");
    if (!m_leases.contains(id)) {
        return grpcError(codeNotFound, 404, "etcdserver: requested lease not found");
    }
    removeLease(id);
    return { 200, { { "header", header() } } };
}

store_response store_model::keepLeaseAlive(const json &body, time_point now)
{
    ++m_counts.leaseCalls;
    const std::int64_t id = numberAt(body, "ID");
    const auto found = m_leases.find(id);
    json answer = { { "header", header() }, { "ID", std::to_string(id) } };
    if (found != m_leases.end()) {
        found->second.expiry = now + std::chrono::seconds(found->second.seconds);
        answer["TTL"] = std::to_string(found->second.seconds);
    }
    return { 200, { { "result", answer } } };
}

store_response store_model::leaseTimeToLive(const json &body, time_point now)
{
    ++m_counts.leaseCalls;
    const std::int64_t id = numberAt(body, "ID");
    const auto found = m_leases.find(id);
    json answer = { { "header", header() }, { "ID", std::to_string(id) }, { "TTL", "-1" } };
    if (found != m_leases.end()) {
        answer["TTL"] = std::to_string(std::chrono::duration_cast<std::chrono::seconds>(found->second.expiry - now).count());
        answer["grantedTTL"] = std::to_string(found->second.seconds);
    }
    return { 200, answer };
}

time_point store_model::expireLeases(time_point now)
{
    std::vector<std::int64_t> expired;
    time_point next = timeNever;
    for (const auto &[id, leaseEntry] : m_leases) {
        if (leaseEntry.expiry <= now) {
            expired.push_back(id);
        } else {
            next = std::min(next, leaseEntry.expiry);
        }
    }
    for (const std::int64_t id : expired) {
        removeLease(id);
    }
    return next;
}

std::uint64_t store_model::watch(const json &body)
{
    ++m_counts.watches;
    const json &request = body.contains("create_request") ? body["create_request"] : body;
    watcher watchState;
    watchState.key = bytesAt(request, "key");
    watchState.rangeEnd = bytesAt(request, "range_end");
    const auto start = static_cast<std::uint64_t>(numberAt(request, "start_revision"));
    watchState.nextRevision = start == 0 ? m_revision + 1 : start;
    watchState.isCompacted = start != 0 && start <= m_compacted;
    m_watches[m_nextWatchId] = watchState;
    return m_nextWatchId++;
}

void store_model::cancelWatch(std::uint64_t watch)
{
    m_watches.erase(watch);
}

watch_batch store_model::batchFor(std::uint64_t watchId, watcher &watchState) const
{
    json events = json::array();
    for (const change &candidate : m_changes) {
        if (candidate.revision < watchState.nextRevision || !inRange(candidate.key, watchState.key, watchState.rangeEnd)) {
            continue;
        }
        json event = { { "kv", keyJson(candidate.key, candidate.after) } };
        event["type"] = candidate.isDelete ? "DELETE" : "PUT";
        events.push_back(event);
    }
    watchState.nextRevision = std::max(watchState.nextRevision, m_revision + 1);
    return { watchId, { { "header", header() }, { "watch_id", "0" }, { "events", events } } };
}

std::vector<watch_batch> store_model::takeWatchBatches()
{
    std::vector<watch_batch> batches;
    std::vector<std::uint64_t> ended;
    for (auto &[watchId, watchState] : m_watches) {
        if (!watchState.isCreationSent) {
            watchState.isCreationSent = true;
            batches.push_back({ watchId, { { "header", header() }, { "watch_id", "0" }, { "created", true } } });
        }
        if (watchState.isCompacted) {
            batches.push_back(
                { watchId, { { "header", header() }, { "watch_id", "0" }, { "canceled", true }, { "compact_revision", std::to_string(m_compacted) } } });
            ended.push_back(watchId);
            continue;
        }
        watch_batch batch = batchFor(watchId, watchState);
        if (!batch.result["events"].empty()) {
            batches.push_back(std::move(batch));
        }
    }
    for (const std::uint64_t watchId : ended) {
        m_watches.erase(watchId);
    }
    return batches;
}

} // namespace reedtrail
