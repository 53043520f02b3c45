// The main thread is the control thread and runs a single io_context. The incarnation of a process is the wall-clock time of its start in microseconds, so it
// rises with each restart without any stored state, unless the VM's clock is set back by more than the duration of a restart. Code that relies on rising
// incarnations therefore also compares them with those that peers remember.

#include "node/process_host.h"

#include "base/check.h"
#include "kernel/command_line.h"
#include "kernel/log.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <unistd.h>

namespace reedtrail {
namespace {

constexpr int secondSignalExitCode = 1;

command_line makeCommandLine(const process_description &description)
{
    command_line line(description.program, description.purpose);
    line.option("settings", "FILE", "Node file (JSON with comments)");
    line.flag("check-settings", "Check the node file and stop");
    line.option("log-level", "LEVEL", "debug, info, warning or error (info)");
    return line;
}

/** State of the running process: control loop, services, admin server and signal handling. */
class process_host
{
public:
    process_host(const process_description &description, node_settings settings)
        : m_description(description)
        , m_settings(std::move(settings))
        , m_signals(m_control, SIGTERM, SIGINT)
    {
    }

    int run(const std::function<void(process_context &)> &addServices)
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const auto number = static_cast<incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
        process_context context{ m_control, m_settings, m_metrics, m_services, number, m_pages };
        addServices(context);
        addPages(number);
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_CHECK(startAdmin());
            return m_services.start();
        });
        if (error) {
            std::fprintf(stderr, "%s: %s\n", m_description.program.c_str(), error->detail.c_str());
            return answerFor(error->kind).exitCode;
        }
        waitForSignal();
        logLine(log_level::Info, "started", { { "program", m_description.program }, { "pid", std::to_string(::getpid()) } });
        m_control.run();
        m_services.stop();
        logLine(log_level::Info, "stopped", { { "exit", std::to_string(m_exitCode) } });
        return m_exitCode;
    }

private:
    /** Starts the admin HTTP server if the program has an admin address. */
    result<void> startAdmin()
    {
        const std::optional<endpoint> address = m_description.adminAddress(m_settings);
        if (!address) {
            return {};
        }
        http_server_options options;
        options.address = *address;
        options.tls = m_settings.operatorTls;
        m_admin = std::make_unique<http_server>(m_control, options, [this](std::shared_ptr<http_exchange> exchange) {
            dispatch(std::move(exchange));
        });
        return m_admin->start();
    }

    /** Adds the pages /dump and /metrics. */
    void addPages(incarnation number)
    {
        m_pages["/dump"] = [this, number](const std::shared_ptr<http_exchange> &exchange) {
            nlohmann::json state = m_services.dump(exchange->request().query("service").value_or(""));
            state["process"] = { { "program", m_description.program },
                                 { "node", m_settings.node.str() },
                                 { "zone", m_settings.zone.str() },
                                 { "pid", ::getpid() },
                                 { "incarnation", number },
                                 { "version", REEDTRAIL_VERSION },
                                 { "failedChecks", failedChecks() } };
            exchange->respond(jsonResponse(200, state.dump(2) + "\n"));
        };
        m_pages["/metrics"] = [this](const std::shared_ptr<http_exchange> &exchange) {
            m_metrics.gauge("reedtrail_failed_checks", "Internal checks that failed").set(static_cast<double>(failedChecks()));
            exchange->respond(textResponse(200, m_metrics.page()));
        };
    }

    /** Passes the exchange to the handler with the longest prefix of its path, or answers NotFound. */
    void dispatch(std::shared_ptr<http_exchange> exchange)
    {
        const std::string_view path = exchange->request().path();
        const http_server::handler *handler = nullptr;
        std::size_t bestLength = 0;
        for (const auto &[prefix, page] : m_pages) {
            const bool isPrefix = path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
            if (isPrefix && prefix.size() >= bestLength) {
                handler = &page;
                bestLength = prefix.size();
            }
        }
        if (handler == nullptr) {
            exchange->respond(errorResponse(error_kind::NotFound, path));
            return;
        }
        (*handler)(std::move(exchange));
    }

    /** Drains the services on the first signal and stops the control loop on the second. */
    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int) {
            if (error) {
                return;
            }
            if (m_isDraining) {
                m_exitCode = secondSignalExitCode;
                m_control.stop();
                return;
            }
            m_isDraining = true;
            logLine(log_level::Info, "draining");
            m_services.drain([this] {
                m_control.stop();
            });
            waitForSignal();
        });
    }

    const process_description &m_description;
    node_settings m_settings;
    boost::asio::io_context m_control;
    metric_registry m_metrics;
    kernel m_services;
    std::map<std::string, http_server::handler> m_pages;
    std::unique_ptr<http_server> m_admin;
    boost::asio::signal_set m_signals;
    bool m_isDraining = false;
    int m_exitCode = 0;
};

} // namespace

int runNodeProcess(const process_description &description, int argc, char **argv, const std::function<void(process_context &)> &addServices)
{
    const parsed_line parsed = makeCommandLine(description).parse(argc, argv);
    if (parsed.exitCode) {
        return *parsed.exitCode;
    }
    const std::optional<log_level> level = logLevelNamed(parsed.value("log-level", "info"));
    if (!level || !parsed.has("settings")) {
        const char *reason = level ? "--settings FILE is required" : "--log-level must be debug, info, warning or error";
        std::fprintf(stderr, "%s: %s; see --help\n", description.program.c_str(), reason);
        return answerFor(error_kind::BadUsage).exitCode;
    }
    node_settings settings;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(settings, loadNodeSettings(parsed.value("settings")));
        return {};
    });
    if (error) {
        std::fprintf(stderr, "%s: %s\n", description.program.c_str(), error->detail.c_str());
        return answerFor(error->kind).exitCode;
    }
    if (parsed.has("check-settings")) {
        std::printf("%s: settings are fine\n", parsed.value("settings").c_str());
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    startLogging(*level, settings.node.str());
    process_host host(description, std::move(settings));
    return host.run(addServices);
}

time_point monotonicNow()
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

http_response errorResponse(error_kind kind, std::string_view detail)
{
    const error_answer &answer = answerFor(kind);
    const nlohmann::json body{ { "error", answer.name }, { "text", answer.text }, { "detail", detail }, { "retrySafe", answer.retrySafe } };
    http_response response = jsonResponse(answer.httpStatus, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    response.fields.set("Reedtrail-Error", std::string(answer.name));
    response.fields.set("Reedtrail-Outcome", std::string(outcomeText(answer.outcome)));
    return response;
}

} // namespace reedtrail
