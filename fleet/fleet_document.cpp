// Operators write the JSON form, and the store holds it. The typed form is derived from it and never written back, so fields that an older release does not
// know are not lost when that release handles the document.

#include "fleet/fleet_document.h"

#include "base/settings_reader.h"

#include <algorithm>
#include <array>
#include <set>

namespace reedtrail {
namespace {

constexpr std::array<std::string_view, 2> poolKinds{ "engine", "service" };
constexpr std::array<std::string_view, 3> runStates{ "open", "paused", "closed" };
constexpr std::array<std::string_view, 3> operatorRoles{ "read", "plan", "confirm" };

template<class Enum, std::size_t count>
Enum enumFromName(const std::array<std::string_view, count> &names, std::string_view name)
{
    const auto found = std::ranges::find(names, name);
    return static_cast<Enum>(found == names.end() ? 0 : found - names.begin());
}

/** Reads the id of a list item and rejects an empty or duplicate one. */
template<class Id>
Id readUniqueId(settings_reader &reader, std::set<std::string> &usedIds)
{
    const std::string text = reader.text("id");
    if (text.empty()) {
        reader.reject("id", "must not be empty");
    } else if (!usedIds.insert(text).second) {
        reader.reject("id", "must differ from all others; \"" + text + "\" is there twice");
    }
    return Id(text);
}

customer_settings readCustomer(settings_reader &reader, std::set<std::string> &usedIds)
{
    customer_settings customer;
    customer.id = readUniqueId<customer_id>(reader, usedIds);
    customer.weight = reader.number("weight", { 0.001, 1000 }, customer.weight);
    customer.tokenHashes = reader.texts("tokenHashes", std::vector<std::string>{});
    customer.maximumQueued = reader.integer("maximumQueued", { 1, 100000 }, customer.maximumQueued);
    return customer;
}

server_settings readServer(settings_reader &reader, std::set<std::string> &usedIds)
{
    server_settings server;
    server.id = readUniqueId<server_id>(reader, usedIds);
    server.address = reader.text("address");
    server.zone = zone_id(reader.text("zone"));
    server.checksFencing = reader.boolean("checksFencing", server.checksFencing);
    server.slots = reader.integer("slots", { 1, 100000 }, server.slots);
    server.isLeaving = reader.boolean("isLeaving", server.isLeaving);
    return server;
}

pool_settings readPool(settings_reader &reader, std::set<std::string> &usedPoolIds, std::set<std::string> &usedServerIds)
{
    pool_settings pool;
    pool.id = readUniqueId<pool_id>(reader, usedPoolIds);
    pool.kind = enumFromName<pool_kind>(poolKinds, reader.choice("kind", poolKinds));
    pool.nonIdempotent = reader.texts("nonIdempotent", std::vector<std::string>{});
    pool.defaultDeadline = reader.milliseconds("defaultDeadlineMs", { 1, 86400000 }, pool.defaultDeadline);
    pool.silenceTimeout = reader.milliseconds("silenceTimeoutMs", { 1, 3600000 }, pool.silenceTimeout);
    for (settings_reader &server : reader.objects("servers")) {
        pool.servers.push_back(readServer(server, usedServerIds));
    }
    return pool;
}

run_settings readRun(settings_reader &reader, std::set<std::string> &usedIds)
{
    run_settings run;
    run.id = readUniqueId<run_id>(reader, usedIds);
    run.customer = customer_id(reader.text("customer"));
    run.pool = pool_id(reader.text("pool"));
    run.scorerPool = pool_id(reader.text("scorerPool"));
    run.state = enumFromName<run_state>(runStates, reader.choice("state", runStates, "open"));
    run.groups = reader.integer("groups", { 1, 65536 }, run.groups);
    run.groupSize = reader.integer("groupSize", { 1, 1024 }, run.groupSize);
    run.stalenessBound = reader.integer("stalenessBound", { 0, 1000 }, run.stalenessBound);
    run.stepDeadline = reader.milliseconds("stepDeadlineMs", { 100, 86400000 }, run.stepDeadline);
    run.maximumTokens = reader.integer("maximumTokens", { 1, 1000000 }, run.maximumTokens);
    run.idleTimeWeight = reader.number("idleTimeWeight", { 0, 1 }, run.idleTimeWeight);
    run.weight = reader.number("weight", { 0.001, 1000 }, run.weight);
    run.weightBytesPerServer = reader.integer("weightBytesPerServer", { 1, std::int64_t{ 1 } << 50U }, run.weightBytesPerServer);
    run.prompts = reader.texts("prompts", std::vector<std::string>{ "prompt" });
    return run;
}

operator_settings readOperator(settings_reader &reader)
{
    operator_settings account;
    account.name = reader.text("name");
    account.role = reader.choice("role", operatorRoles);
    account.tokenHashes = reader.texts("tokenHashes");
    return account;
}

/** Rejects references from runs to customers or pools that do not exist, and to pools of the wrong kind. */
void checkReferences(settings_reader &reader, const fleet_document &document)
{
    for (std::size_t i = 0; i < document.runs.size(); ++i) {
        const run_settings &run = document.runs[i];
        const std::string place = "runs[" + std::to_string(i) + "]";
        const pool_settings *pool = document.findPool(run.pool);
        const pool_settings *scorers = document.findPool(run.scorerPool);
        if (document.findCustomer(run.customer) == nullptr) {
            reader.reject(place + ".customer", "must be the id of a customer");
        }
        if (pool == nullptr || pool->kind != pool_kind::Engine) {
            reader.reject(place + ".pool", "must be the id of a pool of kind \"engine\"");
        }
        if (scorers == nullptr || scorers->kind != pool_kind::Service) {
            reader.reject(place + ".scorerPool", "must be the id of a pool of kind \"service\"");
        }
    }
}

template<class Item, class Id>
const Item *findById(const std::vector<Item> &items, const Id &id)
{
    const auto found = std::ranges::find(items, id, &Item::id);
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const customer_settings *fleet_document::findCustomer(const customer_id &id) const
{
    return findById(customers, id);
}

const pool_settings *fleet_document::findPool(const pool_id &id) const
{
    return findById(pools, id);
}

const run_settings *fleet_document::findRun(const run_id &id) const
{
    return findById(runs, id);
}

result<fleet_document> parseFleetDocument(const nlohmann::json &object, std::string_view file)
{
    fleet_document document;
    settings_reader reader(object, std::string(file));
    std::set<std::string> customers;
    std::set<std::string> pools;
    std::set<std::string> servers;
    std::set<std::string> runs;
    for (settings_reader &each : reader.objects("customers")) {
        document.customers.push_back(readCustomer(each, customers));
    }
    for (settings_reader &each : reader.objects("pools")) {
        document.pools.push_back(readPool(each, pools, servers));
    }
    for (settings_reader &each : reader.objects("runs", false)) {
        document.runs.push_back(readRun(each, runs));
    }
    for (settings_reader &each : reader.objects("operators", false)) {
        document.operators.push_back(readOperator(each));
    }
    document.vmListAddress = reader.text("vmListAddress", "");
    document.weightStoreAddress = reader.text("weightStoreAddress", "");
    document.weightStoreBytesPerSecond = reader.number("weightStoreBytesPerSecond", { 1, 1e15 }, document.weightStoreBytesPerSecond);
    checkReferences(reader, document);
    BOOST_LEAF_CHECK(reader.finish());
    return document;
}

} // namespace reedtrail
