// One deputy per zone limits cross-zone traffic to one message per operation, and a zone that is partitioned off goes on with its last orders. While nodes
// disagree about who is the deputy, a zone may have two; that is harmless, because orders are idempotent and fenced.
//
// The switches of all runs share one queue, so that at most half of the zone's servers swap at once and interactive requests always find a server.
//
// Cost: one load read per server every loadInterval (busyLoadInterval during a switch), and one report per run every reportInterval or after a change. Memory:
// about 300 bytes per pair of server and run.

#include "weights/weight_deputy.h"

#include <algorithm>

namespace reedtrail {
namespace {

constexpr std::string_view silentState = "silent";

} // namespace

weight_deputy::weight_deputy(zone_id zone, std::string name, deputy_options options)
    : m_zone(std::move(zone))
    , m_name(std::move(name))
    , m_options(options)
{
}

std::vector<deputy_action_item> weight_deputy::onEvent(time_point now, const deputy_event &event)
{
    m_now = now;
    m_actions.clear();
    std::visit(
        [this](const auto &typedEvent) {
            handle(typedEvent);
        },
        event);
    return std::move(m_actions);
}

time_point weight_deputy::nextDeadline() const
{
    time_point next = timeNever;
    for (const auto &[id, server] : m_servers) {
        next = server.isLoadReadPending ? next : std::min(next, server.nextLoadReadAt);
    }
    for (const auto &[run, state] : m_runs) {
        next = std::min(next, state.reportAt);
    }
    return next;
}

void weight_deputy::handle(const deputy_input::servers_changed &event)
{
    std::map<server_id, server_state> previous;
    previous.swap(m_servers);
    for (const deputy_server &settings : event.servers) {
        server_state state;
        const auto known = previous.find(settings.id);
        if (known != previous.end()) {
            state = std::move(known->second);
        } else {
            state.nextLoadReadAt = m_now;
            state.lastAnswerAt = m_now;
        }
        state.settings = settings;
        std::erase_if(state.runs, [&settings](const auto &item) {
            return std::ranges::find(settings.runs, item.first) == settings.runs.end();
        });
        for (const run_id &run : settings.runs) {
            state.runs[run].status.server = settings.id;
            run_report_state &runState = m_runs[run];
            runState.reportAt = std::min(runState.reportAt, m_now + m_options.reportInterval);
        }
        m_servers.emplace(settings.id, std::move(state));
    }
    std::erase_if(m_runs, [this](const auto &item) {
        return std::ranges::none_of(m_servers, [&item](const auto &server) {
            return server.second.runs.contains(item.first);
        });
    });
}

void weight_deputy::handle(const deputy_input::order_received &event)
{
    const weight_order &order = event.order;
    const auto run = m_runs.find(order.run);
    if (run == m_runs.end() || order.epoch < run->second.epoch) {
        ++m_refusedOrders;
        return;
    }
    run->second.epoch = order.epoch;
    const time_point notAfter = m_now + std::chrono::milliseconds(order.validForMs);
    for (const server_id &id : order.servers) {
        const auto found = m_servers.find(id);
        if (found == m_servers.end()) {
            continue;
        }
        if (order.operation != switchOperation) {
            forward(order, found->second, notAfter);
            continue;
        }
        std::erase_if(m_waiting, [&order, &id](const waiting_switch &waiting) {
            return waiting.server == id && waiting.order.run == order.run;
        });
        m_waiting.push_back({ order, id, notAfter });
    }
    forwardWaitingSwitches();
}

bool weight_deputy::isSwapLimitReached() const
{
    const auto swapping = std::ranges::count_if(m_servers, [](const auto &item) {
        return item.second.pendingSwitches > 0;
    });
    const double allowed = m_options.maxSwappingShare * static_cast<double>(m_servers.size());
    return swapping >= std::max<std::int64_t>(1, static_cast<std::int64_t>(allowed));
}

void weight_deputy::forwardWaitingSwitches()
{
    std::ranges::stable_sort(m_waiting, std::ranges::greater{}, [this](const waiting_switch &waiting) {
        const auto found = m_servers.find(waiting.server);
        return found == m_servers.end() ? duration{} : found->second.switchTime; // Slowest first, so that no slow server prolongs the rollout at its end.
    });
    std::vector<waiting_switch> stillWaiting;
    for (const waiting_switch &waiting : m_waiting) {
        const auto found = m_servers.find(waiting.server);
        if (found == m_servers.end()) {
            continue;
        }
        if (found->second.pendingSwitches > 0 || isSwapLimitReached()) {
            stillWaiting.push_back(waiting);
        } else {
            forward(waiting.order, found->second, waiting.notAfter);
        }
    }
    m_waiting = std::move(stillWaiting);
}

bool weight_deputy::shouldForward(const weight_order &order, server_state &server, time_point notAfter)
{
    const run_progress &progress = server.runs.at(order.run);
    const bool isFromPreviousOwner = order.epoch < m_runs.at(order.run).epoch;
    const bool isOutdated = order.version < std::max(progress.status.version, progress.newestSwitchOrdered) && order.operation == switchOperation;
    const bool isStage = order.operation == stageOperation;
    const bool isDuplicate = isStage && std::max(progress.status.staging, progress.status.staged) >= order.version;
    // Stage orders expire for all servers, since a download uses the weight store's rate.
    const bool isExpired = (isStage || !server.settings.checksFencing) && notAfter <= m_now;
    return !isFromPreviousOwner && !isOutdated && !isExpired && !isDuplicate;
}

void weight_deputy::forward(const weight_order &order, server_state &server, time_point notAfter)
{
    if (!server.runs.contains(order.run)) {
        return;
    }
    if (!shouldForward(order, server, notAfter)) {
        ++m_refusedOrders;
        return;
    }
    run_progress &progress = server.runs.at(order.run);
    if (order.operation == switchOperation) {
        progress.newestSwitchOrdered = order.version;
        ++server.pendingSwitches;
        server.switchStartedAt = m_now;
    } else if (order.operation == stageOperation) {
        progress.status.staging = order.version;
        progress.stageStartedAt = m_now;
        scheduleReport(order.run);
    }
    ++server.pendingOrders;
    server.nextLoadReadAt = std::min(server.nextLoadReadAt, m_now + m_options.busyLoadInterval);
    const time_point limit = server.settings.checksFencing ? timeNever : notAfter;
    m_actions.emplace_back(deputy_action::order_server{ server.settings.id, order.run, order.operation, order.argument, order.version, order.epoch, limit });
}

void weight_deputy::handle(const deputy_input::order_answered &event)
{
    const auto found = m_servers.find(event.server);
    if (found == m_servers.end() || !found->second.runs.contains(event.run)) {
        return;
    }
    server_state &server = found->second;
    run_progress &progress = server.runs.at(event.run);
    server_weights &status = progress.status;
    server.pendingOrders -= server.pendingOrders > 0 ? 1 : 0;
    server.nextLoadReadAt = std::min(server.nextLoadReadAt, m_now); // The server's report is authoritative, not what the answer implies.
    if (event.operation == switchOperation) {
        server.pendingSwitches -= server.pendingSwitches > 0 ? 1 : 0;
        server.switchTime = m_now - server.switchStartedAt;
    } else if (event.operation == stageOperation && status.staging == event.version) {
        status.staging = 0;
    }
    using outcome = deputy_input::order_answered::outcome;
    if (event.result == outcome::Done) {
        status.failures = 0;
        if (event.operation == stageOperation) {
            status.staged = std::max(status.staged, event.version);
            status.stageMs = std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(m_now - progress.stageStartedAt).count());
        }
    } else {
        ++status.failures;
        status.failedOperation = event.operation;
        if (event.operation == switchOperation && event.result != outcome::Refused) {
            status.version = 0; // The switch may have failed partway; the version is unknown until the server reports it.
        }
    }
    scheduleReport(event.run);
    forwardWaitingSwitches();
}

