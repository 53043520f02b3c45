// A change is committed by one transaction that compares the store's revision with the revision that the change was planned on. Of two concurrent operators,
// one succeeds and the other gets a conflict. The record is also written under a key of its own revision and carries the id of the operation. If the response
// to the write is lost, the same transaction is sent again. If the first one took effect, the compare of the second fails, and the second reads the record of
// that revision, which has the id of this operation. So a change never takes effect twice. (As in "Kafka Transactions", the outcome is made durable first and
// visible afterwards: no other node sees the change before the store has it.)
//
// A revision spreads in two ways. A few watchers in each zone read it from the store. They use a watch for speed, and also poll one small key, because a watch
// that was dropped silently cannot be told from a watch without events. All other nodes learn the revision number from the heartbeats of their neighbours and
// request the document from one of them. Only adopt() changes the revision in force, and the revision only increases, so a store that was restored from an old
// backup does not bring an old revision back into force.
//
// Memory: the record in force, one record per pending confirm, and a bounded list of peers that announced a newer revision.

#include "fleet/settings_core.h"

#include "base/check.h"

#include <algorithm>
#include <charconv>

namespace reedtrail {
namespace {

constexpr std::size_t maximumOffers = 8;

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::optional<settings_record> parseRecord(const std::string &text)
{
    try {
        return nlohmann::json::parse(text).get<settings_record>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string makeAuditRecord(const settings_change &change, std::uint64_t revision)
{
    const nlohmann::json audit{ { "revision", revision },          { "baseRevision", change.baseRevision }, { "operator", change.operatorName },
                                { "operation", change.operation }, { "summary", change.summary },           { "acceptedAtMs", change.acceptedAtMs } };
    return audit.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

namespace settings_keys {

std::string history(std::uint64_t number)
{
    return "reedtrail/settings/history/" + std::to_string(number);
}

std::string audit(std::uint64_t number)
{
    return "reedtrail/audit/" + std::to_string(number);
}

} // namespace settings_keys

settings_core::settings_core(settings_options options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

duration settings_core::jittered(duration delay)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(delay.count()) * m_random.uniform(0.5, 1.5)));
}

settings_step settings_core::setWatcher(time_point now, bool isWatcher)
{
    settings_step step;
    if (m_isWatcher == isWatcher) {
        return step;
    }
    m_isWatcher = isWatcher;
    m_nextPoll = isWatcher ? now + jittered(m_options.pollInterval) / 4 : timeNever;
    if (!isWatcher && m_isWatchOpen) {
        m_isWatchOpen = false;
        step.emplace_back(settings_close_watch{});
    }
    return step;
}

settings_step settings_core::onTimer(time_point now)
{
    settings_step step;
    if (m_isWatcher && now >= m_nextPoll) {
        poll(now, step);
    }
    if (now >= m_askDeadline) {
        m_offers.erase(m_offers.begin()); // the peer did not respond in time
        m_askDeadline = timeNever;
        askNextPeer(now, step);
    }
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, pending] : m_confirms) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        pending_confirm &pending = m_confirms.at(number);
        if (!pending.isInFlight && now >= pending.nextAttempt) {
            sendCommit(now, number, pending, step);
        }
    }
    return step;
}

time_point settings_core::deadline() const
{
    time_point earliest = std::min(m_nextPoll, m_askDeadline);
    for (const auto &[number, pending] : m_confirms) {
        earliest = pending.isInFlight ? earliest : std::min(earliest, pending.nextAttempt);
    }
    return earliest;
}

settings_step settings_core::onPeerRevision(time_point now, const std::string &address, std::uint64_t revision)
{
    settings_step step;
    if (revision <= this->revision()) {
        return step;
    }
    const auto known = std::ranges::find(m_offers, address, &peer_offer::address);
    if (known != m_offers.end()) {
        known->revision = std::max(known->revision, revision);
    } else if (m_offers.size() < maximumOffers) {
        m_offers.push_back({ address, revision });
    }
    askNextPeer(now, step);
    return step;
}

/** Requests the settings from the first peer in the list, unless a request is pending. */
void settings_core::askNextPeer(time_point now, settings_step &step)
{
    if (m_askDeadline != timeNever) {
        return;
    }
    std::erase_if(m_offers, [this](const peer_offer &each) {
        return each.revision <= revision();
    });
    if (!m_offers.empty()) {
        m_askDeadline = now + m_options.askTimeout;
        step.emplace_back(settings_ask{ m_offers.front().address });
    }
}

