/**
 * @file
 * The common main program of a node's processes: command line, settings, logging, the control loop, signals, graceful shutdown, and the pages /dump and
 * /metrics.
 *
 *     int main(int argc, char **argv)
 *     {
 *         return runNodeProcess({"reedtrail-gate", "Serves callers on one entry VM.", &chooseAdmin}, argc, argv, [](process_context &context) {
 *             context.services.add("router", std::make_unique<router_service>(context));
 *         });
 *     }
 *
 * SIGTERM or SIGINT drains all services, then the process exits with code 0. A second signal makes it exit with code 1 without waiting for the drain.
 */
#pragma once

#include "kernel/metrics.h"
#include "kernel/service.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "node/node_settings.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace reedtrail {

/** Objects of the process that its services use. */
struct process_context
{
    boost::asio::io_context &control; ///< Event loop of the control thread.
    const node_settings &settings;
    metric_registry &metrics;
    kernel &services;
    incarnation processIncarnation; ///< Rises with each start of the process on this VM, unless the VM's clock is set back too far.

    /** Handlers of operators' and admin requests by path prefix. Services add theirs in the constructor or in start(). */
    std::map<std::string, http_server::handler> &pages;
};

/** Name, help text and admin address of a program. */
struct process_description
{
    std::string program;
    std::string purpose; ///< Description of the program for --help.
    /** Returns the address to serve admin requests on, or std::nullopt to serve none. */
    std::function<std::optional<endpoint>(const node_settings &settings)> adminAddress;
};

/**
 * Runs a program until it is stopped by a signal or fails to start.
 * @param addServices adds the services, each after those that it depends on
 * @return the exit code
 */
int runNodeProcess(const process_description &description, int argc, char **argv, const std::function<void(process_context &context)> &addServices);

/** Returns the current time of the monotonic clock, as components that take the time as a parameter expect it. */
time_point monotonicNow();

/** Creates the response to a request that failed with @p kind. @param detail text for the caller about this failure */
http_response errorResponse(error_kind kind, std::string_view detail);

} // namespace reedtrail
