// Every call travels to the store, is applied in one step, and its answer travels back. A fault strikes at one of the three points, and the client sees
// what a real one would: a call that never arrived may look the same as one whose answer was lost, so a write that ends without an answer is StoreUnknown
// unless the connection was refused. History is kept whole until compact(): memory grows with the writes of a run.

#include "harness/fake_store.h"

#include <algorithm>

namespace reedtrail::harness {
namespace {

constexpr double refusedShare = 0.5; // of calls to a store that is down; the others time out

bool isWrite(store_call_kind kind)
{
    return kind != store_call_kind::Read && kind != store_call_kind::Watch;
}

bool covers(const std::string &key, bool isPrefix, const std::string &candidate)
{
    return isPrefix ? candidate.starts_with(key) : candidate == key;
}

} // namespace

fake_store::fake_store(virtual_time &world, random_source random, fake_store_options options)
    : m_world(world)
    , m_random(random)
    , m_options(options)
{
}

fake_store_client fake_store::client(std::string name)
{
    return { *this, std::move(name) };
}

void fake_store::setDown(bool isDown)
{
    const bool returns = m_isDown && !isDown;
    m_isDown = isDown;
    if (isDown) {
        std::vector<store_watch_id> open;
        for (const auto &[id, watch] : m_watches) {
            open.push_back(id);
        }
        for (const store_watch_id id : open) {
            if (!m_watches.at(id).isSilent) {
                endWatch(id, { { error_kind::StoreUnavailable, "connection closed" }, 0 });
            }
        }
    }
    if (returns) {
        for (auto &[id, lease] : m_leases) {
            lease.expiresAt = m_world.now() + std::chrono::seconds(lease.ttlSeconds);
            m_world.at(lease.expiresAt, [this, id = id] {
                checkLease(id);
            });
        }
    }
}

void fake_store::setSlow(bool isSlow)
{
    m_isSlow = isSlow;
}

void fake_store::setCut(const std::string &clientName, bool isCut)
{
    if (isCut) {
        m_cutClients.insert(clientName);
    } else {
        m_cutClients.erase(clientName);
    }
}

void fake_store::loseAnswers(std::uint64_t count)
{
    m_answersToLose = count;
}

void fake_store::setAnswerLossChance(double chance)
{
    m_answerLossChance = chance;
}

void fake_store::dropWatchesSilently()
{
    for (auto &[id, watch] : m_watches) {
        watch.isSilent = true;
    }
}

void fake_store::compact()
{
    m_compactRevision = m_revision;
    std::erase_if(m_history, [this](const history_record &record) {
        return record.revision < m_compactRevision;
    });
}

void fake_store::forgetClient(const std::string &clientName)
{
    ++m_clientIncarnations[clientName];
    std::erase_if(m_watches, [&](const auto &entry) {
        return entry.second.clientName == clientName;
    });
}

std::uint64_t fake_store::writes() const
{
    return count(store_call_kind::Write) + count(store_call_kind::LeaseGrant) + count(store_call_kind::LeaseKeepAlive) + count(store_call_kind::LeaseRevoke);
}

std::uint64_t fake_store::reads() const
{
    return count(store_call_kind::Read) + count(store_call_kind::Watch);
}

std::optional<store_key_value> fake_store::peek(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional(found->second);
}

void fake_store::put(const std::string &key, const std::string &value)
{
    applyPut({ key, value, 0 }, ++m_revision);
    reportAll();
}

void fake_store::erase(const std::string &key)
{
    eraseKey(key, ++m_revision);
    reportAll();
}

bool fake_store::reaches(const std::string &clientName) const
{
    return !m_isDown && !m_cutClients.contains(clientName);
}

std::uint64_t fake_store::incarnationOf(const std::string &clientName) const
{
    const auto found = m_clientIncarnations.find(clientName);
    return found == m_clientIncarnations.end() ? 0 : found->second;
}

duration fake_store::oneWayDelay()
{
    const duration delay = m_isSlow ? m_options.slowDelay : m_options.delay;
    return duration(static_cast<std::int64_t>(static_cast<double>(delay.count()) * m_random.uniform(0.5, 1.5)));
}

template<class Answer>
void fake_store::answerLater(const std::string &clientName, duration delay, Answer answer, std::function<void(const Answer &)> onAnswer)
{
    m_world.after(delay, [this, clientName, number = incarnationOf(clientName), answer = std::move(answer), onAnswer = std::move(onAnswer)] {
        if (number == incarnationOf(clientName)) {
            onAnswer(answer);
        }
    });
}

template<class Answer>
void fake_store::call(const std::string &clientName, store_call_kind kind, std::function<Answer()> apply, std::function<void(const Answer &)> onAnswer)
{
    Answer lost;
    lost.error = failure{ isWrite(kind) ? error_kind::StoreUnknown : error_kind::StoreUnavailable, "no answer within the timeout" };
    if (m_isDown && m_random.chance(refusedShare)) {
        Answer refused;
        refused.error = failure{ error_kind::StoreUnavailable, "connection refused" };
        answerLater(clientName, m_options.delay, std::move(refused), std::move(onAnswer));
        return;
    }
    const duration there = oneWayDelay();
    const duration back = oneWayDelay();
    const time_point givenUpAt = m_world.now() + m_options.timeout;
    m_world.after(there, [=, this, number = incarnationOf(clientName), apply = std::move(apply), onAnswer = std::move(onAnswer)] {
        const bool arrives = reaches(clientName);
        Answer answer = lost;
        bool isLost = !arrives;
        if (arrives) {
            ++m_counts.at(static_cast<std::size_t>(kind));
            answer = apply();
            isLost = isWrite(kind) && (m_answersToLose > 0 || m_random.chance(m_answerLossChance));
            m_answersToLose -= isLost && m_answersToLose > 0 ? 1 : 0;
        }
        if (number != incarnationOf(clientName)) {
            return;
        }
        const time_point backAt = m_world.now() + back;
        if (isLost || backAt > givenUpAt) {
            answerLater(clientName, std::max(duration{}, givenUpAt - m_world.now()), lost, onAnswer);
            return;
        }
        answerLater(clientName, back, std::move(answer), onAnswer);
    });
}

void fake_store_client::range(const store_range &call, std::function<void(const store_range_answer &)> onAnswer)
{
    fake_store *store = m_store;
    store->call<store_range_answer>(
        m_name,
        store_call_kind::Read,
        [store, call] {
            return store->applyRange(call);
        },
        std::move(onAnswer));
}

void fake_store_client::txn(const store_txn &call, std::function<void(const store_txn_answer &)> onAnswer)
{
    fake_store *store = m_store;
    store->call<store_txn_answer>(
        m_name,
        store_call_kind::Write,
        [store, call] {
            return store->applyTxn(call);
        },
        std::move(onAnswer));
}

void fake_store_client::grant(const store_lease_grant &call, std::function<void(const store_lease_answer &)> onAnswer)
{
    fake_store *store = m_store;
    store->call<store_lease_answer>(
        m_name,
        store_call_kind::LeaseGrant,
        [store, call] {
            return store->applyGrant(call);
        },
        std::move(onAnswer));
}

void fake_store_client::keepAlive(const store_lease_keep_alive &call, std::function<void(const store_lease_answer &)> onAnswer)
{
    fake_store *store = m_store;
    store->call<store_lease_answer>(
        m_name,
        store_call_kind::LeaseKeepAlive,
        [store, call] {
            return store->applyKeepAlive(call);
        },
        std::move(onAnswer));
}

void fake_store_client::revoke(const store_lease_revoke &call, std::function<void(const store_lease_answer &)> onAnswer)
{
    fake_store *store = m_store;
    store->call<store_lease_answer>(
        m_name,
        store_call_kind::LeaseRevoke,
        [store, call] {
            return store->applyRevoke(call.lease);
        },
        std::move(onAnswer));
}

store_watch_id fake_store_client::watch(const store_watch_create &call, store_watch_handlers handlers)
{
    return m_store->openWatch(m_name, call, std::move(handlers));
}

void fake_store_client::cancelWatch(store_watch_id watch)
{
    m_store->m_watches.erase(watch);
}

store_range_answer fake_store::applyRange(const store_range &call) const
{
    store_range_answer answer;
    answer.revision = m_revision;
    for (auto item = m_items.lower_bound(call.key); item != m_items.end() && covers(call.key, call.isPrefix, item->first); ++item) {
        if (call.limit > 0 && static_cast<std::int64_t>(answer.items.size()) >= call.limit) {
            break;
        }
        answer.items.push_back(item->second);
    }
    return answer;
}

bool fake_store::holds(const store_compare &compare) const
{
    const std::optional<store_key_value> item = peek(compare.key);
    std::strong_ordering order = std::strong_ordering::equal;
    switch (compare.target) {
    case store_compare_target::ModRevision:
        order = (item ? item->modRevision : 0) <=> compare.number;
        break;
    case store_compare_target::Version:
        order = (item ? item->version : 0) <=> compare.number;
        break;
    case store_compare_target::Value:
        if (!item) {
            return false;
        }
        order = item->value <=> compare.value;
        break;
    }
    switch (compare.relation) {
    case store_compare_relation::Equal:
        return order == 0;
    case store_compare_relation::Greater:
        return order > 0;
    case store_compare_relation::Less:
        return order < 0;
    case store_compare_relation::NotEqual:
        return order != 0;
    }
    return false;
}

store_txn_answer fake_store::applyTxn(const store_txn &call)
{
    store_txn_answer answer;
    answer.isSucceeded = std::ranges::all_of(call.compares, [this](const store_compare &compare) {
        return holds(compare);
    });
    const std::vector<store_operation> &operations = answer.isSucceeded ? call.onSuccess : call.onFailure;
    const bool hasLostLease = std::ranges::any_of(operations, [this](const store_operation &operation) {
        const auto *put = std::get_if<store_put>(&operation);
        return put != nullptr && put->lease != 0 && !m_leases.contains(put->lease);
    });
    if (hasLostLease) {
        answer.error = failure{ error_kind::NotFound, "lease has lapsed" };
        return answer;
    }
    const bool writesAny = std::ranges::any_of(operations, [](const store_operation &operation) {
        return !std::holds_alternative<store_range>(operation);
    });
    m_revision += writesAny ? 1 : 0;
    for (const store_operation &operation : operations) {
        if (const auto *put = std::get_if<store_put>(&operation)) {
            applyPut(*put, m_revision);
        } else if (const auto *gone = std::get_if<store_delete>(&operation)) {
            applyDelete(*gone, m_revision);
        } else {
            answer.ranges.push_back(applyRange(std::get<store_range>(operation)));
        }
    }
    answer.revision = m_revision;
    reportAll();
    return answer;
}

void fake_store::applyPut(const store_put &put, store_revision revision)
{
    store_key_value &item = m_items[put.key];
    if (item.lease != 0 && m_leases.contains(item.lease)) {
        m_leases.at(item.lease).keys.erase(put.key);
    }
    item.key = put.key;
    item.value = put.value;
    item.createRevision = item.version == 0 ? revision : item.createRevision;
    item.modRevision = revision;
    ++item.version;
    item.lease = put.lease;
    if (put.lease != 0) {
        m_leases.at(put.lease).keys.insert(put.key);
    }
    m_history.push_back({ revision, { store_watch_event::kind::Put, item } });
}

void fake_store::applyDelete(const store_delete &gone, store_revision revision)
{
    std::vector<std::string> keys;
    for (auto item = m_items.lower_bound(gone.key); item != m_items.end() && covers(gone.key, gone.isPrefix, item->first); ++item) {
        keys.push_back(item->first);
    }
    for (const std::string &key : keys) {
        eraseKey(key, revision);
    }
}

void fake_store::eraseKey(const std::string &key, store_revision revision)
{
    const auto item = m_items.find(key);
    if (item == m_items.end()) {
        return;
    }
    // The lease's end must not take a later key of the same name.
    if (const auto lease = m_leases.find(item->second.lease); lease != m_leases.end()) {
        lease->second.keys.erase(key);
    }
    m_items.erase(item);
    store_key_value gone;
    gone.key = key;
    gone.modRevision = revision;
    m_history.push_back({ revision, { store_watch_event::kind::Delete, std::move(gone) } });
}

store_lease_answer fake_store::applyGrant(const store_lease_grant &call)
{
    const store_lease_id id = m_nextLease++;
    const time_point expiresAt = m_world.now() + std::chrono::seconds(call.ttlSeconds);
    m_leases[id] = { call.ttlSeconds, expiresAt, {} };
    m_world.at(expiresAt, [this, id] {
        checkLease(id);
    });
    return { {}, id, call.ttlSeconds };
}

store_lease_answer fake_store::applyKeepAlive(const store_lease_keep_alive &call)
{
    const auto found = m_leases.find(call.lease);
    if (found == m_leases.end()) {
        return { failure{ error_kind::NotFound, "lease has lapsed" }, call.lease, 0 };
    }
    found->second.expiresAt = m_world.now() + std::chrono::seconds(found->second.ttlSeconds);
    m_world.at(found->second.expiresAt, [this, id = call.lease] {
        checkLease(id);
    });
    return { {}, call.lease, found->second.ttlSeconds };
}

store_lease_answer fake_store::applyRevoke(store_lease_id lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return { failure{ error_kind::NotFound, "lease has lapsed" }, lease, 0 };
    }
    const std::set<std::string> keys = std::move(found->second.keys);
    m_leases.erase(found);
    if (!keys.empty()) {
        ++m_revision;
        for (const std::string &key : keys) {
            eraseKey(key, m_revision);
        }
        reportAll();
    }
    return { {}, lease, 0 };
}