settings_step settings_core::onRecord(time_point now, const settings_record &record)
{
    settings_step step;
    adopt(std::make_shared<settings_record>(record), step);
    const bool isAnswered = !m_offers.empty() && m_offers.front().revision <= revision();
    if (isAnswered) {
        m_askDeadline = timeNever;
        askNextPeer(now, step);
    }
    return step;
}

/** Puts @p record in force if it is newer than the record in force. Nothing else changes the record in force. */
void settings_core::adopt(const std::shared_ptr<const settings_record> &record, settings_step &step)
{
    if (record->revision <= revision()) {
        return;
    }
    m_inForce = record;
    step.emplace_back(settings_adopt{ record });
}

void settings_core::adoptStoredRecord(const std::string &text, settings_step &step)
{
    const std::optional<settings_record> record = parseRecord(text);
    if (record) {
        adopt(std::make_shared<settings_record>(*record), step);
    }
}

void settings_core::poll(time_point now, settings_step &step)
{
    if (!m_isWatchOpen) {
        m_isWatchOpen = true;
        step.emplace_back(settings_open_watch{});
    }
    m_nextPoll = now + jittered(m_options.pollInterval);
    if (!m_isReading) {
        m_isReading = true;
        step.emplace_back(settings_read{ settings_keys::revision });
    }
}

settings_step settings_core::onStoreRange(time_point now, const std::string &key, const store_range_answer &answer)
{
    settings_step step;
    m_isReading = false;
    if (answer.error) {
        ++m_failedReads;
        const duration delay = m_options.pollInterval * static_cast<std::int64_t>(std::min<std::uint64_t>(m_failedReads, 64));
        m_nextPoll = m_isWatcher ? now + jittered(std::min(delay, m_options.maximumPollDelay)) : timeNever;
        return step;
    }
    m_failedReads = 0;
    if (answer.items.empty()) {
        return step;
    }
    if (key == settings_keys::revision) {
        readIfNewer(parseNumber(answer.items.front().value), step);
    } else {
        adoptStoredRecord(answer.items.front().value, step);
    }
    return step;
}

/** Reads the current record from the store if @p storeRevision is newer than the revision in force. */
void settings_core::readIfNewer(std::uint64_t storeRevision, settings_step &step)
{
    if (storeRevision > revision() && !m_isReading) {
        m_isReading = true;
        step.emplace_back(settings_read{ settings_keys::current });
    }
}

settings_step settings_core::onWatchReport(time_point /*now*/, const store_watch_report &report)
{
    settings_step step;
    for (const store_watch_event &event : report.events) {
        if (event.type == store_watch_event::kind::Put) {
            readIfNewer(parseNumber(event.item.value), step);
        }
    }
    return step;
}

settings_step settings_core::onWatchEnd(time_point /*now*/)
{
    m_isWatchOpen = false; // the next poll, whose time has jitter, opens the watch again
    return {};
}

settings_step settings_core::confirm(time_point now, std::uint64_t number, settings_change change)
{
    settings_step step;
    pending_confirm pending;
    pending.change = std::move(change);
    pending.deadlineAt = now + m_options.confirmTimeout;
    pending.retryDelay = m_options.confirmRetryDelay;
    pending_confirm &entry = m_confirms[number] = std::move(pending);
    if (entry.change.baseRevision != revision()) {
        const std::string detail = "planned on revision " + std::to_string(entry.change.baseRevision) + ", in force is " + std::to_string(revision());
        finishConfirm(number, failure{ error_kind::Conflict, detail }, step);
        return step;
    }
    entry.storeRevision = entry.change.baseRevision;
    entry.revision = entry.change.baseRevision + 1;
    sendCommit(now, number, entry, step);
    return step;
}

std::shared_ptr<const settings_record> settings_core::makeRecord(const pending_confirm &pending) const
{
    auto record = std::make_shared<settings_record>();
    record->revision = pending.revision;
    record->operation = pending.change.operation;
    record->operatorName = pending.change.operatorName;
    record->summary = pending.change.summary;
    record->acceptedAtMs = pending.change.acceptedAtMs;
    record->document = pending.change.document;
    return record;
}

