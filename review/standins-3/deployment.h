/**
 * @file
 * A small deployment on loopback for the cases of this review: the platform's store, the operator, and edge nodes as separate processes.
 *
 * Store, servers and clients run in the process of the case, on one thread. Nodes are started with the command of the deploy file, in the repository's root.
 */
#pragma once

#include "net/http_client.h"
#include "platform/testing/soak/store_standin.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace reedtrail::review {

using std::chrono::milliseconds;

/** Verdicts of a case, which are its exit codes. */
enum class verdict : int { Held = 0, Broken = 1, NotRun = 2 };

/** Command line of a case. */
struct case_options
{
    std::string folder; ///< For record.txt.
    bool hasTrouble = true; ///< False for the same run without its disruption.
    std::string program = "target/bin/reedtrail-edge";
};

/** Reads "FOLDER" from the command line and TROUBLE from the environment. */
case_options parseOptions(int argc, char **argv);

/** Returns a loopback address whose port was free a moment ago. */
endpoint freeAddress();

/** An edge node: a process with a settings file of its own. */
struct edge_node
{
    std::string name;
    std::string zone;
    endpoint callers;
    endpoint readiness;
    endpoint peers;
    std::string settingsFile;
    pid_t process = 0; ///< 0 while it does not run.
    int starts = 0;
};

/** The store, the operator and the edge nodes. */
class deployment
{
public:
    explicit deployment(const case_options &options);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    boost::asio::io_context &io()
    {
        return m_io;
    }
    soak::store_standin &store()
    {
        return m_store;
    }
    http_client &client()
    {
        return m_client;
    }
    /** Returns the time since the start in milliseconds. */
    std::int64_t now() const;
    void after(milliseconds delay, std::function<void()> action);

    /** Writes the operator's configuration. */
    void writeConfiguration(const nlohmann::json &routes, const nlohmann::json &services);
    /** Returns a route as the operator writes it; @p more replaces or adds fields. */
    static nlohmann::json route(const std::string &prefix, const std::string &kind, const std::string &service, const nlohmann::json &more);

    /** Adds a node and starts its process. */
    edge_node &addNode(const std::string &zone, int memoryMegabytes);
    void startNode(edge_node &node);
    void killNode(edge_node &node);
    std::vector<std::unique_ptr<edge_node>> &nodes()
    {
        return m_nodes;
    }
    /** Calls @p onReady once all nodes answer their readiness probe; ends the case as not run if they do not in time. */
    void whenReady(std::function<void()> onReady);

    /** Writes one line to record.txt. */
    void record(const std::string &line);
    /** Runs the case until finish(). @return its exit code */
    int run();
    /** Ends the case and all nodes. */
    void finish(verdict result, const std::string &reason);

private:
    void probe(std::size_t index, std::function<void()> onReady, std::int64_t deadline);

    case_options m_options;
    boost::asio::io_context m_io{ 1 };
    std::int64_t m_startedAt;
    endpoint m_storeAddress;
    soak::store_standin m_store;
    http_client m_client;
    std::vector<std::unique_ptr<edge_node>> m_nodes;
    std::string m_temporary;
    std::FILE *m_record = nullptr;
    verdict m_result = verdict::NotRun;
};

} // namespace reedtrail::review
