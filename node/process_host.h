/**
 * @file
 * What every program of a node does alike: command line, settings, logging, the control loop, signals, graceful shutdown, and the pages /dump and /metrics.
 *
 *     int main(int argc, char **argv)
 *     {
 *         return runNodeProcess({"reedtrail-gate", "Serves callers on one entry VM.", &chooseAdmin}, argc, argv, [](process_context &context) {
 *             context.services.add("router", std::make_unique<router_service>(context));
 *         });
 *     }
 *
 * SIGTERM and SIGINT drain all services, then the process ends with 0; a second one ends it at once with 1.
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

/** What services of a process are made from. */
struct process_context
{
    boost::asio::io_context &control; ///< Loop of the control thread.
    const node_settings &settings;
    metric_registry &metrics;
    kernel &services;
    incarnation processIncarnation; ///< Higher after each start on this VM.

    /** Handles an operators' or admin request by path prefix; set by services before or in start(). */
    std::map<std::string, http_server::handler> &pages;
};

/** Name and admin address of a program. */
struct process_description
{
    std::string program;
    std::string purpose;
    std::function<std::optional<endpoint>(const node_settings &settings)> adminAddress;
};

/** Runs a program from its command line to its exit code. @param addServices adds the services in the order of need */
int runNodeProcess(const process_description &description, int argc, char **argv, const std::function<void(process_context &context)> &addServices);

/** Returns the time on this process's monotonic clock, for handing to the core. */
time_point monotonicNow();

/** Makes the response to a request that ends with @p kind. */
http_response errorResponse(error_kind kind, std::string_view detail);

} // namespace reedtrail
