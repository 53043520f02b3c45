/**
 * @file
 * A small deployment on loopback: the platform's store, its operator and its supervision of processes are stand-ins; the nodes are the project's programs,
 * started with the commands of the deploy file and the settings of DEPLOY.md.
 *
 *     deployment fleet("review/6");
 *     fleet.configure(routes, services);
 *     fleet.addServer("i-1", "chat", "zone-a", [](std::shared_ptr<http_exchange> exchange) { ... });
 *     fleet.startNodes(3);
 *     fleet.run(std::chrono::seconds(80));
 */
#pragma once

#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/testing/soak/store_standin.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace reedtrail::review {

using std::chrono::milliseconds;

/** Exit codes of a case. */
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int caseNotRun = 2;

/** One entry node, and what the platform knows of it. */
struct entry_node
{
    std::string name;
    std::string zone;
    endpoint callers;
    endpoint readiness;
    endpoint peers;
    endpoint store; ///< Address of the platform's store, as this node has it.
    pid_t pid = 0; ///< 0 while no process runs.
    bool isFirstStart = true;
    bool isStopping = false; ///< It was sent SIGTERM and has not ended.
    int missedProbes = 2; ///< In a row; with two, clients are not sent there.
    std::int64_t startedAt = 0; ///< Of the process, in milliseconds of this run.
};

/** A backend server: its listener and its entry in the store. */
struct server_place
{
    std::unique_ptr<http_server> listener;
    nlohmann::json entry;
};

/** The deployment of one case, in one thread. */
class deployment
{
public:
    using request_handler = std::function<void(std::shared_ptr<http_exchange> exchange)>;

    /** @param caseFolder folder of the case, which receives record.txt */
    explicit deployment(const std::string &caseFolder);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    boost::asio::io_context &io()
    {
        return m_io;
    }
    http_client &client()
    {
        return m_client;
    }
    soak::store_standin &store()
    {
        return *m_store;
    }
    std::vector<entry_node> &nodes()
    {
        return m_nodes;
    }

    /** Starts the store. @return whether it could be started */
    bool start();
    /** Writes a configuration as the operator does. */
    void configure(const nlohmann::json &routes, const nlohmann::json &services);
    /** Starts a backend server and registers it. */
    bool addServer(const std::string &id, const std::string &service, const std::string &zone, request_handler handle);
    /** Registers a backend server that the case serves itself. @return its address */
    endpoint registerServer(const std::string &id, const std::string &service, const std::string &zone);
    /** Lets a backend server report that it drains, and ends it after @p drainTime. */
    void retireServer(const std::string &id, milliseconds drainTime);
    /** Ends a backend server at once, as a crash does; its entry stays until three heartbeats are missed. */
    void crashServer(const std::string &id);
    /** Starts @p count entry nodes and one storage node, in zones of their own. */
    void startNodes(int count);
    /** Adds an entry node to those that run. */
    void addNode();
    /** Makes all nodes that start from now on reach the store at @p address, which leads there. */
    void setStorePath(const endpoint &address)
    {
        m_storePath = address;
    }
    /** Returns the address of the store itself. */
    const endpoint &storeAddress() const
    {
        return m_storeAddress;
    }
    /** Returns an address on which nothing listens. */
    endpoint freeEndpoint();
    /** Sends SIGTERM to a node, SIGKILL after graceS, and starts it again when it has ended. */
    void restartNode(std::size_t index);
    /** Ends a node's process at once, as the platform does when it uses more than its memory. It starts again. */
    void killNode(std::size_t index, const std::string &reason);
    /** Returns the resident memory of a node's process in bytes; 0 if it does not run. */
    std::size_t memoryOf(std::size_t index) const;
    /** Returns how many descriptors a node's process has open. */
    std::size_t descriptorsOf(std::size_t index) const;
    /** Tells whether the platform sends new connections to a node. */
    bool isInRotation(std::size_t index) const;

    /** Runs @p action after @p delay. */
    void after(milliseconds delay, std::function<void()> action);
    /** Returns the time since the begin of the run. */
    std::int64_t now() const;
    /** Writes a line of the record. */
    void note(const std::string &line);
    /** Serves until @p length has passed. */
    void run(milliseconds length);

    /** Limits of an edge machine of the smallest site. */
    static constexpr std::size_t memoryMb = 110;
    static constexpr std::size_t maxFds = 4100;
    static constexpr int graceSeconds = 8;

private:
    entry_node makeNode();
    void startProcess(entry_node &node);
    void superviseProcesses();
    void probeReadiness();

    std::string m_folder; ///< Of settings and logs, outside of the repository.
    std::ofstream m_record;
    boost::asio::io_context m_io;
    http_client m_client;
    std::unique_ptr<soak::store_standin> m_store;
    endpoint m_storeAddress;
    endpoint m_storePath; ///< Address by which nodes reach the store.
    std::vector<entry_node> m_nodes;
    pid_t m_storagePid = 0;
    std::map<std::string, server_place> m_servers;
    std::uint64_t m_version = 0;
    std::uint16_t m_nextPort = 0;
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    bool m_isEnding = false;
};

/** Returns the head of a server's answer to @p request. */
http_response signedAnswer(const http_request &request, std::uint16_t status, std::string body);
/** Answers a request that expects another server with 421. @return whether it did */
bool refuseIfMisdirected(const std::shared_ptr<http_exchange> &exchange, const std::string &id);
/** Returns an id as clients and trainers use them. */
std::string newId();
/** Tells whether the case runs with its disruption, as the variable TROUBLE says. */
bool hasTrouble();

} // namespace reedtrail::review