/** Returns whether a server's report may change soon: an order is pending, or the report does not show the last switch yet. */
bool weight_deputy::isExpectingChange(const server_state &server) const
{
    const bool isLagging = m_now - server.switchStartedAt < m_options.maxReportLag && std::ranges::any_of(server.runs, [](const auto &item) {
                               return item.second.status.version < item.second.newestSwitchOrdered;
                           });
    return server.pendingOrders > 0 || isLagging;
}

void weight_deputy::handle(const deputy_input::load_read &event)
{
    const auto found = m_servers.find(event.server);
    if (found == m_servers.end()) {
        return;
    }
    server_state &server = found->second;
    server.isLoadReadPending = false;
    server.lastAnswerAt = event.isAnswered ? m_now : server.lastAnswerAt;
    const bool isSilent = m_now - server.lastAnswerAt >= m_options.silenceTimeout;
    server.nextLoadReadAt = m_now + (isExpectingChange(server) ? m_options.busyLoadInterval : m_options.loadInterval);
    if (!event.isAnswered && !isSilent) {
        return;
    }
    for (auto &[run, progress] : server.runs) {
        const auto runVersion = event.versions.find(run);
        const weight_version reported = runVersion == event.versions.end() ? event.baseVersion : runVersion->second;
        const bool isVersionUnknown = event.state == "unknown-version" && reported == 0;
        const weight_version version = event.isAnswered && !isVersionUnknown ? reported : 0;
        const std::string state = event.isAnswered ? event.state : std::string(silentState);
        if (version != 0 && version < progress.lastReportedVersion) {
            progress.status.staged = 0; // The server restarted, or obeyed a previous owner; what it has staged is unknown.
        }
        progress.lastReportedVersion = version != 0 ? version : progress.lastReportedVersion;
        if (version != progress.status.version || state != progress.status.state) {
            progress.status.version = version;
            progress.status.state = state;
            scheduleReport(run);
        }
    }
}

