// Documents are compared in JSON form, so differences in fields that this release does not know are listed as well. List items are matched by id or name. Risks
// are derived from the typed form by rules; each states what would be lost and for whom.

#include "fleet/settings_plan.h"

#include "fleet/fleet_document.h"

#include <algorithm>
#include <map>

namespace reedtrail {
namespace {

using nlohmann::json;

constexpr std::size_t maximumValueLength = 60;

std::string abbreviated(const json &value)
{
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > maximumValueLength) {
        text = text.substr(0, maximumValueLength) + "…";
    }
    return text;
}

/** Returns the id or else the name of a list item; an empty string if it has neither. */
std::string itemName(const json &item)
{
    if (!item.is_object()) {
        return {};
    }
    return item.value("id", item.value("name", std::string()));
}

bool isNamedList(const json &value)
{
    return value.is_array() && !value.empty() && std::ranges::all_of(value, [](const json &item) {
               return !itemName(item).empty();
           });
}

std::map<std::string, const json *> indexByName(const json &list)
{
    std::map<std::string, const json *> items;
    for (const json &item : list) {
        items[itemName(item)] = &item;
    }
    return items;
}

void compare(const std::string &path, const json &before, const json &after, std::vector<std::string> &changes);

void compareLists(const std::string &path, const json &before, const json &after, std::vector<std::string> &changes)
{
    const auto old = indexByName(before);
    const auto desired = indexByName(after);
    for (const auto &[name, item] : desired) {
        const std::string place = path + "[" + name + "]";
        if (!old.contains(name)) {
            changes.push_back("add " + place + " " + abbreviated(*item));
        } else {
            compare(place, *old.at(name), *item, changes);
        }
    }
    for (const auto &[name, item] : old) {
        if (!desired.contains(name)) {
            changes.push_back("remove " + path + "[" + name + "]");
        }
    }
}

void compareObjects(const std::string &path, const json &before, const json &after, std::vector<std::string> &changes)
{
    static const json nullValue;
    for (const auto &[key, value] : after.items()) {
        const auto found = before.find(key);
        compare(path.empty() ? key : path + "." + key, found == before.end() ? nullValue : *found, value, changes);
    }
    for (const auto &[key, value] : before.items()) {
        if (!after.contains(key)) {
            compare(path.empty() ? key : path + "." + key, value, nullValue, changes);
        }
    }
}

void compare(const std::string &path, const json &before, const json &after, std::vector<std::string> &changes)
{
    if (before == after) {
        return;
    }
    const bool areLists = (before.is_array() || before.is_null()) && (after.is_array() || after.is_null());
    if (before.is_object() && after.is_object()) {
        compareObjects(path, before, after, changes);
    } else if (areLists && (isNamedList(before) || isNamedList(after))) {
        compareLists(path, before.is_null() ? json::array() : before, after.is_null() ? json::array() : after, changes);
    } else if (before.is_null()) {
        changes.push_back("set " + path + " to " + abbreviated(after));
    } else if (after.is_null()) {
        changes.push_back("unset " + path + " (was " + abbreviated(before) + ")");
    } else {
        changes.push_back("change " + path + " from " + abbreviated(before) + " to " + abbreviated(after));
    }
}

/** Returns the typed form of a validated document; an empty one for null. */
fleet_document parseValidated(const json &document)
{
    fleet_document parsed;
    if (!document.is_null()) {
        failureOf([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(parsed, parseFleetDocument(document, "document"));
            return {};
        });
    }
    return parsed;
}

const server_settings *findServer(const pool_settings &pool, const server_id &id)
{
    const auto found = std::ranges::find(pool.servers, id, &server_settings::id);
    return found == pool.servers.end() ? nullptr : &*found;
}

void addServerRisks(const fleet_document &before, const fleet_document &after, std::vector<std::string> &risks)
{
    for (const pool_settings &old : before.pools) {
        const pool_settings *pool = after.findPool(old.id);
        for (const server_settings &server : old.servers) {
            const bool isGone = pool == nullptr || findServer(*pool, server.id) == nullptr;
            if (isGone && !server.isLeaving) {
                risks.push_back("server " + server.id.str() + " goes without a drain: set isLeaving first, or requests it runs now may be cut");
            }
        }
        if (pool != nullptr && pool->servers.empty() && !old.servers.empty()) {
            risks.push_back("pool " + old.id.str() + " has no server left: its requests are refused");
        }
        if (pool == nullptr) {
            risks.push_back("pool " + old.id.str() + " goes away: its callers get not-found");
        }
    }
}

void addRunRisks(const fleet_document &before, const fleet_document &after, std::vector<std::string> &risks)
{
    for (const run_settings &old : before.runs) {
        const run_settings *run = after.findRun(old.id);
        if (run == nullptr || (run->state == run_state::Closed && old.state != run_state::Closed)) {
            risks.push_back("run " + old.id.str() + " ends: drafts that are not sealed are discarded");
        } else if (run->stalenessBound < old.stalenessBound) {
            risks.push_back("run " + old.id.str() + " gets a tighter staleness bound: older samples not yet delivered are discarded and made anew");
        } else if (run->pool != old.pool) {
            risks.push_back("run " + old.id.str() + " moves to pool " + run->pool.str() + ": its weights must be staged there first");
        }
    }
}

void addShareChanges(const fleet_document &before, const fleet_document &after, settings_plan &plan)
{
    const auto total = [](const fleet_document &document) {
        double sum = 0;
        for (const customer_settings &customer : document.customers) {
            sum += customer.weight;
        }
        return sum;
    };
    const auto percent = [](double share) {
        return std::to_string(static_cast<int>(share * 100 + 0.5)) + " %";
    };
    for (const customer_settings &customer : after.customers) {
        const customer_settings *old = before.findCustomer(customer.id);
        const double now = customer.weight / total(after);
        if (old != nullptr && std::abs(old->weight / total(before) - now) > 0.005) {
            plan.changes.push_back("customer " + customer.id.str() + " has a share of " + percent(now) + " under load, had "
                                   + percent(old->weight / total(before)));
        }
    }
    for (const customer_settings &old : before.customers) {
        if (after.findCustomer(old.id) == nullptr) {
            plan.risks.push_back("customer " + old.id.str() + " goes away: its tokens are refused");
        }
    }
}

void addOperatorRisks(const fleet_document &before, const fleet_document &after, std::vector<std::string> &risks)
{
    const auto mayConfirm = [](const operator_settings &account) {
        return account.role == "confirm" && !account.tokenHashes.empty();
    };
    if (std::ranges::none_of(after.operators, mayConfirm)) {
        const bool hadOne = std::ranges::any_of(before.operators, mayConfirm);
        risks.emplace_back(hadOne ? "nobody is left who may confirm a change but by the node file's bootstrap token"
                                  : "no operator is named: changes are confirmed by the node file's bootstrap token");
    }
}

} // namespace

result<json> desiredDocument(const json &base, const json &intent)
{
    if (!intent.is_object() || intent.contains("document") == intent.contains("patch")) {
        return fail(error_kind::BadRequest, R"(the body must be {"document": …} or {"patch": …})");
    }
    json desired;
    if (intent.contains("document")) {
        desired = intent.at("document");
    } else {
        desired = base.is_null() ? json::object() : base;
        desired.merge_patch(intent.at("patch"));
    }
    if (!desired.is_object()) {
        return fail(error_kind::BadRequest, "the document must be a JSON object");
    }
    BOOST_LEAF_CHECK(parseFleetDocument(desired, "document"));
    return desired;
}

settings_plan describePlan(const json &base, const json &desired)
{
    settings_plan plan;
    compareObjects("", base.is_null() ? json::object() : base, desired, plan.changes);
    const fleet_document before = parseValidated(base);
    const fleet_document after = parseValidated(desired);
    addShareChanges(before, after, plan);
    addServerRisks(before, after, plan.risks);
    addRunRisks(before, after, plan.risks);
    addOperatorRisks(before, after, plan.risks);
    return plan;
}

} // namespace reedtrail
