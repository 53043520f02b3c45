// A server moves to another model only when the surpluses of two models differ by at least two servers, because each move costs a load. After a takeover the
// assignment is recovered from the servers' versions: a server has recent weights of the model that it was assigned to.

#include "weights/load_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

namespace reedtrail {
namespace {

constexpr double minSurplusDifference = 2 - 1e-9; // A move changes the difference of two surpluses by two; the subtrahend allows for rounding.

std::int64_t inMilliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

std::string encodeOrderAges(const order_ages &ages)
{
    nlohmann::json servers = nlohmann::json::object();
    for (const auto &[server, age] : ages.byServer) {
        servers[server] = inMilliseconds(age);
    }
    nlohmann::json document{ { "servers", servers } };
    if (ages.others != duration::max()) {
        document["others"] = inMilliseconds(ages.others);
    }
    return document.dump();
}

std::optional<order_ages> decodeOrderAges(std::string_view text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("servers") || !document["servers"].is_object()) {
        return std::nullopt;
    }
    order_ages ages;
    for (const auto &[server, age] : document["servers"].items()) {
        if (!age.is_number_integer()) {
            return std::nullopt;
        }
        ages.byServer[server] = std::chrono::milliseconds(age.get<std::int64_t>());
    }
    if (document.contains("others")) {
        if (!document["others"].is_number_integer()) {
            return std::nullopt;
        }
        ages.others = std::chrono::milliseconds(document["others"].get<std::int64_t>());
    }
    return ages;
}

void load_planner::setModels(std::span<const std::string> models)
{
    m_models.assign(models.begin(), models.end());
    std::ranges::sort(m_models);
    for (auto &[id, row] : m_rows) {
        if (std::ranges::find(m_models, row.model) == m_models.end()) {
            row.model.clear();
        }
    }
    assign();
}

void load_planner::setTarget(time_point now, std::string_view model, std::uint64_t version)
{
    target_row &target = m_targets[std::string(model)];
    if (version > target.version) {
        target = { version, now };
    }
}

void load_planner::setDemand(std::string_view model, double tokens)
{
    const auto [known, isNew] = m_demand.emplace(std::string(model), tokens);
    if (!isNew) {
        known->second += m_options.demandSmoothing * (tokens - known->second);
    }
    assign();
}

void load_planner::refresh(std::span<const server_entry *const> servers)
{
    for (auto &[id, row] : m_rows) {
        row.isListed = false;
    }
    for (const server_entry *entry : servers) {
        if (entry->modelVersions.empty()) {
            continue;
        }
        server_row &row = m_rows[entry->id];
        if (row.startedAt != entry->startedAt) {
            row.versions.clear();
            row.state = phase::Idle;
        }
        row.startedAt = entry->startedAt;
        row.address = entry->address;
        row.zone = entry->zone;
        row.isListed = true;
        for (const auto &[model, version] : entry->modelVersions) {
            std::uint64_t &known = row.versions[model];
            known = std::max(known, version);
        }
    }
    std::erase_if(m_rows, [](const auto &row) {
        return !row.second.isListed;
    });
    assign();
}

void load_planner::assign()
{
    if (m_models.empty()) {
        return;
    }
    for (auto &[id, row] : m_rows) {
        if (row.model.empty()) {
            row.model = *bestModelFor(row);
        }
    }
    balance();
}

const std::string *load_planner::bestModelFor(const server_row &row) const
{
    const std::string *best = nullptr;
    std::array<std::uint64_t, 4> bestRank{};
    for (const std::string &model : m_models) {
        const std::size_t count = serverCount(model);
        const auto inZone = static_cast<std::uint64_t>(std::ranges::count_if(m_rows, [&](const auto &other) {
            return other.second.model == model && other.second.zone == row.zone;
        }));
        const std::array<std::uint64_t, 4> rank{ static_cast<double>(count) >= targetServerCount(model) ? 1U : 0U, lag(row, model), inZone, count };
        if (best == nullptr || rank < bestRank) {
            best = &model;
            bestRank = rank;
        }
    }
    return best;
}

void load_planner::balance()
{
    while (true) {
        const auto bySurplus = [this](const std::string &left, const std::string &right) {
            return surplus(left) < surplus(right);
        };
        const std::string &least = *std::ranges::min_element(m_models, bySurplus);
        const std::string &most = *std::ranges::max_element(m_models, bySurplus);
        if (surplus(most) < surplus(least) + minSurplusDifference || serverCount(most) < 2) {
            return;
        }
        server_row *moved = nullptr;
        for (auto &[id, row] : m_rows) {
            if (row.model == most && (moved == nullptr || lag(row, least) < lag(*moved, least))) {
                moved = &row;
            }
        }
        moved->model = least;
    }
}

std::vector<server_poll> load_planner::next(time_point now)
{
    std::vector<server_poll> polls;
    const auto atMost = [](double share, std::size_t count) {
        return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(share * static_cast<double>(count) + 0.5)));
    };
    std::size_t loading = 0;
    for (auto &[id, row] : m_rows) {
        if (row.state == phase::Loading && row.nextPollAt <= now) {
            row.state = phase::Polling;
            polls.push_back({ id, row.address });
        }
        loading += row.state == phase::Idle ? 0 : 1;
    }
    const std::size_t fleetLimit = atMost(m_options.maxFleetLoadShare, m_rows.size());
    for (const candidate &next : candidates(now)) {
        if (loading >= fleetLimit) {
            break;
        }
        server_row &row = *next.row;
        // A server that is too stale for its model's newest job serves nothing while it waits, so the model's limits do not apply to it.
        if (!next.isTooStale && (!mayPreload(now, row.model) || loadingCount(row.model) >= atMost(m_options.maxModelLoadShare, serverCount(row.model)))) {
            continue;
        }
        row.state = phase::Polling;
        row.loadingSince = now;
        ++loading;
        polls.push_back({ std::string(next.server), row.address });
    }
    return polls;
}

