/**
 * @file
 * Stand-ins for the platform of ../given/kit/more/system: its metadata store, servers' and clients' connections, and the processes of a small deployment.
 *
 * Everything listens on loopback addresses and uses the real clock. Each connection has a thread, and calls block, so that a case decides on each byte.
 */
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace review {

/** Returns the milliseconds since the start of the program. */
std::int64_t elapsedMs();
/** Returns the time of day in milliseconds since 1970. */
std::int64_t unixMs();
void sleepMs(std::int64_t milliseconds);

/** The file of what was sent, answered and run; one line each, with the time. */
class record_file
{
public:
    explicit record_file(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

/** A request or a response. */
struct http_message
{
    std::string method; ///< Of a request.
    std::string target; ///< Of a request.
    int status = 0; ///< Of a response.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string get(std::string_view name) const;
    std::string path() const;
    /** Returns a parameter of the query without its percent encoding; empty if there is none. */
    std::string query(std::string_view name) const;
};

/** Encodes a response with a length. */
std::string encodeResponse(int status, const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body);
/** Encodes a request with a length. */
std::string encodeRequest(const http_message &request);

/** A connected socket. */
class tcp_connection
{
public:
    explicit tcp_connection(int socket);
    ~tcp_connection();
    tcp_connection(const tcp_connection &) = delete;
    tcp_connection &operator=(const tcp_connection &) = delete;

    /** Connects to a port on 127.0.0.1. @return null if nothing listens there */
    static std::unique_ptr<tcp_connection> connect(std::uint16_t port);

    /** Reads a whole request; nothing if the connection has ended or the bytes are none. */
    std::optional<http_message> readRequest();
    /** Reads a whole response. Sets @p isWhole to whether it is complete. @return nothing if there is no head */
    std::optional<http_message> readResponse(bool &isWhole, std::int64_t timeoutMs);
    /** Writes all bytes. @return whether the peer took them */
    bool write(std::string_view bytes);
    /** Tells whether the peer has closed the connection. */
    bool isClosedByPeer() const;
    /** Appends the bytes that arrive next. @return whether there are any before the time of elapsedMs() */
    bool readInto(std::string &bytes, std::int64_t deadlineMs);
    int socket() const
    {
        return m_socket;
    }

private:
    bool readMore(std::int64_t deadlineMs);
    bool readHead(http_message &message, bool isResponse, std::int64_t deadlineMs);
    bool readBody(http_message &message, bool isResponse, std::int64_t deadlineMs);

    int m_socket;
    std::string m_buffer;
};

/** Accepts connections on a free port of 127.0.0.1, and runs the handler in a thread for each. */
class tcp_listener
{
public:
    using handler = std::function<void(tcp_connection &)>;

    explicit tcp_listener(handler handle);
    std::uint16_t port() const
    {
        return m_port;
    }
    /** Stops listening; a connection attempt is refused from then on. */
    void close();

private:
    int m_socket = -1;
    std::uint16_t m_port = 0;
};

/** Passes bytes on between a free port and another one, and can reset the connections that lead through it. */
class tcp_proxy
{
public:
    explicit tcp_proxy(std::uint16_t target);
    std::uint16_t port() const
    {
        return m_listener.port();
    }
    /** Resets a share of the open connections, in both directions. @return how many */
    int resetConnections(double share);

private:
    void pass(tcp_connection &accepted);

    std::uint16_t m_target;
    std::mutex m_mutex;
    std::vector<std::pair<int, int>> m_open;
    tcp_listener m_listener;
};

/** Returns a port on 127.0.0.1 that is free now. */
std::uint16_t freePort();

/** The platform's metadata store, as PROTOCOL.md describes it. It refuses values that are longer than valueBytes with 413, and does nothing of such a call. */
class metadata_store
{
public:
    static constexpr std::size_t valueBytes = 1048576;

    explicit metadata_store(record_file &record);
    std::uint16_t port() const
    {
        return m_listener.port();
    }
    /** Writes as the operator or a server does. */
    void put(const std::string &key, const nlohmann::json &value);
    void remove(const std::string &key);

private:
    struct item
    {
        std::string value; ///< In base64.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::int64_t lease = 0;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<item> state; ///< Nothing if the key was removed.
    };
    struct lease_state
    {
        std::int64_t ttlMs = 0;
        std::int64_t until = 0;
    };

    void serve(tcp_connection &connection);
    std::string answer(const http_message &request);
    std::string readKey(const http_message &request);
    std::string readRange(const http_message &request);
    std::optional<std::string> watch(const http_message &request, tcp_connection &connection);
    std::string transact(const nlohmann::json &body);
    std::string handleLease(const http_message &request);
    void write(const std::string &key, const std::string &value, std::int64_t lease);
    void erase(const std::string &key);
    void expireLeases();
    static nlohmann::json encodeItem(const std::string &key, const item &state);

    record_file &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<change> m_history;
    std::map<std::int64_t, lease_state> m_leases;
    std::uint64_t m_revision = 1;
    std::int64_t m_nextLease = 1;
    tcp_listener m_listener;
};

std::string encodeBase64(std::string_view bytes);
std::string decodeBase64(std::string_view text);

/** A process of the deployment, started by the command of the deploy file. */
class node_process
{
public:
    /** @param command of the role in the deploy file */
    node_process(std::string root, std::string folder, std::string command, std::string name, std::string zone, bool isEdge, std::uint16_t storePort);
    ~node_process();
    node_process(const node_process &) = delete;
    node_process &operator=(const node_process &) = delete;

    /** Names the control addresses of other machines; before start(). */
    void setSeeds(std::string seeds)
    {
        m_seeds = std::move(seeds);
    }
    void start(bool isFirstStart);
    void signal(int number) const;
    /** Tells whether the process has ended, and how. */
    std::optional<int> ended();
    std::uint16_t callers() const
    {
        return m_callers;
    }
    std::uint16_t control() const
    {
        return m_control;
    }
    const std::string &name() const
    {
        return m_name;
    }
    /** Waits until the node answers the platform's readiness probe with 200. */
    bool awaitReady(std::int64_t timeoutMs) const;

private:
    std::string settings(bool isFirstStart) const;

    std::string m_root;
    std::string m_folder;
    std::string m_command;
    std::string m_name;
    std::string m_zone;
    std::string m_seeds;
    bool m_isEdge;
    std::uint16_t m_storePort;
    std::uint16_t m_callers = 0;
    std::uint16_t m_ready = 0;
    std::uint16_t m_control = 0;
    pid_t m_pid = 0;
};

/** What a case gets from its script: run.sh passes these as arguments. */
struct case_setup
{
    std::string root; ///< Of the repository.
    std::string folder; ///< Temporary.
    std::string record; ///< Path of record.txt.
    std::string edgeCommand;
    std::string storageCommand;
    bool hasTrouble = true;
};

/** Reads the arguments. @return nothing if they are wrong */
std::optional<case_setup> readSetup(int argc, char **argv);

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/** What a client of batch jobs has of a call. */
struct call_result
{
    int status = 0; ///< 0 if there was no whole answer.
    std::string body;
};

/** Sends a call on a new connection, as clients of batch jobs do. */
call_result callOnce(std::uint16_t port,
                     const std::string &method,
                     const std::string &target,
                     const std::vector<std::pair<std::string, std::string>> &fields,
                     const std::string &body,
                     std::int64_t timeoutMs);

/** The processes of a small deployment: edge machines in two zones and a storage machine in each. */
class deployment
{
public:
    deployment(const case_setup &setup, std::uint16_t storePort, int edges);
    /** Starts all, and waits until the edge machines are ready. */
    bool start();
    node_process &edge(std::size_t index)
    {
        return *m_edges.at(index);
    }
    std::size_t edges() const
    {
        return m_edges.size();
    }
    /** Ends all processes. */
    void stop();
    /** Tells whether a process has ended by itself. */
    bool hasEnded();

private:
    std::vector<std::unique_ptr<node_process>> m_edges;
    std::vector<std::unique_ptr<node_process>> m_storages;
};

/** Ends all processes of the deployment, and this one. Threads of the stand-ins may still run, so nothing is destroyed. */
[[noreturn]] void finish(deployment &nodes, int result);

/** Returns a route of the configuration. */
nlohmann::json makeRoute(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service);
inline constexpr const char *hostName = "rev.example";

/** Returns the registration of a server that is ready. */
nlohmann::json
makeRegistration(const std::string &service, std::uint16_t port, const std::string &zone, int slots, std::int64_t born, const std::string &version);

} // namespace review
