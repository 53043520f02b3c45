#include "edge/crash_guard.h"

#include "edge/peer_message.h"
#include "edge/peer_protocol.h"
#include "kernel/log.h"

#include <cstdio>

namespace reedtrail {
namespace {

constexpr duration askTimeout = std::chrono::milliseconds(150); // Fifty times the round trip between zones; interactive callers wait for the answer.
constexpr duration serverEndTimeout = std::chrono::milliseconds(50); // A machine that has just closed a connection answers within a round trip.
constexpr duration silentProbeTimeout = std::chrono::milliseconds(100); // Covers a pause of this node's own machine.
constexpr int silentProbes = 2; // One opening packet may be lost.
constexpr duration recentAnswer = std::chrono::milliseconds(125); // A server that answered another request this shortly before is not asked.
constexpr std::size_t maxPresumedEnds = 256; // The oldest one is forgotten first.
constexpr duration answerMemory = std::chrono::seconds(30); // Longer than an answer tells anything of an attempt.
constexpr duration persistRetryDelay = std::chrono::seconds(1);
constexpr duration expiryInterval = std::chrono::minutes(1);

std::string hexadecimal(std::uint64_t number)
{
    return request_identity{ {}, number }.text();
}

} // namespace

void crash_peer_client::send(const std::string &node, const crash_message &message, std::function<void(peer_ask_end, const crash_reply &)> onEnd)
{
    const auto onAnswer = [node, onEnd = std::move(onEnd)](const peer_ask_result &result, const crash_reply &reply) {
        if (result.end != peer_ask_end::Answered) {
            logLine(log_level::Info, "crash-peer-passed-over", { { "peer", node }, { "reason", result.reason } });
        }
        onEnd(result.end, reply);
    };
    askPeer<crash_reply, crash_message>(m_router, m_peerClient, node, peer_protocol::crashPath, message, askTimeout, onAnswer);
}

crash_guard::crash_guard(edge_context &context, store_router &router, http_client &peerClient)
    : m_context(context)
    , m_peers(router, peerClient)
{
    crash_client_actions actions;
    actions.persist = [this](const crash_record &record) {
        persist(record.digest);
    };
    actions.forget = [this](std::uint64_t digest) {
        forget(digest);
    };
    actions.onChange = [](const crash_record &record) {
        logLine(log_level::Info,
                "suspect-request",
                { { "digest", hexadecimal(record.digest) },
                  { "ends", std::to_string(record.ends.size()) },
                  { "retries", std::to_string(record.retries[0] + record.retries[1]) },
                  { "era", std::to_string(record.era) } });
    };
    m_client = std::make_shared<crash_client<crash_peer_client, asio_loop>>(m_peers, context.loop, context.settings.node, std::move(actions));
    scheduleExpiry();
}

std::string crash_guard::admit(const request_identity &identity, std::string_view request, std::function<void(const crash_grant &)> onEnd)
{
    if (m_context.isDraining) {
        m_client->stopKeeping();
    }
    const std::string asker = m_context.settings.node + "/" + m_context.incarnation + "/" + std::to_string(++m_askCount);
    m_client->admit(identity, asker, [this, identity, request = std::string(request), onEnd = std::move(onEnd)](const crash_grant &grant) {
        const char *decision = grant.isGranted ? "granted" : "denied";
        m_context.metrics.counter("reedtrail_suspect_attempts_total", "Attempts of requests under which servers ended", std::string("is=\"") + decision + "\"")
            .add();
        logLine(log_level::Info,
                "suspect-attempt",
                { { "request", request },
                  { "digest", identity.text() },
                  { "is", decision },
                  { "return-after-ms", std::to_string(duration(grant.returnAfterUs) / std::chrono::milliseconds(1)) } });
        onEnd(grant);
    });
    return asker;
}

void crash_guard::onBroken(
    const request_identity &identity, std::string_view request, const backend_choice &server, bool mayCount, std::function<void(bool isRecorded)> onEnd)
{
    const broken_attempts::attempt broken{ identity, std::string(request), server.id, server.address, server.startedAt, m_context.loop.now(), false };
    const auto onPresence = [this, broken, mayCount, onEnd = std::move(onEnd)](server_presence presence) {
        logServer(broken, "broken", presenceName(presence), mayCount);
        const bool isRecorded = presence == server_presence::Ended && mayCount;
        if (isRecorded) {
            m_client->recordEnd(broken.identity, broken.server, broken.startedAt);
        } else if (presence == server_presence::Listening && mayCount) {
            m_brokenAttempts.add(broken);
        }
        onEnd(isRecorded);
    };
    probeServerEnd(m_context.loop.io(), server.address, serverEndTimeout, onPresence);
}

void crash_guard::onUnanswered(const request_identity &identity,
                               std::string_view request,
                               const backend_choice &server,
                               bool mayCount,
                               duration quietFor,
                               std::function<void(bool isRecorded)> onEnd)
{
    const time_point now = m_context.loop.now();
    const broken_attempts::attempt silent{ identity, std::string(request), server.id, server.address, server.startedAt, now, true };
    if (!mayCount) {
        onEnd(false);
        return;
    }
    const auto judge = [this, silent, now, onEnd = std::move(onEnd)] {
        if (hasAnsweredSince(silent, now - recentAnswer)) {
            judgeSilence(silent, server_presence::Listening, onEnd);
            return;
        }
        probeSilentServer(silent, silentProbes, [this, silent, onEnd](server_presence presence) {
            judgeSilence(silent, presence, onEnd);
        });
    };
    if (quietFor >= minSilence) {
        judge();
    } else {
        m_context.loop.after(minSilence - quietFor, judge);
    }
}

/** Tells whether the instance that left an attempt unanswered has answered another request since then. */
bool crash_guard::hasAnsweredSince(const broken_attempts::attempt &attempt, time_point since) const
{
    const auto found = m_answers.find(attempt.server);
    return found != m_answers.end() && found->second.startedAt == attempt.startedAt && found->second.at >= since;
}

/** Finds out whether a silent server takes connections. @param tries at most; if none is answered, the presence is unknown */
void crash_guard::probeSilentServer(const broken_attempts::attempt &attempt, int tries, std::function<void(server_presence)> onEnd)
{
    probeServerEnd(m_context.loop.io(), attempt.address, silentProbeTimeout, [this, attempt, tries, onEnd = std::move(onEnd)](server_presence presence) {
        if (presence == server_presence::Unknown && tries > 1) {
            probeSilentServer(attempt, tries - 1, onEnd);
        } else {
            onEnd(presence);
        }
    });
}

void crash_guard::judgeSilence(const broken_attempts::attempt &attempt, server_presence presence, const std::function<void(bool isRecorded)> &onEnd)
{
    const bool isListening = presence == server_presence::Listening || hasAnsweredSince(attempt, attempt.brokenAt);
    logServer(attempt, "silent", presenceName(isListening ? server_presence::Listening : presence), true);
    if (isListening) {
        m_brokenAttempts.add(attempt);
        onEnd(false);
        return;
    }
    m_client->recordEnd(attempt.identity, attempt.server, attempt.startedAt);
    if (presence == server_presence::Unknown) {
        presumeEnd(attempt);
    }
    onEnd(true);
}

/** Remembers an end that an answer of the same instance disproves. */
void crash_guard::presumeEnd(const broken_attempts::attempt &attempt)
{
    if (m_presumedEnds.size() == maxPresumedEnds) {
        m_presumedEnds.erase(m_presumedEnds.begin());
    }
    m_presumedEnds.push_back(attempt);
}

void crash_guard::onAnswer(const backend_choice &server)
{
    m_answers[server.id] = { server.startedAt, m_context.loop.now() };
    m_brokenAttempts.recordAnswer(server.id, server.startedAt);
    std::erase_if(m_presumedEnds, [&](const broken_attempts::attempt &each) {
        const bool isDisproved = each.server == server.id && each.startedAt == server.startedAt;
        if (isDisproved) {
            logServer(each, "silent", "answering", true);
            m_client->disproveEnd(each.identity, each.server, each.startedAt);
        }
        return isDisproved;
    });
}

/** Logs what is known of a server that left an attempt unanswered. @param how the attempt ended */
void crash_guard::logServer(const broken_attempts::attempt &attempt, std::string_view how, std::string_view presence, bool mayCount) const
{
    m_context.metrics
        .counter("reedtrail_attempts_broken_total",
                 "Attempts that a server left unanswered, by what its address or registration says of it",
                 "how=\"" + std::string(how) + "\",server=\"" + std::string(presence) + "\"")
        .add();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.loop.now() - attempt.brokenAt);
    logLine(log_level::Info,
            "broken-attempt-server",
            { { "request", attempt.request },
              { "digest", attempt.identity.text() },
              { "server", attempt.server },
              { "started-at", std::to_string(attempt.startedAt) },
              { "how", std::string(how) },
              { "is", std::string(presence) },
              { "known-after-ms", std::to_string(age.count()) },
              { "counts", mayCount ? "yes" : "no" } });
}