std::vector<load_planner::candidate> load_planner::candidates(time_point now)
{
    std::vector<candidate> found;
    for (auto &[id, row] : m_rows) {
        const std::optional<time_point> previous = previousOrder(id);
        const bool isHandoverOver = !previous || now >= *previous + m_options.handoverDelay;
        if (row.state == phase::Idle && row.nextPollAt <= now && isHandoverOver && isBehind(row)) {
            found.push_back({ id, &row, serversWithin(row.model, 1), lag(row, row.model) > 1 });
        }
    }
    std::ranges::stable_sort(found, [](const candidate &left, const candidate &right) {
        return left.isTooStale != right.isTooStale ? left.isTooStale : left.eligibleServers < right.eligibleServers;
    });
    return found;
}

bool load_planner::mayPreload(time_point now, std::string_view model) const
{
    const auto wanted = static_cast<std::size_t>(std::ceil(m_options.preloadShare * static_cast<double>(serverCount(model))));
    const auto target = m_targets.find(model);
    return target != m_targets.end() && now >= target->second.since + m_options.preloadDelay && serversWithin(model, 0) + loadingCount(model) < wanted;
}

std::size_t load_planner::serversWithin(std::string_view model, std::uint64_t maxLag) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_rows, [&](const auto &row) {
        return row.second.model == model && row.second.state == phase::Idle && lag(row.second, model) <= maxLag;
    }));
}

std::optional<load_order> load_planner::onReport(time_point now, std::string_view server, const engine_report &report)
{
    const auto found = m_rows.find(server);
    if (found == m_rows.end() || found->second.state != phase::Polling) {
        return std::nullopt;
    }
    server_row &row = found->second;
    for (const auto &[model, version] : report.versions) {
        std::uint64_t &known = row.versions[model];
        known = std::max(known, version);
    }
    if (!isBehind(row)) {
        row.state = phase::Idle;
        return std::nullopt;
    }
    if (report.isBusy && now - row.loadingSince < m_options.loadTimeout) {
        row.state = phase::Loading;
        row.nextPollAt = now + m_options.pollInterval;
        return std::nullopt;
    }
    row.state = phase::Ordering;
    row.loadingSince = now;
    row.orderedAt = now;
    return load_order{ found->first, row.model, m_targets.find(row.model)->second.version, m_mode, report.ordersAccepted, "", 0 };
}

void load_planner::onRequestFailed(time_point now, std::string_view server)
{
    const auto found = m_rows.find(server);
    if (found != m_rows.end()) {
        found->second.state = phase::Idle;
        found->second.nextPollAt = now + m_options.retryDelay;
    }
}