/** Sends the transaction of a pending confirm, or ends the confirm if its deadline has passed. */
void settings_core::sendCommit(time_point now, std::uint64_t number, pending_confirm &pending, settings_step &step)
{
    if (now >= pending.deadlineAt) {
        const error_kind kind = pending.mayHaveWritten ? error_kind::StoreUnknown : error_kind::StoreUnavailable;
        finishConfirm(number, failure{ kind, "no clear answer from the store for operation " + pending.change.operation }, step);
        return;
    }
    const std::string record = nlohmann::json(*makeRecord(pending)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    store_txn txn;
    if (pending.storeRevision == 0) {
        txn.compares.push_back(store_compare::absent(settings_keys::revision));
    } else {
        txn.compares.push_back(store_compare::hasValue(settings_keys::revision, std::to_string(pending.storeRevision)));
    }
    txn.onSuccess.emplace_back(store_put{ settings_keys::revision, std::to_string(pending.revision), 0 });
    txn.onSuccess.emplace_back(store_put{ settings_keys::current, record, 0 });
    txn.onSuccess.emplace_back(store_put{ settings_keys::history(pending.revision), record, 0 });
    txn.onSuccess.emplace_back(store_put{ settings_keys::audit(pending.revision), makeAuditRecord(pending.change, pending.revision), 0 });
    if (pending.revision > m_options.maximumHistory) {
        txn.onSuccess.emplace_back(store_delete{ settings_keys::history(pending.revision - m_options.maximumHistory), false });
    }
    txn.onFailure.emplace_back(store_range{ settings_keys::revision, false, 0 });
    txn.onFailure.emplace_back(store_range{ settings_keys::current, false, 0 });
    txn.onFailure.emplace_back(store_range{ settings_keys::history(pending.revision), false, 0 });
    pending.isInFlight = true;
    step.emplace_back(settings_commit{ number, std::move(txn) });
}

settings_step settings_core::onTxnAnswer(time_point now, std::uint64_t number, const store_txn_answer &answer)
{
    settings_step step;
    const auto found = m_confirms.find(number);
    if (found == m_confirms.end()) {
        return step;
    }
    pending_confirm &pending = found->second;
    pending.isInFlight = false;
    if (answer.error) {
        scheduleRetry(now, number, pending, answer.error->kind != error_kind::StoreUnavailable, step);
    } else if (answer.isSucceeded) {
        adopt(makeRecord(pending), step);
        finishConfirm(number, std::nullopt, step);
    } else {
        resolveFailedCompare(now, number, pending, answer, step);
    }
    return step;
}

void settings_core::scheduleRetry(time_point now, std::uint64_t number, pending_confirm &pending, bool mayHaveWritten, settings_step &step)
{
    pending.mayHaveWritten = pending.mayHaveWritten || mayHaveWritten;
    pending.nextAttempt = now + jittered(pending.retryDelay);
    pending.retryDelay *= 2;
    if (pending.nextAttempt >= pending.deadlineAt) {
        sendCommit(pending.deadlineAt, number, pending, step);
    }
}

/** Determines why the compare failed: an earlier attempt of this confirm succeeded, another operator was faster, or the store lost revisions. */
void settings_core::resolveFailedCompare(time_point now, std::uint64_t number, pending_confirm &pending, const store_txn_answer &answer, settings_step &step)
{
    const auto rangeValue = [&](std::size_t range) -> std::string {
        const bool isThere = answer.ranges.size() > range && !answer.ranges[range].items.empty();
        return isThere ? answer.ranges[range].items.front().value : std::string();
    };
    const std::optional<settings_record> recordOfRevision = parseRecord(rangeValue(2));
    const std::uint64_t storeRevision = parseNumber(rangeValue(0));
    adoptStoredRecord(rangeValue(1), step);
    if (recordOfRevision && recordOfRevision->operation == pending.change.operation) {
        adopt(makeRecord(pending), step);
        finishConfirm(number, std::nullopt, step);
        return;
    }
    if (storeRevision < pending.change.baseRevision && storeRevision != pending.storeRevision) {
        pending.storeRevision = storeRevision; // the store was restored from a backup: compare with its revision, and write one above all revisions so far
        sendCommit(now, number, pending, step);
        return;
    }
    const std::string detail = "planned on revision " + std::to_string(pending.change.baseRevision) + ", the store has " + std::to_string(storeRevision);
    finishConfirm(number, failure{ error_kind::Conflict, detail }, step);
}

void settings_core::finishConfirm(std::uint64_t number, std::optional<failure> error, settings_step &step)
{
    const std::uint64_t revision = error ? 0 : m_confirms.at(number).revision;
    m_confirms.erase(number);
    step.emplace_back(settings_confirm_end{ number, std::move(error), revision });
}

} // namespace reedtrail