void crash_guard::onServersChanged(const server_directory &servers)
{
    if (m_brokenAttempts.isEmpty()) {
        return;
    }
    for (const broken_attempts::attempt &each : m_brokenAttempts.takeEnded(m_context.loop.now(), servers)) {
        const bool isGone = servers.find(each.server) == nullptr;
        logServer(each, each.isSilent ? "silent" : "broken", isGone ? "gone" : "replaced", true);
        m_client->recordEnd(each.identity, each.server, each.startedAt);
        if (each.isSilent && isGone) {
            presumeEnd(each);
        }
    }
}

void crash_guard::onSurvived(const request_identity &identity, std::string_view request, const backend_choice &server)
{
    logLine(log_level::Info, "suspect-survived", { { "request", std::string(request) }, { "digest", identity.text() }, { "server", server.id } });
    m_client->recordSurvival(identity);
}

void crash_guard::serve(const std::shared_ptr<http_exchange> &exchange)
{
    if (m_context.isDraining) {
        exchange->respond(textResponse(http_status::unavailable, ""));
        return;
    }
    const std::optional<crash_message> message = decodePeerMessage<crash_message>(exchange->request().body);
    if (!message) {
        exchange->respond(textResponse(http_status::badRequest, "bad message\n"));
        return;
    }
    exchange->respond(peerReply(m_client->serve(*message)));
}

