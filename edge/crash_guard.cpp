#include "edge/crash_guard.h"

#include "edge/peer_message.h"
#include "edge/peer_protocol.h"
#include "kernel/log.h"

#include <cstdio>

namespace reedtrail {
namespace {

constexpr duration askTimeout = std::chrono::milliseconds(150); // Fifty times the round trip between zones; interactive callers wait for the answer.
constexpr duration serverEndTimeout = std::chrono::milliseconds(50); // A machine that has just closed a connection answers within a round trip.
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
    const auto onPresence = [this, identity, request = std::string(request), server, mayCount, onEnd = std::move(onEnd)](server_presence presence) {
        const std::string name(presenceName(presence));
        m_context.metrics.counter("reedtrail_attempts_broken_total", "Attempts whose response broke off", "server=\"" + name + "\"").add();
        logLine(log_level::Info,
                "broken-attempt-server",
                { { "request", request }, { "digest", identity.text() }, { "server", server.id }, { "is", name }, { "counts", mayCount ? "yes" : "no" } });
        const bool isRecorded = presence == server_presence::Ended && mayCount;
        if (isRecorded) {
            m_client->recordEnd(identity, server.id, server.startedAt);
        } else if (presence == server_presence::Listening && mayCount) {
            m_brokenAttempts.add({ identity, request, server.id, server.address, server.startedAt, m_context.loop.now() });
        }
        onEnd(isRecorded);
    };
    probeServerEnd(m_context.loop.io(), server.address, serverEndTimeout, onPresence);
}

void crash_guard::onServersChanged(const server_directory &servers)
{
    if (m_brokenAttempts.isEmpty()) {
        return;
    }
    for (const broken_attempts::attempt &each : m_brokenAttempts.takeEnded(m_context.loop.now(), servers)) {
        m_context.metrics.counter("reedtrail_attempts_broken_total", "Attempts whose response broke off", "server=\"replaced\"").add();
        logLine(log_level::Info,
                "broken-attempt-server",
                { { "request", each.request }, { "digest", each.identity.text() }, { "server", each.server }, { "is", "replaced" }, { "counts", "yes" } });
        m_client->recordEnd(each.identity, each.server, each.startedAt);
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