void fake_store::checkLease(store_lease_id lease)
{
    const auto found = m_leases.find(lease);
    if (!m_isDown && found != m_leases.end() && found->second.expiresAt <= m_world.now()) {
        applyRevoke(lease);
    }
}

store_watch_id fake_store::openWatch(const std::string &clientName, const store_watch_create &call, store_watch_handlers handlers)
{
    const store_watch_id id = m_nextWatch++;
    m_watches[id] = { clientName, call, std::move(handlers), call.fromRevision, false };
    m_world.after(oneWayDelay(), [this, id] {
        startWatch(id);
    });
    return id;
}

void fake_store::startWatch(store_watch_id id)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end()) {
        return;
    }
    if (!reaches(found->second.clientName)) {
        m_world.after(m_options.delay, [this, id] {
            endWatch(id, { { error_kind::StoreUnavailable, "no connection" }, 0 });
        });
        return;
    }
    ++m_counts.at(static_cast<std::size_t>(store_call_kind::Watch));
    if (found->second.nextRevision == 0) {
        found->second.nextRevision = m_revision + 1;
    }
    if (found->second.nextRevision < m_compactRevision) {
        endWatch(id, { { error_kind::Stale, "revision is compacted" }, m_compactRevision });
        return;
    }
    report(id);
    reportProgress(id);
}

