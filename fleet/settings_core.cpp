// A change is accepted by one transaction that compares the store's revision with the one it was planned on, so of two racing operators one wins and the
// other gets a conflict. The record is also written under the key of its own revision and carries the id of the operation. When the answer to the write is
// lost, the same transaction is simply sent again: if the first one took effect, the second fails its compare, reads the record of that revision back and
// finds its own operation id there. It can never take effect twice. (The rule "fix the outcome, then make it visible" is that of "Kafka Transactions":
// nobody but this node sees the change before the store has it.)
//
// A revision travels two ways. Few watchers in each zone see it in the store: by a watch for speed and by polling one small key, since a watch that was
// dropped silently looks like one without news. All others hear the number in the heartbeats of their neighbours and ask one of them for the document.
// adopt() is the only place where the revision in force changes, and it only rises; a store restored from an old copy does not bring an old one back.
//
// Memory: the record in force, one for each confirm under way, and a bounded list of peers that offered a newer one.

#include "fleet/settings_core.h"

#include "base/check.h"

#include <algorithm>
#include <charconv>

namespace reedtrail {
namespace {

constexpr std::size_t maximumOffers = 8;

std::uint64_t numberIn(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::optional<settings_record> recordIn(const std::string &text)
{
    try {
        return nlohmann::json::parse(text).get<settings_record>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string auditText(const settings_change &change, std::uint64_t revision)
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
        readRevision(now, step);
    }
    if (now >= m_askUntil) {
        m_offers.erase(m_offers.begin()); // it did not answer
        m_askUntil = timeNever;
        askNext(now, step);
    }
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, pending] : m_confirms) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        pending_confirm &pending = m_confirms.at(number);
        if (!pending.isInFlight && now >= pending.nextAttempt) {
            attempt(now, number, pending, step);
        }
    }
    return step;
}

time_point settings_core::deadline() const
{
    time_point earliest = std::min(m_nextPoll, m_askUntil);
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
    const auto known = std::ranges::find(m_offers, address, &offer::address);
    if (known != m_offers.end()) {
        known->revision = std::max(known->revision, revision);
    } else if (m_offers.size() < maximumOffers) {
        m_offers.push_back({ address, revision });
    }
    askNext(now, step);
    return step;
}

/** Asks the first peer in the list, unless one is being asked already. */
void settings_core::askNext(time_point now, settings_step &step)
{
    if (m_askUntil != timeNever) {
        return;
    }
    std::erase_if(m_offers, [this](const offer &each) {
        return each.revision <= revision();
    });
    if (!m_offers.empty()) {
        m_askUntil = now + m_options.askTimeout;
        step.emplace_back(settings_ask{ m_offers.front().address });
    }
}

settings_step settings_core::onRecord(time_point now, const settings_record &record)
{
    settings_step step;
    adopt(std::make_shared<settings_record>(record), step);
    const bool isAnswered = !m_offers.empty() && m_offers.front().revision <= revision();
    if (isAnswered) {
        m_askUntil = timeNever;
        askNext(now, step);
    }
    return step;
}

/** Puts @p record in force if it is newer than what is; the only place where that changes. */
void settings_core::adopt(const std::shared_ptr<const settings_record> &record, settings_step &step)
{
    if (record->revision <= revision()) {
        return;
    }
    m_inForce = record;
    step.emplace_back(settings_adopt{ record });
}

void settings_core::adoptText(const std::string &text, settings_step &step)
{
    const std::optional<settings_record> record = recordIn(text);
    if (record) {
        adopt(std::make_shared<settings_record>(*record), step);
    }
}

void settings_core::readRevision(time_point now, settings_step &step)
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
        m_nextPoll = m_isWatcher ? now + jittered(std::min(delay, m_options.longestPollDelay)) : timeNever;
        return step;
    }
    m_failedReads = 0;
    if (answer.items.empty()) {
        return step;
    }
    if (key == settings_keys::revision) {
        noteStoreRevision(numberIn(answer.items.front().value), step);
    } else {
        adoptText(answer.items.front().value, step);
    }
    return step;
}

/** Reads the document if the store has a newer one. */
void settings_core::noteStoreRevision(std::uint64_t storeRevision, settings_step &step)
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
            noteStoreRevision(numberIn(event.item.value), step);
        }
    }
    return step;
}

settings_step settings_core::onWatchEnd(time_point /*now*/)
{
    m_isWatchOpen = false; // opened again with the next poll, which comes with jitter
    return {};
}

