// Staging takes minutes and is limited by the weight store's rate. Switching takes seconds and is ordered for the whole fleet at once, so that the samples of a
// step differ little in their versions. Each zone's deputy lets at most half of its servers swap at a time, so that interactive requests always find a server
// that is not swapping.
//
// An order of an owner whose lease has expired is stopped as follows:
//   1. Servers that check the fencing token (the epoch) refuse it.
//   2. For other servers, an order is sent only while the lease is valid for at least leaseMargin, and it carries its validity from receipt.
//   3. A new owner sends nothing to those servers until the previous lease and the longest message delay have passed.
//   4. The reported versions are compared afterwards. A server that went back to an older version is counted and ordered again. Only this covers an owner that
//      is paused between its lease check and its send, which no clock check can exclude.
// A swap that fails partway leaves the server's version unknown (0). The server gets no sampling requests until it reports a version, and is ordered again.
//
// Cost: one message per zone for each operation. Memory: about 200 bytes per server.

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
    m_outgoing.clear();
    std::visit(
        [this](const auto &typedEvent) {
            handle(typedEvent);
        },
        event);
    advance();
    sendOrders();
    return std::move(m_outgoing);
}

time_point weight_rollout::nextDeadline() const
{
    if (phase() == rollout_phase::Standby) {
        return timeNever;
    }
    const bool isBusy = phase() == rollout_phase::Switching;
    return m_now + (isBusy ? m_options.firstRetryDelay : m_options.resendInterval); // A report advances the rollout earlier if anything changes.
}

void weight_rollout::handle(const rollout_input::servers_changed &event)
{
    m_pool = event.pool;
    m_stagingLimiter.setRate(event.bytesPerSecond, event.shardBytes);
    std::map<server_id, server_progress> previous;
    previous.swap(m_servers);
    for (const rollout_server &server : event.servers) {
        server_progress progress;
        const auto known = previous.find(server.id);
        if (known != previous.end()) {
            progress = known->second;
        }
        progress.settings = server;
        m_servers.emplace(server.id, std::move(progress));
    }
}

void weight_rollout::handle(const rollout_input::ownership_gained &event)
{
    REEDTRAIL_CHECK(event.epoch > m_epoch, "the epoch of a run only increases");
    m_epoch = event.epoch;
    m_leaseUntil = event.leaseUntil;
    m_previousOwnerGoneAt = event.isFirstOwner ? m_now : m_now + m_options.leaseDuration + m_options.maxMessageDelay;
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
        return; // A later owner is in charge; the store will report the loss of ownership.
    }
    report_id &last = m_lastReports[event.report.zone];
    if (last.deputy == event.report.deputy && event.report.number <= last.number) {
        return; // A duplicate, or reordered after a later report.
    }
    last = { event.report.deputy, event.report.number };
    for (const server_weights &reported : event.report.servers) {
        const auto found = m_servers.find(reported.server);
        if (found == m_servers.end()) {
            continue;
        }
        server_progress &server = found->second;
        const bool isRegression =
            server.reported.version >= m_switchVersion && m_switchVersion != 0 && reported.version != 0 && reported.version < m_switchVersion;
        if (isRegression) {
            ++m_regressions;
            server.switchOrdered = 0;
            if (m_log != nullptr) {
                m_log->add({ m_now,
                             decision_kind::Fenced,
                             subject_kind::Server,
                             reported.server.str(),
                             error_kind::Fenced,
                             "reports version " + std::to_string(reported.version) + " after " + std::to_string(server.reported.version) + ", ordered again" });
            }
        }
        const bool hasFailed = reported.failures > server.reported.failures;
        if (hasFailed && reported.failedOperation == stageOperation) {
            server.stageOrdered = 0;
        }
        if (hasFailed && reported.failedOperation == switchOperation) {
            server.reported.failures = reported.failures;
            server.switchOrderedAt = std::min(server.switchOrderedAt, m_now - m_options.switchTimeout + retryDelay(server));
        }
        if (reported.stageMs != server.reported.stageMs) {
            m_stagingLimiter.recordStageTime(std::chrono::milliseconds(reported.stageMs));
        }
        server.reported = reported;
        server.hasReported = true;
    }
}

void weight_rollout::handle(const rollout_input::timer &)
{
}

duration weight_rollout::retryDelay(const server_progress &server) const
{
    const std::uint64_t doublings = std::min<std::uint64_t>(server.reported.failures, 10) - std::min<std::uint64_t>(server.reported.failures, 1);
    return std::min(m_options.resendInterval, m_options.firstRetryDelay * (1 << doublings));
}

bool weight_rollout::isSwitching(const server_progress &server) const
{
    return server.switchOrdered != 0 && server.switchOrdered == m_switchVersion && server.reported.version < m_switchVersion;
}

