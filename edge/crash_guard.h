/**
 * @file
 * Connects fleet/crash_client.h with the callers' requests, the other nodes and the store.
 */
#pragma once

#include "edge/asio_loop.h"
#include "edge/edge_context.h"
#include "edge/server_end_probe.h"
#include "fleet/broken_attempts.h"
#include "fleet/crash_client.h"
#include "kernel/service.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "routing/backend_table.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace reedtrail {

/** Sends crash messages to other nodes; satisfies crash_peers. */
class crash_peer_client
{
public:
    /** @param router knows the addresses of other nodes */
    crash_peer_client(store_router &router, http_client &peerClient)
        : m_router(router)
        , m_peerClient(peerClient)
    {
    }

    void send(const std::string &node, const crash_message &message, std::function<void(peer_ask_end, const crash_reply &)> onEnd);

private:
    store_router &m_router;
    http_client &m_peerClient;
};

/** Keeps callers' requests that crash backend servers away from them. */
class crash_guard
{
public:
    /** Prefix of the store keys under which such requests stand, below that of the registrations of nodes, which all nodes read. */
    static constexpr std::string_view keyPart = "crashing/";
    static constexpr duration minSilence = std::chrono::milliseconds(250); ///< After which a server that sends nothing may have stopped answering.

    crash_guard(edge_context &context, store_router &router, http_client &peerClient);

    /** Replaces the list of all nodes, by name, this node included. */
    void setNodes(const std::map<std::string, store_peer> &nodes)
    {
        m_client->setNodes(nodes);
    }
    /** Tells whether a request with this outline may be one under which servers have ended; if so, its identity tells. */
    bool mayBeSuspect(const request_outline &outline) const
    {
        return m_client->mayBeSuspect(outline);
    }
    /** Tells whether servers are known to have ended under a request. */
    bool isSuspect(const request_identity &identity) const
    {
        return m_client->isSuspect(identity);
    }
    /**
     * Asks whether a suspect request may be sent now, as crash_client::admit().
     * @return identifies the asking attempt for release()
     */
    std::string admit(const request_identity &identity, std::string_view request, std::function<void(const crash_grant &)> onEnd);
    /** Handles that an attempt that was granted has ended, or will not be made, and that no server has ended under it. */
    void release(const request_identity &identity, const std::string &asker)
    {
        m_client->release(identity, asker);
    }
    /** Handles that nothing listens at the address of a server any more. */
    void onConnectionRefused(const backend_choice &server)
    {
        m_client->noteEnded(server.id, server.startedAt);
    }
    /**
     * Handles that the connection to a server broke off in the middle of a request: finds out whether the server has ended, and records it if so.
     * @param mayCount whether the server was expected to go on; if not, its end is nobody's doing
     * @param onEnd called once, never from inside this call; isRecorded: whether the server has ended, and its end counts
     */
    void onBroken(
        const request_identity &identity, std::string_view request, const backend_choice &server, bool mayCount, std::function<void(bool isRecorded)> onEnd);
    /**
     * Handles that an attempt was given up without an answer: by its time limit, or as its caller is gone. A server that takes no new connection either counts
     * as ended until it answers another request, which takes this end back.
     * @param quietFor for how long nothing had come from the server on the attempt's connection
     * @param onEnd called once, also from inside this call; isRecorded as for onBroken()
     */
    void onUnanswered(const request_identity &identity,
                      std::string_view request,
                      const backend_choice &server,
                      bool mayCount,
                      duration quietFor,
                      std::function<void(bool isRecorded)> onEnd);
    /** Handles that a server has begun to answer a request. */
    void onAnswer(const backend_choice &server);
    /** Handles that the registrations of servers have changed: some may show that a server has ended whose address still accepts connections. */
    void onServersChanged(const server_directory &servers);
    /** Handles that a server has completed a request. */
    void onSurvived(const request_identity &identity, std::string_view request, const backend_choice &server);

    /** Answers a message of another node. */
    void serve(const std::shared_ptr<http_exchange> &exchange);
    /** Handles what the store has under a key below keyPart. @param isRemoved whether the key was removed */
    void onStored(std::string_view key, const std::string &value, bool isRemoved);
    /** Returns what a ping and its answer carry: a hash of what all nodes have to know, empty if there is nothing. */
    std::string stateText() const;
    /** Handles what the answer of a pinged node carries. */
    void onPingAnswer(const std::string &node, std::string_view stateText);
    nlohmann::json dump() const;

private:
    /** What is known of the entry of a request in the store. */
    struct stored_state
    {
        store_revision revision = 0; ///< At which it was last written or read; 0 if it is absent.
        bool isWriting = false;
        bool isDirty = false; ///< Whether something is to be written.
    };
    void persist(std::uint64_t digest);
    void write(std::uint64_t digest);
    void mergeStoredAndWrite(std::uint64_t digest);
    void forget(std::uint64_t digest);
    static std::string keyOf(std::uint64_t digest);
    void scheduleExpiry();
    void probeSilentServer(const broken_attempts::attempt &attempt, int tries, std::function<void(server_presence)> onEnd);
    void judgeSilence(const broken_attempts::attempt &attempt, server_presence presence, const std::function<void(bool isRecorded)> &onEnd);
    void presumeEnd(const broken_attempts::attempt &attempt);
    void logServer(const broken_attempts::attempt &attempt, std::string_view how, std::string_view presence, bool mayCount) const;
    bool hasAnsweredSince(const broken_attempts::attempt &attempt, time_point since) const;

    edge_context &m_context;
    crash_peer_client m_peers;
    std::shared_ptr<crash_client<crash_peer_client, asio_loop>> m_client;
    std::map<std::uint64_t, stored_state> m_stored; ///< By digest; entries that this node has written.
    std::uint64_t m_askCount = 0;
    broken_attempts m_brokenAttempts; ///< Whose server may have ended.
    std::vector<broken_attempts::attempt> m_presumedEnds; ///< Whose silent server counts as ended, as it took no connection or its registration lapsed.
    /** The last answer of a server. */
    struct last_answer
    {
        std::int64_t startedAt = 0; ///< Of the instance that gave it.
        time_point at;
    };
    std::map<std::string, last_answer, std::less<>> m_answers; ///< By id of the server.
};

} // namespace reedtrail