void load_planner::onOrderAnswer(time_point now, std::string_view server, order_answer answer)
{
    const auto found = m_rows.find(server);
    if (found == m_rows.end() || found->second.state != phase::Ordering) {
        return;
    }
    server_row &row = found->second;
    row.orderedAt = now;
    if (answer == order_answer::Started) {
        row.state = phase::Loading;
        row.nextPollAt = now + m_options.expectedLoadTime;
        return;
    }
    if (answer == order_answer::AlreadyLoaded) {
        row.versions[row.model] = std::max(row.versions[row.model], m_targets[row.model].version);
    }
    row.state = phase::Idle;
    row.nextPollAt = now + m_options.retryDelay;
}

void load_planner::setPreviousOrders(time_point now, const std::optional<order_ages> &ages, bool isSameNode)
{
    m_previousOrders.clear();
    m_otherServersOrderedAt.reset();
    m_otherServersOrderedBySelfAt.reset();
    if (!ages) {
        (isSameNode ? m_otherServersOrderedBySelfAt : m_otherServersOrderedAt) = now;
        return;
    }
    for (const auto &[server, age] : ages->byServer) {
        m_previousOrders.emplace(server, now - age);
    }
    if (ages->others < m_options.handoverDelay) {
        m_otherServersOrderedAt = now - ages->others;
    }
}

std::optional<time_point> load_planner::previousOrder(std::string_view server) const
{
    const auto found = m_previousOrders.find(server);
    return found == m_previousOrders.end() ? m_otherServersOrderedAt : std::optional(found->second);
}

order_ages load_planner::orderAges(time_point now) const
{
    order_ages ages;
    const auto addAge = [&](const std::string &server, std::optional<time_point> at) {
        if (at && now - *at < m_options.handoverDelay) {
            const auto [known, isNew] = ages.byServer.emplace(server, now - *at);
            known->second = std::min(known->second, now - *at);
        }
    };
    for (const auto &[server, row] : m_rows) {
        addAge(server, row.orderedAt);
        addAge(server, previousOrder(server));
    }
    for (const auto &[server, at] : m_previousOrders) {
        addAge(server, at);
    }
    for (const std::optional<time_point> &at : { m_otherServersOrderedAt, m_otherServersOrderedBySelfAt }) {
        if (at && now - *at < m_options.handoverDelay) {
            ages.others = std::min(ages.others, now - *at);
        }
    }
    return ages;
}

std::string_view load_planner::modelOf(std::string_view server) const
{
    const auto found = m_rows.find(server);
    return found == m_rows.end() ? std::string_view() : std::string_view(found->second.model);
}

std::size_t load_planner::serverCount(std::string_view model) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_rows, [&](const auto &row) {
        return row.second.model == model;
    }));
}

/** Returns how many servers a model should have; all models get the same number while the demand of any is unknown. */
double load_planner::targetServerCount(std::string_view model) const
{
    double totalDemand = 0;
    bool isDemandKnown = true;
    for (const std::string &name : m_models) {
        const auto found = m_demand.find(name);
        isDemandKnown = isDemandKnown && found != m_demand.end();
        totalDemand += found == m_demand.end() ? 0 : found->second;
    }
    const double evenSplit = 1 / static_cast<double>(m_models.size());
    const double share =
        isDemandKnown ? m_options.evenFraction * evenSplit + (1 - m_options.evenFraction) * m_demand.find(model)->second / totalDemand : evenSplit;
    return share * static_cast<double>(m_rows.size());
}

/** Returns how many servers a model has beyond its target; negative if it has fewer. */
double load_planner::surplus(std::string_view model) const
{
    return static_cast<double>(serverCount(model)) - targetServerCount(model);
}

std::size_t load_planner::loadingCount(std::string_view model) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_rows, [&](const auto &row) {
        return row.second.model == model && row.second.state != phase::Idle;
    }));
}

std::uint64_t load_planner::lag(const server_row &row, std::string_view model) const
{
    const auto target = m_targets.find(model);
    const auto version = row.versions.find(model);
    const std::uint64_t known = version == row.versions.end() ? 0 : version->second;
    return target == m_targets.end() || target->second.version <= known ? 0 : target->second.version - known;
}

bool load_planner::isBehind(const server_row &row) const
{
    return !row.model.empty() && lag(row, row.model) > 0;
}

} // namespace reedtrail