void fake_store::reportAll()
{
    std::vector<store_watch_id> ids;
    ids.reserve(m_watches.size());
    for (const auto &[id, watch] : m_watches) {
        ids.push_back(id);
    }
    for (const store_watch_id id : ids) {
        report(id);
    }
}

void fake_store::report(store_watch_id id)
{
    watch_record &watch = m_watches.at(id);
    if (watch.nextRevision == 0 || !reaches(watch.clientName) || watch.isSilent) {
        return;
    }
    store_watch_report found;
    found.revision = m_revision;
    const auto first = std::ranges::lower_bound(m_history, watch.nextRevision, {}, &history_record::revision);
    for (auto record = first; record != m_history.end(); ++record) {
        if (covers(watch.call.key, watch.call.isPrefix, record->event.item.key)) {
            found.events.push_back(record->event);
        }
    }
    watch.nextRevision = m_revision + 1;
    if (found.events.empty()) {
        return;
    }
    m_world.after(oneWayDelay(), [this, id, found = std::move(found)] {
        const auto open = m_watches.find(id);
        if (open == m_watches.end() || open->second.isSilent) {
            return;
        }
        if (!reaches(open->second.clientName)) {
            open->second.isSilent = true; // the connection has lost part of its stream
            return;
        }
        const auto onReport = open->second.handlers.onReport;
        onReport(found);
    });
}

void fake_store::reportProgress(store_watch_id id)
{
    m_world.after(m_options.progressInterval, [this, id] {
        const auto open = m_watches.find(id);
        if (open == m_watches.end()) {
            return;
        }
        reportProgress(id);
        if (reaches(open->second.clientName) && !open->second.isSilent) {
            const auto onReport = open->second.handlers.onReport;
            onReport({ m_revision, {} });
        }
    });
}

void fake_store::endWatch(store_watch_id id, store_watch_end end)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end()) {
        return;
    }
    found->second.isSilent = true;
    m_world.after(m_options.delay, [this, id, end = std::move(end)] {
        const auto open = m_watches.find(id);
        if (open != m_watches.end()) {
            const auto onEnd = open->second.handlers.onEnd;
            m_watches.erase(open);
            onEnd(end);
        }
    });
}

} // namespace reedtrail::harness
