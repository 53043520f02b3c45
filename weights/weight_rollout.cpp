// Staging takes minutes and is paced by the weight store; switching takes seconds and is done for the whole fleet at once, so that a step's samples differ
// little in their versions. The switch goes in two waves, half of each zone's servers at a time, so that interactive work always finds servers that are not
// swapping.
//
// An order of an owner whose lease has lapsed, in order of defence:
//   1. servers that check the fencing number (the epoch) refuse it;
//   2. for the others, nothing is sent unless the lease still holds for leaseMargin, and the order says for how long it is valid from its receipt;
//   3. a new owner sends those servers nothing until the earlier lease and the longest flight have passed;
//   4. all reported versions are compared afterwards: a server that fell back is noticed, counted and brought forward again. This alone covers an owner paused
//   between its check and
//      its send, which no clock can exclude.
// A swap that failed partway leaves the server's version unknown (0): it is out of sampling until it reports a version, and is ordered again.
//
// Cost: one message a zone for each operation; memory: about 200 bytes a server.

#include "weights/weight_rollout.h"

#include "base/check.h"

#include <algorithm>

namespace reedtrail {

weight_rollout::weight_rollout(run_id run, rollout_options options, decision_log *log)
    : m_run(std::move(run))
    , m_options(options)
    , m_log(log)
{
}

std::vector<zone_order> weight_rollout::onEvent(time_point now, const rollout_event_item &event)
{
    m_now = now;
    m_out.clear();
    std::visit(
        [this](const auto &known) {
            handle(known);
        },
        event);
    proceed();
    sendOrders();
    return std::move(m_out);
}

time_point weight_rollout::nextDeadline() const
{
    if (phase() == rollout_phase::Standby) {
        return timeNever;
    }
    const bool isBusy = phase() == rollout_phase::Switching;
    return m_now + (isBusy ? m_options.firstRetry : m_options.repeatInterval); // Reports wake it before if anything has changed.
}

void weight_rollout::handle(const rollout_input::servers_changed &event)
{
    m_pool = event.pool;
    m_stagingLimiter.setRate(event.bytesPerSecond, event.shardBytes);
    std::map<server_id, server_progress> before;
    before.swap(m_servers);
    for (const rollout_server &server : event.servers) {
        server_progress progress;
        const auto known = before.find(server.id);
        if (known != before.end()) {
            progress = known->second;
        }
        progress.settings = server;
        m_servers.emplace(server.id, std::move(progress));
    }
}

void weight_rollout::handle(const rollout_input::ownership_gained &event)
{
    REEDTRAIL_CHECK(event.epoch > m_epoch, "the epoch of a run only rises");
    m_epoch = event.epoch;
    m_leaseUntil = event.leaseUntil;
    m_waitedOutAt = event.isFirstOwner ? m_now : m_now + m_options.leaseLength + m_options.longestFlight;
    m_target = 0;
    m_switchVersion = 0;
    for (auto &[id, server] : m_servers) {
        server.stageOrdered = 0;
        server.switchOrdered = 0;
    }
    m_machine.handle(rollout_event::Gained);
}

void weight_rollout::handle(const rollout_input::lease_renewed &event)
{
    m_leaseUntil = std::max(m_leaseUntil, event.leaseUntil);
}

void weight_rollout::handle(const rollout_input::ownership_lost &)
{
    m_machine.handle(rollout_event::Lost);
}

void weight_rollout::handle(const rollout_input::version_published &event)
{
    m_published = std::max(m_published, event.version);
}

void weight_rollout::handle(const rollout_input::zone_reported &event)
{
    if (event.report.epoch > m_epoch && phase() != rollout_phase::Standby) {
        return; // A later owner orders this zone by now; the store will say so.
    }
    report_mark &mark = m_reports[event.report.zone];
    if (mark.deputy == event.report.deputy && event.report.number <= mark.number) {
        return; // Doubled, or overtaken by a later one.
    }
    mark = { event.report.deputy, event.report.number };
    for (const server_weights &seen : event.report.servers) {
        const auto found = m_servers.find(seen.server);
        if (found == m_servers.end()) {
            continue;
        }
        server_progress &server = found->second;
        const bool isFallback = server.seen.version >= m_switchVersion && m_switchVersion != 0 && seen.version != 0 && seen.version < m_switchVersion;
        if (isFallback) {
            ++m_regressions;
            server.switchOrdered = 0;
            if (m_log != nullptr) {
                m_log->add({ m_now,
                             decision_kind::Fenced,
                             subject_kind::Server,
                             seen.server.str(),
                             error_kind::Fenced,
                             "reports version " + std::to_string(seen.version) + " after " + std::to_string(server.seen.version) + ", ordered again" });
            }
        }
        const bool hasFailed = seen.failures > server.seen.failures;
        if (hasFailed && seen.failedOperation == stageOperation) {
            server.stageOrdered = 0;
        }
        if (hasFailed && seen.failedOperation == switchOperation) {
            server.seen.failures = seen.failures;
            server.switchOrderedAt = std::min(server.switchOrderedAt, m_now - m_options.switchTimeout + retryDelay(server));
        }
        if (seen.stageMs != server.seen.stageMs) {
            m_stagingLimiter.recordStageTime(std::chrono::milliseconds(seen.stageMs));
        }
        server.seen = seen;
        server.isHeard = true;
    }
}

void weight_rollout::handle(const rollout_input::timer &)
{
}

duration weight_rollout::retryDelay(const server_progress &server) const
{
    const std::uint64_t doublings = std::min<std::uint64_t>(server.seen.failures, 10) - std::min<std::uint64_t>(server.seen.failures, 1);
    return std::min(m_options.repeatInterval, m_options.firstRetry * (1 << doublings));
}

bool weight_rollout::isSwitching(const server_progress &server) const
{
    return server.switchOrdered != 0 && server.switchOrdered == m_switchVersion && server.seen.version < m_switchVersion;
}

bool weight_rollout::isBehind(const server_progress &server) const
{
    return server.seen.version < m_target;
}

bool weight_rollout::mayOrder(const server_progress &server) const
{
    if (server.settings.checksFencing) {
        return true;
    }
    return m_now >= m_waitedOutAt && m_leaseUntil - m_now > m_options.leaseMargin;
}

void weight_rollout::proceed()
{
    if (phase() == rollout_phase::Standby) {
        return;
    }
    if (phase() == rollout_phase::Settled && m_published > m_target) {
        m_target = m_published;
        m_stagingSince = m_now;
        m_machine.handle(rollout_event::Published);
    }
    stageServers();
    if (phase() == rollout_phase::Staging && (!m_options.isStaged || isStagingDone())) {
        m_switchVersion = m_target;
        m_switchingSince = m_now;
        m_machine.handle(rollout_event::Staged);
        if (m_log != nullptr) {
            m_log->add(
                { m_now, decision_kind::Ordered, subject_kind::Run, m_run.str(), error_kind::None, "switch to version " + std::to_string(m_switchVersion) });
        }
    }
    switchServers();
    if (phase() == rollout_phase::Switching && isSwitchDone()) {
        m_machine.handle(rollout_event::Switched);
    }
}

std::vector<duration> weight_rollout::drawsUnderWay() const
{
    std::vector<duration> draws;
    for (const auto &[id, server] : m_servers) {
        const bool isOrdered = server.stageOrdered > server.seen.staged && m_now - server.stageOrderedAt < m_options.stageTimeout;
        if (isOrdered || server.seen.staging != 0) {
            draws.push_back(std::chrono::milliseconds(server.seen.stageMs));
        }
    }
    return draws;
}

void weight_rollout::stageServers()
{
    if (m_target == 0 || !m_options.isStaged || m_now < m_waitedOutAt || m_leaseUntil - m_now <= m_options.leaseMargin) {
        return; // Another owner may let servers draw: an earlier one still, or a later one already.
    }
    std::vector<duration> draws = drawsUnderWay();
    for (auto &[id, server] : m_servers) {
        const bool isStaged = server.seen.staged >= m_target || !isBehind(server);
        const bool isUnderWay = server.seen.staging != 0 || (server.stageOrdered == m_target && m_now - server.stageOrderedAt < m_options.stageTimeout);
        if (isStaged || isUnderWay || !server.isHeard || server.seen.state == "silent" || !mayOrder(server)) {
            continue;
        }
        draws.push_back(std::chrono::milliseconds(server.seen.stageMs));
        if (!m_stagingLimiter.mayStart(draws)) {
            return;
        }
        server.stageOrdered = m_target;
        server.stageOrderedAt = m_now;
        addOrder(server, stageOperation, m_target);
    }
}

bool weight_rollout::isStagingDone() const
{
    std::size_t staged = 0;
    std::size_t reachable = 0;
    for (const auto &[id, server] : m_servers) {
        const bool isReachable = server.isHeard && server.seen.state != "silent";
        reachable += isReachable ? 1 : 0;
        staged += isReachable && (server.seen.staged >= m_target || !isBehind(server)) ? 1 : 0;
    }
    if (reachable == 0) {
        return false;
    }
    const bool isLate = m_now - m_stagingSince >= m_options.stagePatience;
    return staged == reachable || (isLate && 2 * staged >= reachable);
}

void weight_rollout::switchServers()
{
    if (m_switchVersion == 0) {
        return;
    }
    for (auto &[id, server] : m_servers) {
        const bool isDone = server.seen.version >= m_switchVersion;
        const bool isUnderWay = server.switchOrdered == m_switchVersion && m_now - server.switchOrderedAt < m_options.switchTimeout;
        if (isDone || isUnderWay || (m_options.isStaged && server.seen.staged < m_switchVersion) || server.seen.state == "silent" || !mayOrder(server)) {
            continue;
        }
        server.switchOrdered = m_switchVersion;
        server.switchOrderedAt = m_now;
        addOrder(server, switchOperation, m_switchVersion);
    }
}

bool weight_rollout::isSwitchDone() const
{
    if (m_now - m_switchingSince >= m_options.switchPatience) {
        return true;
    }
    return std::ranges::all_of(m_servers, [this](const auto &item) {
        const server_progress &server = item.second;
        const bool isExpected = server.isHeard && server.seen.state != "silent" && server.seen.staged >= m_switchVersion;
        return !isExpected || server.seen.version >= m_switchVersion;
    });
}

void weight_rollout::addOrder(const server_progress &server, std::string_view operation, weight_version version)
{
    weight_order &order = m_orders[{ server.settings.zone, std::string(operation) }];
    order.run = m_run;
    order.pool = m_pool;
    order.epoch = m_epoch;
    order.version = version;
    order.operation = operation;
    order.validForMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_leaseUntil - m_options.leaseMargin - m_now).count();
    order.servers.push_back(server.settings.id);
}

