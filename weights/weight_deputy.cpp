// One deputy a zone keeps cross-zone traffic at one message an operation, and lets a cut-off zone go on with what it was last told. A second deputy for the
// same zone, for as long as two nodes disagree about who it is, does no harm: orders are idempotent and servers count what they are told.
//
// Switches of all runs pass through one queue, so that no more than half of the zone's servers swap at once and interactive work always finds one that serves.
//
// Cost: one load read a server each 3 s (each 0.5 s during a switch), one report a run each 5 s or at a change. Memory: about 300 bytes for each pair of server
// and run.

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
        [this](const auto &known) {
            handle(known);
        },
        event);
    return std::move(m_actions);
}

time_point weight_deputy::nextDeadline() const
{
    time_point next = timeNever;
    for (const auto &[id, server] : m_servers) {
        next = server.isLoadAsked ? next : std::min(next, server.loadAt);
    }
    for (const auto &[run, state] : m_runs) {
        next = std::min(next, state.reportAt);
    }
    return next;
}

void weight_deputy::handle(const deputy_input::servers_changed &event)
{
    std::map<server_id, server_state> before;
    before.swap(m_servers);
    for (const deputy_server &settings : event.servers) {
        server_state state;
        const auto known = before.find(settings.id);
        if (known != before.end()) {
            state = std::move(known->second);
        } else {
            state.loadAt = m_now;
            state.lastAnswerAt = m_now;
        }
        state.settings = settings;
        std::erase_if(state.runs, [&settings](const auto &item) {
            return std::ranges::find(settings.runs, item.first) == settings.runs.end();
        });
        for (const run_id &run : settings.runs) {
            state.runs[run].known.server = settings.id;
            run_state_known &runState = m_runs[run];
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
            passOn(order, found->second, notAfter);
            continue;
        }
        std::erase_if(m_waiting, [&order, &id](const waiting_switch &waiting) {
            return waiting.server == id && waiting.order.run == order.run;
        });
        m_waiting.push_back({ order, id, notAfter });
    }
    passWaitingSwitches();
}

bool weight_deputy::isSwappingFull() const
{
    const auto swapping = std::ranges::count_if(m_servers, [](const auto &item) {
        return item.second.switchesUnderWay > 0;
    });
    const double allowed = m_options.maxSwappingShare * static_cast<double>(m_servers.size());
    return swapping >= std::max<std::int64_t>(1, static_cast<std::int64_t>(allowed));
}

void weight_deputy::passWaitingSwitches()
{
    std::ranges::stable_sort(m_waiting, std::ranges::greater{}, [this](const waiting_switch &waiting) {
        const auto found = m_servers.find(waiting.server);
        return found == m_servers.end() ? duration{} : found->second.switchTime; // The slowest first, so that none is left for the end.
    });
    std::vector<waiting_switch> still;
    for (const waiting_switch &waiting : m_waiting) {
        const auto found = m_servers.find(waiting.server);
        if (found == m_servers.end()) {
            continue;
        }
        if (found->second.switchesUnderWay > 0 || isSwappingFull()) {
            still.push_back(waiting);
        } else {
            passOn(waiting.order, found->second, waiting.notAfter);
        }
    }
    m_waiting = std::move(still);
}

bool weight_deputy::isToBePassedOn(const weight_order &order, server_state &server, time_point notAfter)
{
    const run_progress &progress = server.runs.at(order.run);
    const bool isOfEarlierOwner = order.epoch < m_runs.at(order.run).epoch;
    const bool isOld = order.version < std::max(progress.known.version, progress.newestSwitch) && order.operation == switchOperation;
    const bool isStage = order.operation == stageOperation;
    const bool isDoubled = isStage && std::max(progress.known.staging, progress.known.staged) >= order.version;
    const bool isLate = (isStage || !server.settings.checksFencing) && notAfter <= m_now; // Staging also spends the weight store's rate.
    return !isOfEarlierOwner && !isOld && !isLate && !isDoubled;
}