void weight_deputy::handle(const deputy_input::timer &)
{
    for (auto &[id, server] : m_servers) {
        if (!server.isLoadReadPending && server.nextLoadReadAt <= m_now) {
            server.isLoadReadPending = true;
            m_actions.emplace_back(deputy_action::read_load{ id });
        }
    }
    for (auto &[run, state] : m_runs) {
        if (state.reportAt <= m_now) {
            reportRun(run, state);
        }
    }
}

void weight_deputy::scheduleReport(const run_id &run)
{
    const auto found = m_runs.find(run);
    if (found != m_runs.end()) {
        found->second.reportAt = std::min(found->second.reportAt, m_now + m_options.reportDelay);
    }
}

void weight_deputy::reportRun(const run_id &run, run_report_state &state)
{
    state.reportAt = m_now + m_options.reportInterval;
    weight_report report;
    report.run = run;
    report.zone = m_zone;
    report.deputy = m_name;
    report.number = ++m_reports;
    report.epoch = state.epoch;
    for (const auto &[id, server] : m_servers) {
        const auto found = server.runs.find(run);
        if (found != server.runs.end()) {
            report.servers.push_back(found->second.status);
        }
    }
    m_actions.emplace_back(deputy_action::report{ std::move(report) });
}

nlohmann::json weight_deputy::dump() const
{
    nlohmann::json servers = nlohmann::json::array();
    for (const auto &[id, server] : m_servers) {
        for (const auto &[run, progress] : server.runs) {
            servers.push_back(progress.status);
            servers.back()["run"] = run;
        }
    }
    return { { "zone", m_zone }, { "refusedOrders", m_refusedOrders }, { "servers", std::move(servers) } };
}

} // namespace reedtrail