void weight_rollout::sendOrders()
{
    for (auto &[key, order] : m_orders) {
        m_out.push_back({ key.first, std::move(order) });
    }
    m_orders.clear();
}

weight_version weight_rollout::newestServed() const
{
    weight_version newest = 0;
    for (const auto &[id, server] : m_servers) {
        newest = std::max(newest, server.seen.version);
    }
    return newest;
}

std::size_t weight_rollout::serversAt(weight_version version) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_servers, [version](const auto &item) {
        return item.second.seen.version >= version;
    }));
}

std::vector<server_id> weight_rollout::serversExcludedFromSampling() const
{
    std::vector<server_id> out;
    for (const auto &[id, server] : m_servers) {
        if (!server.isHeard || server.seen.version == 0 || isSwitching(server)) {
            out.push_back(id);
        }
    }
    return out;
}

nlohmann::json weight_rollout::dump() const
{
    nlohmann::json servers = nlohmann::json::array();
    for (const auto &[id, server] : m_servers) {
        servers.push_back({ { "server", id }, { "staged", server.seen.staged }, { "version", server.seen.version }, { "state", server.seen.state } });
    }
    return {
        { "run", m_run },
        { "phase", rolloutPhaseName(phase()) },
        { "epoch", m_epoch },
        { "published", m_published },
        { "target", m_target },
        { "switchedTo", m_switchVersion },
        { "regressions", m_regressions },
        { "drawsUnderWay", drawsUnderWay().size() },
        { "servers", std::move(servers) },
    };
}

} // namespace reedtrail