void weight_deputy::passOn(const weight_order &order, server_state &server, time_point notAfter)
{
    if (!server.runs.contains(order.run)) {
        return;
    }
    if (!isToBePassedOn(order, server, notAfter)) {
        ++m_refusedOrders;
        return;
    }
    run_progress &progress = server.runs.at(order.run);
    if (order.operation == switchOperation) {
        progress.newestSwitch = order.version;
        ++server.switchesUnderWay;
        server.switchStartedAt = m_now;
    } else if (order.operation == stageOperation) {
        progress.known.staging = order.version;
        progress.stageBegan = m_now;
        changed(order.run);
    }
    ++server.ordersUnderWay;
    server.loadAt = std::min(server.loadAt, m_now + m_options.loadIntervalBusy);
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
    server_weights &known = progress.known;
    server.ordersUnderWay -= server.ordersUnderWay > 0 ? 1 : 0;
    server.loadAt = std::min(server.loadAt, m_now); // What the server reports decides, not what the order's answer implies.
    if (event.operation == switchOperation) {
        server.switchesUnderWay -= server.switchesUnderWay > 0 ? 1 : 0;
        server.switchTime = m_now - server.switchStartedAt;
    } else if (event.operation == stageOperation && known.staging == event.version) {
        known.staging = 0;
    }
    using outcome = deputy_input::order_answered::outcome;
    if (event.result == outcome::Done) {
        known.failures = 0;
        if (event.operation == stageOperation) {
            known.staged = std::max(known.staged, event.version);
            known.stageMs = std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(m_now - progress.stageBegan).count());
        }
    } else {
        ++known.failures;
        known.failedOperation = event.operation;
        if (event.operation == switchOperation && event.result != outcome::Refused) {
            known.version = 0; // It may have failed partway: not known until the server reports.
        }
    }
    changed(event.run);
    passWaitingSwitches();
}

/** Tells whether a server's report may change soon: an order is under way, or its lagging report does not show the last switch yet. */
bool weight_deputy::isExpectingChange(const server_state &server) const
{
    const bool isLagging = m_now - server.switchStartedAt < m_options.reportLag && std::ranges::any_of(server.runs, [](const auto &item) {
                               return item.second.known.version < item.second.newestSwitch;
                           });
    return server.ordersUnderWay > 0 || isLagging;
}

void weight_deputy::handle(const deputy_input::load_read &event)
{
    const auto found = m_servers.find(event.server);
    if (found == m_servers.end()) {
        return;
    }
    server_state &server = found->second;
    server.isLoadAsked = false;
    server.lastAnswerAt = event.isAnswered ? m_now : server.lastAnswerAt;
    const bool isSilent = m_now - server.lastAnswerAt >= m_options.silentAfter;
    server.loadAt = m_now + (isExpectingChange(server) ? m_options.loadIntervalBusy : m_options.loadInterval);
    if (!event.isAnswered && !isSilent) {
        return;
    }
    for (auto &[run, progress] : server.runs) {
        const auto own = event.versions.find(run);
        const weight_version reported = own == event.versions.end() ? event.baseVersion : own->second;
        const bool isDoubtful = event.state == "unknown-version" && reported == 0;
        const weight_version version = event.isAnswered && !isDoubtful ? reported : 0;
        const std::string state = event.isAnswered ? event.state : std::string(silentState);
        if (version != 0 && version < progress.newestSeen) {
            progress.known.staged = 0; // It has started anew, or was told so by an earlier owner: what it had staged is in doubt.
        }
        progress.newestSeen = version != 0 ? version : progress.newestSeen;
        if (version != progress.known.version || state != progress.known.state) {
            progress.known.version = version;
            progress.known.state = state;
            changed(run);
        }
    }
}

void weight_deputy::handle(const deputy_input::timer &)
{
    for (auto &[id, server] : m_servers) {
        if (!server.isLoadAsked && server.loadAt <= m_now) {
            server.isLoadAsked = true;
            m_actions.emplace_back(deputy_action::read_load{ id });
        }
    }
    for (auto &[run, state] : m_runs) {
        if (state.reportAt <= m_now) {
            reportRun(run, state);
        }
    }
}

void weight_deputy::changed(const run_id &run)
{
    const auto found = m_runs.find(run);
    if (found != m_runs.end()) {
        found->second.reportAt = std::min(found->second.reportAt, m_now + m_options.reportDelay);
    }
}

void weight_deputy::reportRun(const run_id &run, run_state_known &state)
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
            report.servers.push_back(found->second.known);
        }
    }
    m_actions.emplace_back(deputy_action::report{ std::move(report) });
}

nlohmann::json weight_deputy::dump() const
{
    nlohmann::json servers = nlohmann::json::array();
    for (const auto &[id, server] : m_servers) {
        for (const auto &[run, progress] : server.runs) {
            servers.push_back(progress.known);
            servers.back()["run"] = run;
        }
    }
    return { { "zone", m_zone }, { "refusedOrders", m_refusedOrders }, { "servers", std::move(servers) } };
}

} // namespace reedtrail