void crash_guard::onStored(std::string_view key, const std::string &value, bool isRemoved)
{
    if (isRemoved) {
        return; // Each node forgets by itself what is too old.
    }
    const std::optional<crash_message> message = decodePeerMessage<crash_message>(value);
    if (!message || message->records.size() != 1) {
        logLine(log_level::Warning, "suspect-entry-unusable", { { "key", std::string(key) } });
        return;
    }
    m_client->mergeStored(message->records.front());
}

std::string crash_guard::stateText() const
{
    const std::uint64_t hash = m_client->stateHash();
    return hash == 0 ? "" : hexadecimal(hash);
}

void crash_guard::onPingAnswer(const std::string &node, std::string_view stateText)
{
    if (stateText != this->stateText()) {
        m_client->exchangeWith(node);
    }
}

std::string crash_guard::keyOf(std::uint64_t digest)
{
    return std::string(peer_protocol::nodesPrefix) + std::string(keyPart) + hexadecimal(digest);
}

/** Writes what this node knows of a request, merged with what the store has of it, until the store has taken it. */
void crash_guard::persist(std::uint64_t digest)
{
    stored_state &state = m_stored[digest];
    state.isDirty = true;
    if (!std::exchange(state.isWriting, true)) {
        write(digest);
    }
}

void crash_guard::write(std::uint64_t digest)
{
    stored_state &state = m_stored[digest];
    crash_message message;
    message.records.push_back(m_client->table().recordOf(m_context.loop.now(), digest));
    if (!state.isDirty || message.records.front().digest != digest) { // The second: it was forgotten meanwhile.
        state.isWriting = false;
        return;
    }
    state.isDirty = false;
    store_txn txn;
    txn.compares.push_back(store_compare::unchanged(keyOf(digest), state.revision));
    txn.onSuccess.push_back(store_put{ keyOf(digest), encodePeerMessage(message), 0 });
    m_context.store.txn(txn, [this, digest](const store_txn_answer &answer) {
        stored_state &written = m_stored[digest];
        if (!answer.error && answer.isSucceeded) {
            written.revision = answer.revision;
            write(digest);
            return;
        }
        written.isDirty = true;
        if (!answer.error) {
            mergeStoredAndWrite(digest);
            return;
        }
        logLine(log_level::Info, "suspect-not-stored", { { "digest", hexadecimal(digest) }, { "reason", answer.error->detail } });
        m_context.loop.after(persistRetryDelay, [this, digest] {
            mergeStoredAndWrite(digest); // The write may have been done.
        });
    });
}

/** Reads what the store has of a request, and writes again. */
void crash_guard::mergeStoredAndWrite(std::uint64_t digest)
{
    m_context.store.range({ keyOf(digest), false, 0 }, [this, digest](const store_range_answer &answer) {
        if (answer.error) {
            m_context.loop.after(persistRetryDelay, [this, digest] {
                mergeStoredAndWrite(digest);
            });
            return;
        }
        m_stored[digest].revision = answer.items.empty() ? 0 : answer.items.front().modRevision;
        if (!answer.items.empty()) {
            onStored(answer.items.front().key, answer.items.front().value, false);
        }
        write(digest);
    });
}

void crash_guard::forget(std::uint64_t digest)
{
    m_stored.erase(digest);
    store_txn txn;
    txn.onSuccess.push_back(store_delete{ keyOf(digest), false });
    m_context.store.txn(txn, [digest](const store_txn_answer &answer) {
        if (answer.error) { // The entry is too old to be used; it takes some bytes of the store.
            logLine(log_level::Info, "suspect-not-removed", { { "digest", hexadecimal(digest) }, { "reason", answer.error->detail } });
        }
    });
}

void crash_guard::scheduleExpiry()
{
    m_context.loop.after(expiryInterval, [this] {
        m_client->expire();
        std::erase_if(m_answers, [now = m_context.loop.now()](const auto &each) {
            return now - each.second.at > answerMemory;
        });
        scheduleExpiry();
    });
}

nlohmann::json crash_guard::dump() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const crash_record &each : m_client->table().sharedRecords(m_context.loop.now())) {
        rows.push_back({ { "digest", hexadecimal(each.digest) }, { "ends", each.ends.size() }, { "retries", each.retries }, { "era", each.era } });
    }
    return { { "known", m_client->table().size() }, { "shared", rows } };
}

} // namespace reedtrail