settings_step settings_core::confirm(time_point now, std::uint64_t number, settings_change change)
{
    settings_step step;
    pending_confirm pending;
    pending.change = std::move(change);
    pending.givenUpAt = now + m_options.confirmTimeout;
    pending.retryDelay = m_options.confirmRetryDelay;
    pending_confirm &kept = m_confirms[number] = std::move(pending);
    if (kept.change.baseRevision != revision()) {
        const std::string detail = "planned on revision " + std::to_string(kept.change.baseRevision) + ", in force is " + std::to_string(revision());
        endConfirm(number, failure{ error_kind::Conflict, detail }, step);
        return step;
    }
    kept.storeRevision = kept.change.baseRevision;
    kept.revision = kept.change.baseRevision + 1;
    attempt(now, number, kept, step);
    return step;
}

std::shared_ptr<const settings_record> settings_core::recordOf(const pending_confirm &pending) const
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

void settings_core::attempt(time_point now, std::uint64_t number, pending_confirm &pending, settings_step &step)
{
    if (now >= pending.givenUpAt) {
        const error_kind kind = pending.mayHaveWritten ? error_kind::StoreUnknown : error_kind::StoreUnavailable;
        endConfirm(number, failure{ kind, "no clear answer from the store for operation " + pending.change.operation }, step);
        return;
    }
    const std::string record = nlohmann::json(*recordOf(pending)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    store_txn txn;
    if (pending.storeRevision == 0) {
        txn.compares.push_back(store_compare::absent(settings_keys::revision));
    } else {
        txn.compares.push_back(store_compare::hasValue(settings_keys::revision, std::to_string(pending.storeRevision)));
    }
    txn.onSuccess.emplace_back(store_put{ settings_keys::revision, std::to_string(pending.revision), 0 });
    txn.onSuccess.emplace_back(store_put{ settings_keys::current, record, 0 });
    txn.onSuccess.emplace_back(store_put{ settings_keys::history(pending.revision), record, 0 });
    txn.onSuccess.emplace_back(store_put{ settings_keys::audit(pending.revision), auditText(pending.change, pending.revision), 0 });
    if (pending.revision > m_options.historyKept) {
        txn.onSuccess.emplace_back(store_delete{ settings_keys::history(pending.revision - m_options.historyKept), false });
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
        retryLater(now, number, pending, answer.error->kind != error_kind::StoreUnavailable, step);
    } else if (answer.isSucceeded) {
        adopt(recordOf(pending), step);
        endConfirm(number, std::nullopt, step);
    } else {
        resolveRefusal(now, number, pending, answer, step);
    }
    return step;
}

void settings_core::retryLater(time_point now, std::uint64_t number, pending_confirm &pending, bool mayHaveWritten, settings_step &step)
{
    pending.mayHaveWritten = pending.mayHaveWritten || mayHaveWritten;
    pending.nextAttempt = now + jittered(pending.retryDelay);
    pending.retryDelay *= 2;
    if (pending.nextAttempt >= pending.givenUpAt) {
        attempt(pending.givenUpAt, number, pending, step);
    }
}

/** Finds out why the compare failed: this node's own earlier attempt, another operator, or a store that lost revisions. */
void settings_core::resolveRefusal(time_point now, std::uint64_t number, pending_confirm &pending, const store_txn_answer &answer, settings_step &step)
{
    const auto valueOf = [&](std::size_t range) -> std::string {
        const bool isThere = answer.ranges.size() > range && !answer.ranges[range].items.empty();
        return isThere ? answer.ranges[range].items.front().value : std::string();
    };
    const std::optional<settings_record> sameRevision = recordIn(valueOf(2));
    const std::uint64_t storeRevision = numberIn(valueOf(0));
    adoptText(valueOf(1), step);
    if (sameRevision && sameRevision->operation == pending.change.operation) {
        adopt(recordOf(pending), step);
        endConfirm(number, std::nullopt, step);
        return;
    }
    if (storeRevision < pending.change.baseRevision && storeRevision != pending.storeRevision) {
        pending.storeRevision = storeRevision; // the store was restored from an older copy: go on from what it has, with a revision above all
        attempt(now, number, pending, step);
        return;
    }
    const std::string detail = "planned on revision " + std::to_string(pending.change.baseRevision) + ", the store has " + std::to_string(storeRevision);
    endConfirm(number, failure{ error_kind::Conflict, detail }, step);
}

void settings_core::endConfirm(std::uint64_t number, std::optional<failure> error, settings_step &step)
{
    const std::uint64_t revision = error ? 0 : m_confirms.at(number).revision;
    m_confirms.erase(number);
    step.emplace_back(settings_confirm_end{ number, std::move(error), revision });
}

} // namespace reedtrail