bool weight_rollout::isBehind(const server_progress &server) const
{
    return server.reported.version < m_target;
}

bool weight_rollout::mayOrder(const server_progress &server) const
{
    if (server.settings.checksFencing) {
        return true;
    }
    return m_now >= m_previousOwnerGoneAt && m_leaseUntil - m_now > m_options.leaseMargin;
}

void weight_rollout::advance()
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

std::vector<duration> weight_rollout::activeDownloads() const
{
    std::vector<duration> downloads;
    for (const auto &[id, server] : m_servers) {
        const bool isOrdered = server.stageOrdered > server.reported.staged && m_now - server.stageOrderedAt < m_options.stageTimeout;
        if (isOrdered || server.reported.staging != 0) {
            downloads.push_back(std::chrono::milliseconds(server.reported.stageMs));
        }
    }
    return downloads;
}

void weight_rollout::stageServers()
{
    if (m_target == 0 || !m_options.isStaged || m_now < m_previousOwnerGoneAt || m_leaseUntil - m_now <= m_options.leaseMargin) {
        return; // The previous owner, or already the next one, may have servers downloading, which would exceed the rate.
    }
    std::vector<duration> downloads = activeDownloads();
    for (auto &[id, server] : m_servers) {
        const bool isStaged = server.reported.staged >= m_target || !isBehind(server);
        const bool isPending = server.reported.staging != 0 || (server.stageOrdered == m_target && m_now - server.stageOrderedAt < m_options.stageTimeout);
        if (isStaged || isPending || !server.hasReported || server.reported.state == "silent" || !mayOrder(server)) {
            continue;
        }
        downloads.push_back(std::chrono::milliseconds(server.reported.stageMs));
        if (!m_stagingLimiter.mayStart(downloads)) {
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
        const bool isReachable = server.hasReported && server.reported.state != "silent";
        reachable += isReachable ? 1 : 0;
        staged += isReachable && (server.reported.staged >= m_target || !isBehind(server)) ? 1 : 0;
    }
    if (reachable == 0) {
        return false;
    }
    const bool isLate = m_now - m_stagingSince >= m_options.maxStagingTime;
    return staged == reachable || (isLate && 2 * staged >= reachable);
}

void weight_rollout::switchServers()
{
    if (m_switchVersion == 0) {
        return;
    }
    for (auto &[id, server] : m_servers) {
        const bool isDone = server.reported.version >= m_switchVersion;
        const bool isPending = server.switchOrdered == m_switchVersion && m_now - server.switchOrderedAt < m_options.switchTimeout;
        if (isDone || isPending || (m_options.isStaged && server.reported.staged < m_switchVersion) || server.reported.state == "silent" || !mayOrder(server)) {
            continue;
        }
        server.switchOrdered = m_switchVersion;
        server.switchOrderedAt = m_now;
        addOrder(server, switchOperation, m_switchVersion);
    }
}

bool weight_rollout::isSwitchDone() const
{
    if (m_now - m_switchingSince >= m_options.maxSwitchingTime) {
        return true;
    }
    return std::ranges::all_of(m_servers, [this](const auto &item) {
        const server_progress &server = item.second;
        const bool isExpected = server.hasReported && server.reported.state != "silent" && server.reported.staged >= m_switchVersion;
        return !isExpected || server.reported.version >= m_switchVersion;
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
        m_outgoing.push_back({ key.first, std::move(order) });
    }
    m_orders.clear();
}

weight_version weight_rollout::newestServed() const
{
    weight_version newest = 0;
    for (const auto &[id, server] : m_servers) {
        newest = std::max(newest, server.reported.version);
    }
    return newest;
}

std::size_t weight_rollout::serversAt(weight_version version) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_servers, [version](const auto &item) {
        return item.second.reported.version >= version;
    }));
}

std::vector<server_id> weight_rollout::serversExcludedFromSampling() const
{
    std::vector<server_id> out;
    for (const auto &[id, server] : m_servers) {
        if (!server.hasReported || server.reported.version == 0 || isSwitching(server)) {
            out.push_back(id);
        }
    }
    return out;
}

nlohmann::json weight_rollout::dump() const
{
    nlohmann::json servers = nlohmann::json::array();
    for (const auto &[id, server] : m_servers) {
        servers.push_back(
            { { "server", id }, { "staged", server.reported.staged }, { "version", server.reported.version }, { "state", server.reported.state } });
    }
    return {
        { "run", m_run },
        { "phase", rolloutPhaseName(phase()) },
        { "epoch", m_epoch },
        { "published", m_published },
        { "target", m_target },
        { "switchedTo", m_switchVersion },
        { "regressions", m_regressions },
        { "drawsUnderWay", activeDownloads().size() },
        { "servers", std::move(servers) },
    };
}

} // namespace reedtrail
