// The assignment is kept as it is while no model has two servers more than its share compared with another, since each move costs a load. After a takeover it
// is read off the versions that the servers have: a server has fresh weights of the model it was assigned to.

#include "weights/load_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

namespace reedtrail {
namespace {

constexpr double surplusToMove = 2 - 1e-9; // A move changes the difference of two surpluses by two; the rest is for rounding.

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
    nlohmann::json row{ { "servers", servers } };
    if (ages.others != duration::max()) {
        row["others"] = inMilliseconds(ages.others);
    }
    return row.dump();
}

std::optional<order_ages> decodeOrderAges(std::string_view text)
{
    const nlohmann::json row = nlohmann::json::parse(text, nullptr, false);
    if (!row.is_object() || !row.contains("servers") || !row["servers"].is_object()) {
        return std::nullopt;
    }
    order_ages ages;
    for (const auto &[server, age] : row["servers"].items()) {
        if (!age.is_number_integer()) {
            return std::nullopt;
        }
        ages.byServer[server] = std::chrono::milliseconds(age.get<std::int64_t>());
    }
    if (row.contains("others")) {
        if (!row["others"].is_number_integer()) {
            return std::nullopt;
        }
        ages.others = std::chrono::milliseconds(row["others"].get<std::int64_t>());
    }
    return ages;
}

void load_planner::setModels(std::span<const std::string> models)
{
    m_models.assign(models.begin(), models.end());
    std::ranges::sort(m_models);
    for (auto &[id, place] : m_rows) {
        if (std::ranges::find(m_models, place.model) == m_models.end()) {
            place.model.clear();
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
    for (auto &[id, place] : m_rows) {
        place.isListed = false;
    }
    for (const server_entry *entry : servers) {
        if (entry->modelVersions.empty()) {
            continue;
        }
        server_row &place = m_rows[entry->id];
        if (place.startedAt != entry->startedAt) {
            place.versions.clear();
            place.state = phase::Idle;
        }
        place.startedAt = entry->startedAt;
        place.address = entry->address;
        place.zone = entry->zone;
        place.isListed = true;
        for (const auto &[model, version] : entry->modelVersions) {
            std::uint64_t &known = place.versions[model];
            known = std::max(known, version);
        }
    }
    std::erase_if(m_rows, [](const auto &place) {
        return !place.second.isListed;
    });
    assign();
}

void load_planner::assign()
{
    if (m_models.empty()) {
        return;
    }
    for (auto &[id, place] : m_rows) {
        if (place.model.empty()) {
            place.model = *bestModelFor(place);
        }
    }
    balance();
}

const std::string *load_planner::bestModelFor(const server_row &place) const
{
    const std::string *best = nullptr;
    std::array<std::uint64_t, 4> bestRank{};
    for (const std::string &model : m_models) {
        const std::size_t count = countOf(model);
        const auto inZone = static_cast<std::uint64_t>(std::ranges::count_if(m_rows, [&](const auto &other) {
            return other.second.model == model && other.second.zone == place.zone;
        }));
        const std::array<std::uint64_t, 4> rank{ static_cast<double>(count) >= shareOf(model) ? 1U : 0U, lag(place, model), inZone, count };
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
            return surplusOf(left) < surplusOf(right);
        };
        const std::string &least = *std::ranges::min_element(m_models, bySurplus);
        const std::string &most = *std::ranges::max_element(m_models, bySurplus);
        if (surplusOf(most) < surplusOf(least) + surplusToMove || countOf(most) < 2) {
            return;
        }
        server_row *moved = nullptr;
        for (auto &[id, place] : m_rows) {
            if (place.model == most && (moved == nullptr || lag(place, least) < lag(*moved, least))) {
                moved = &place;
            }
        }
        moved->model = least;
    }
}

std::vector<server_poll> load_planner::next(time_point now)
{
    std::vector<server_poll> intents;
    const auto atMost = [](double share, std::size_t count) {
        return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(share * static_cast<double>(count) + 0.5)));
    };
    std::size_t loading = 0;
    for (auto &[id, place] : m_rows) {
        if (place.state == phase::Loading && place.lookAt <= now) {
            place.state = phase::Looking;
            intents.push_back({ id, place.address });
        }
        loading += place.state == phase::Idle ? 0 : 1;
    }
    const std::size_t fleetLimit = atMost(m_options.fleetShare, m_rows.size());
    for (const candidate &next : candidates(now)) {
        if (loading >= fleetLimit) {
            break;
        }
        server_row &place = *next.place;
        // A server that cannot serve its model's newest job has nothing to lose by loading, whatever the others do.
        if (!next.isUnfit && (!mayLoadAhead(now, place.model) || loadingOf(place.model) >= atMost(m_options.modelShare, countOf(place.model)))) {
            continue;
        }
        place.state = phase::Looking;
        place.loadingSince = now;
        ++loading;
        intents.push_back({ std::string(next.server), place.address });
    }
    return intents;
}

std::vector<load_planner::candidate> load_planner::candidates(time_point now)
{
    std::vector<candidate> found;
    for (auto &[id, place] : m_rows) {
        const std::optional<time_point> earlier = earlierOrder(id);
        const bool isOwnTurn = !earlier || now >= *earlier + m_options.turn;
        if (place.state == phase::Idle && place.lookAt <= now && isOwnTurn && isBehind(place)) {
            found.push_back({ id, &place, serversWithin(place.model, 1), lag(place, place.model) > 1 });
        }
    }
    std::ranges::stable_sort(found, [](const candidate &left, const candidate &right) {
        return left.isUnfit != right.isUnfit ? left.isUnfit : left.fitServers < right.fitServers;
    });
    return found;
}

bool load_planner::mayLoadAhead(time_point now, std::string_view model) const
{
    const auto wanted = static_cast<std::size_t>(std::ceil(m_options.aheadShare * static_cast<double>(countOf(model))));
    const auto target = m_targets.find(model);
    return target != m_targets.end() && now >= target->second.since + m_options.aheadDelay && serversWithin(model, 0) + loadingOf(model) < wanted;
}

std::size_t load_planner::serversWithin(std::string_view model, std::uint64_t lagMost) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_rows, [&](const auto &place) {
        return place.second.model == model && place.second.state == phase::Idle && lag(place.second, model) <= lagMost;
    }));
}

std::optional<load_order> load_planner::onReport(time_point now, std::string_view server, const engine_report &report)
{
    const auto found = m_rows.find(server);
    if (found == m_rows.end() || found->second.state != phase::Looking) {
        return std::nullopt;
    }
    server_row &place = found->second;
    for (const auto &[model, version] : report.versions) {
        std::uint64_t &known = place.versions[model];
        known = std::max(known, version);
    }
    if (!isBehind(place)) {
        place.state = phase::Idle;
        return std::nullopt;
    }
    if (report.isBusy && now - place.loadingSince < m_options.loadLimit) {
        place.state = phase::Loading;
        place.lookAt = now + m_options.lookAgain;
        return std::nullopt;
    }
    place.state = phase::Ordering;
    place.loadingSince = now;
    place.orderedAt = now;
    return load_order{ found->first, place.model, m_targets.find(place.model)->second.version, m_mode, report.ordersAccepted, "", 0 };
}

void load_planner::onRequestFailed(time_point now, std::string_view server)
{
    const auto found = m_rows.find(server);
    if (found != m_rows.end()) {
        found->second.state = phase::Idle;
        found->second.lookAt = now + m_options.retryDelay;
    }
}

void load_planner::onOrderAnswer(time_point now, std::string_view server, order_answer answer)
{
    const auto found = m_rows.find(server);
    if (found == m_rows.end() || found->second.state != phase::Ordering) {
        return;
    }
    server_row &place = found->second;
    place.orderedAt = now;
    if (answer == order_answer::Started) {
        place.state = phase::Loading;
        place.lookAt = now + m_options.loadTime;
        return;
    }
    if (answer == order_answer::AlreadyLoaded) {
        place.versions[place.model] = std::max(place.versions[place.model], m_targets[place.model].version);
    }
    place.state = phase::Idle;
    place.lookAt = now + m_options.retryDelay;
}

void load_planner::setPreviousOrders(time_point now, const std::optional<order_ages> &ages, bool isOwn)
{
    m_earlierOrders.clear();
    m_othersOrdered.reset();
    m_othersOrderedHere.reset();
    if (!ages) {
        (isOwn ? m_othersOrderedHere : m_othersOrdered) = now;
        return;
    }
    for (const auto &[server, age] : ages->byServer) {
        m_earlierOrders.emplace(server, now - age);
    }
    if (ages->others < m_options.turn) {
        m_othersOrdered = now - ages->others;
    }
}

std::optional<time_point> load_planner::earlierOrder(std::string_view server) const
{
    const auto found = m_earlierOrders.find(server);
    return found == m_earlierOrders.end() ? m_othersOrdered : std::optional(found->second);
}

order_ages load_planner::orderAges(time_point now) const
{
    order_ages ages;
    const auto note = [&](const std::string &server, std::optional<time_point> at) {
        if (at && now - *at < m_options.turn) {
            const auto [known, isNew] = ages.byServer.emplace(server, now - *at);
            known->second = std::min(known->second, now - *at);
        }
    };
    for (const auto &[server, place] : m_rows) {
        note(server, place.orderedAt);
        note(server, earlierOrder(server));
    }
    for (const auto &[server, at] : m_earlierOrders) {
        note(server, at);
    }
    for (const std::optional<time_point> &at : { m_othersOrdered, m_othersOrderedHere }) {
        if (at && now - *at < m_options.turn) {
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

std::size_t load_planner::countOf(std::string_view model) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_rows, [&](const auto &place) {
        return place.second.model == model;
    }));
}

/** Returns how many servers a model should have. While the demand of one is unknown, all get the same. */
double load_planner::shareOf(std::string_view model) const
{
    double all = 0;
    bool isKnown = true;
    for (const std::string &each : m_models) {
        const auto found = m_demand.find(each);
        isKnown = isKnown && found != m_demand.end();
        all += found == m_demand.end() ? 0 : found->second;
    }
    const double evenShare = 1 / static_cast<double>(m_models.size());
    const double share = isKnown ? m_options.evenPart * evenShare + (1 - m_options.evenPart) * m_demand.find(model)->second / all : evenShare;
    return share * static_cast<double>(m_rows.size());
}

/** Returns by how many servers a model has more than its share. */
double load_planner::surplusOf(std::string_view model) const
{
    return static_cast<double>(countOf(model)) - shareOf(model);
}

std::size_t load_planner::loadingOf(std::string_view model) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_rows, [&](const auto &place) {
        return place.second.model == model && place.second.state != phase::Idle;
    }));
}

std::uint64_t load_planner::lag(const server_row &place, std::string_view model) const
{
    const auto target = m_targets.find(model);
    const auto version = place.versions.find(model);
    const std::uint64_t known = version == place.versions.end() ? 0 : version->second;
    return target == m_targets.end() || target->second.version <= known ? 0 : target->second.version - known;
}

bool load_planner::isBehind(const server_row &place) const
{
    return !place.model.empty() && lag(place, place.model) > 0;
}

} // namespace reedtrail
