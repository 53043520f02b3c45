// A plan is kept in memory by the node that made it, and its id contains that node's id. Confirming a plan commits the whole document that the plan described,
// on condition that the revision it was based on is still in force, so that exactly what the operator reviewed is accepted.

#include "steward/operators_service.h"

#include "base/settings_reader.h"
#include "fleet/explain_messages.h"
#include "fleet/settings_plan.h"
#include "kernel/log.h"
#include "steward/fleet_status.h"

#include <algorithm>
#include <charconv>

namespace reedtrail {
namespace {

using nlohmann::json;

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view plansPath = "/v1/plans";
constexpr std::string_view mergePatchType = "application/merge-patch+json";
constexpr duration explainTimeout = std::chrono::milliseconds(1500);
constexpr std::int64_t maximumHistoryEntries = 50;

std::string tokenOf(const http_request &request)
{
    const std::string_view value = request.fields.get("Authorization");
    return value.starts_with(bearerPrefix) ? std::string(value.substr(bearerPrefix.size())) : std::string();
}

void respondFailure(const std::shared_ptr<http_exchange> &exchange, const failure &error)
{
    http_response response = errorResponse(error.kind, error.detail);
    if (error.kind == error_kind::StoreUnavailable) {
        response.fields.set("Retry-After", "5");
    }
    exchange->respond(std::move(response));
}

void respondJson(const std::shared_ptr<http_exchange> &exchange, std::uint16_t status, const json &body)
{
    exchange->respond(jsonResponse(status, body.dump(2, ' ', false, json::error_handler_t::replace) + "\n"));
}

/** Parses the body of a plan request: {"document"}, {"patch"}, a bare merge patch (recognized by its content type), or a bare document. */
result<json> parsePlanRequest(const http_request &request)
{
    BOOST_LEAF_AUTO(body, parseJsonWithComments(request.body, "request body"));
    if (request.fields.get("Content-Type").starts_with(mergePatchType)) {
        return json{ { "patch", body } };
    }
    if (body.is_object() && (body.contains("document") || body.contains("patch"))) {
        return body;
    }
    return json{ { "document", body } };
}

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/** Collects the answers of several processes to one explain question and responds when none is outstanding. */
struct explain_collector
{
    std::shared_ptr<http_exchange> exchange;
    std::vector<explained_decision> decisions;
    std::size_t pendingAnswers = 0;
    std::size_t missingAnswers = 0;

    void add(const std::vector<explained_decision> &found)
    {
        decisions.insert(decisions.end(), found.begin(), found.end());
    }
    void finish()
    {
        std::ranges::stable_sort(decisions, std::greater<>(), &explained_decision::agoMs);
        respondJson(exchange, 200, { { "decisions", decisions }, { "processesThatDidNotAnswer", missingAnswers } });
    }
};

} // namespace

operators_service::operators_service(process_context &context)
    : m_context(context)
{
}

result<void> operators_service::start(kernel &process)
{
    BOOST_LEAF_ASSIGN(m_fleet, process.find<fleet_service>("fleet"));
    BOOST_LEAF_ASSIGN(m_store, process.find<store_service>("store"));
    m_context.pages["/v1/plans"] = [this](const exchange_ptr &exchange) {
        handlePlans(exchange);
    };
    m_context.pages["/v1/settings"] = requireRole(operator_role::Read, [this](const exchange_ptr &exchange, const std::string &) {
        handleSettings(exchange);
    });
    m_context.pages["/v1/status"] = requireRole(operator_role::Read, [this](const exchange_ptr &exchange, const std::string &) {
        handleStatus(exchange);
    });
    m_context.pages["/v1/explain"] = requireRole(operator_role::Read, [this](const exchange_ptr &exchange, const std::string &) {
        handleExplain(exchange);
    });
    m_fleet->bus().onQuestion<explain_question, explain_answer>(
        [this](link_id, const explain_question &question, const peer_bus::reply<explain_answer> &reply) {
            explain_answer ownAnswer{ collectDecisions(m_fleet->decisions(), question.subject, question.id, monotonicNow(), m_fleet->self(), "steward") };
            const std::optional<link_id> gate = m_fleet->gateLink();
            if (!gate) {
                reply(ownAnswer);
                return;
            }
            explain_question relayed = question;
            relayed.isRelayed = true;
            m_fleet->bus().ask<explain_answer>(
                *gate, relayed, explainTimeout / 2, [ownAnswer, reply](const std::optional<failure> &error, const explain_answer &answer) mutable {
                    if (!error) {
                        ownAnswer.decisions.insert(ownAnswer.decisions.end(), answer.decisions.begin(), answer.decisions.end());
                    }
                    reply(ownAnswer);
                });
        });
    return {};
}

http_server::handler operators_service::requireRole(operator_role needed, authorized_handler handle)
{
    return [this, needed, handle = std::move(handle)](const exchange_ptr &exchange) {
        if (const std::optional<std::string> name = authorize(exchange, needed)) {
            handle(exchange, *name);
        }
    };
}

/** Returns the operator's name. If the token is unknown or lacks the role, responds with the error and returns none. */
std::optional<std::string> operators_service::authorize(const exchange_ptr &exchange, operator_role needed)
{
    std::optional<std::string> name;
    const auto document = m_fleet->document();
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(name, authorizeOperator(tokenOf(exchange->request()), needed, document.get(), m_context.settings.bootstrapOperatorHash));
        return {};
    });
    if (error) {
        respondFailure(exchange, *error);
    }
    return name;
}

void operators_service::handlePlans(const exchange_ptr &exchange)
{
    const http_request &request = exchange->request();
    std::string subpath(request.path().substr(plansPath.size()));
    if (request.method == "POST" && subpath.empty()) {
        if (const auto name = authorize(exchange, operator_role::Plan)) {
            makePlan(exchange, *name);
        }
        return;
    }
    const std::size_t slash = subpath.find('/', 1);
    const std::string id = subpath.empty() ? "" : subpath.substr(1, slash == std::string::npos ? slash : slash - 1);
    if (request.method == "POST" && slash != std::string::npos && subpath.substr(slash) == "/confirm") {
        if (const auto name = authorize(exchange, operator_role::Confirm)) {
            confirmPlan(exchange, id, *name);
        }
        return;
    }
    if (request.method == "GET" && !id.empty() && slash == std::string::npos) {
        if (authorize(exchange, operator_role::Read)) {
            showPlan(exchange, id);
        }
        return;
    }
    exchange->respond(errorResponse(error_kind::NotFound, request.path()));
}

void operators_service::makePlan(const exchange_ptr &exchange, const std::string &name)
{
    const auto record = m_fleet->settingsRecord();
    const json base = record ? record->document : json();
    json wanted;
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_AUTO(planRequest, parsePlanRequest(exchange->request()));
        BOOST_LEAF_ASSIGN(wanted, desiredDocument(base, planRequest));
        return {};
    });
    if (error) {
        respondFailure(exchange, *error);
        return;
    }
    const settings_plan described = describePlan(base, wanted);
    stored_plan plan;
    plan.id = m_fleet->self().str() + "-" + std::to_string(m_context.processIncarnation % 1000000) + "-" + std::to_string(++m_lastPlanNumber);
    plan.baseRevision = m_fleet->revision();
    plan.document = std::move(wanted);
    plan.changes = described.changes;
    plan.risks = described.risks;
    plan.planner = name;
    m_plans.push_back(plan);
    if (m_plans.size() > maximumStoredPlans) {
        m_plans.pop_front();
    }
    respondJson(
        exchange,
        200,
        { { "plan", plan.id }, { "baseRevision", plan.baseRevision }, { "base", plan.baseRevision }, { "changes", plan.changes }, { "risks", plan.risks } });
}

operators_service::stored_plan *operators_service::findPlan(const std::string &id)
{
    const auto found = std::ranges::find(m_plans, id, &stored_plan::id);
    return found == m_plans.end() ? nullptr : &*found;
}

void operators_service::showPlan(const exchange_ptr &exchange, const std::string &id)
{
    const stored_plan *plan = findPlan(id);
    if (plan == nullptr) {
        exchange->respond(errorResponse(error_kind::NotFound, "plan " + id + " is not kept by this node"));
        return;
    }
    respondJson(exchange,
                200,
                { { "plan", plan->id },
                  { "baseRevision", plan->baseRevision },
                  { "changes", plan->changes },
                  { "risks", plan->risks },
                  { "planner", plan->planner },
                  { "outcome", plan->outcome },
                  { "revision", plan->revision } });
}

void operators_service::confirmPlan(const exchange_ptr &exchange, const std::string &id, const std::string &name)
{
    stored_plan *plan = findPlan(id);
    if (plan == nullptr) {
        exchange->respond(errorResponse(error_kind::NotFound, "plan " + id + " is not kept by this node: confirm where it was made, or plan anew"));
        return;
    }
    if (plan->outcome == "accepted") {
        respondJson(exchange, 200, { { "revision", plan->revision } });
        return;
    }
    if (plan->outcome == "confirming") {
        exchange->respond(errorResponse(error_kind::Conflict, "plan " + id + " is being confirmed already"));
        return;
    }
    plan->outcome = "confirming";
    settings_change change;
    change.baseRevision = plan->baseRevision;
    change.operation = plan->id + "/" + std::to_string(++m_lastConfirmNumber);
    change.operatorName = name;
    change.summary = plan->changes.empty() ? "no change" : plan->changes.front().get<std::string>();
    change.summary += plan->changes.size() > 1 ? " and " + std::to_string(plan->changes.size() - 1) + " more" : "";
    change.acceptedAtMs = wallClockMs();
    change.document = plan->document;
    m_fleet->confirmSettings(std::move(change), [this, exchange, id](const std::optional<failure> &error, std::uint64_t revision) {
        finishConfirm(exchange, id, error, revision);
    });
}

void operators_service::finishConfirm(const exchange_ptr &exchange, const std::string &id, const std::optional<failure> &error, std::uint64_t revision)
{
    stored_plan *plan = findPlan(id);
    if (plan != nullptr) {
        plan->outcome = error ? std::string(answerFor(error->kind).name) : "accepted";
        plan->revision = revision;
    }
    const std::string subject = error ? id : std::to_string(revision);
    const decision_kind kind = error ? decision_kind::Refused : decision_kind::Accepted;
    m_fleet->decisions().add({ monotonicNow(), kind, subject_kind::Change, subject, error ? error->kind : error_kind::None, "plan " + id });
    logLine(log_level::Info, "confirm", { { "plan", id }, { "outcome", std::string(answerFor(error ? error->kind : error_kind::None).name) } });
    if (error) {
        respondFailure(exchange, *error);
    } else {
        respondJson(exchange, 200, { { "revision", revision } });
    }
}

void operators_service::handleSettings(const exchange_ptr &exchange)
{
    if (exchange->request().path() == "/v1/settings/history") {
        showHistory(exchange);
        return;
    }
    const std::optional<std::string> wanted = exchange->request().query("revision");
    const auto record = m_fleet->settingsRecord();
    if (wanted) {
        std::uint64_t revision = 0;
        std::from_chars(wanted->data(), wanted->data() + wanted->size(), revision);
        showRevision(exchange, revision);
        return;
    }
    respondJson(exchange,
                200,
                { { "revision", m_fleet->revision() },
                  { "document", record ? record->document : json() },
                  { "operator", record ? record->operatorName : "" },
                  { "summary", record ? record->summary : "" } });
}

void operators_service::showRevision(const exchange_ptr &exchange, std::uint64_t revision)
{
    m_store->range({ settings_keys::history(revision), false, 0 }, [exchange, revision](const store_range_answer &answer) {
        if (answer.error) {
            respondFailure(exchange, *answer.error);
        } else if (answer.items.empty()) {
            exchange->respond(errorResponse(error_kind::NotFound, "revision " + std::to_string(revision) + " is not kept"));
        } else {
            exchange->respond(jsonResponse(200, answer.items.front().value + "\n"));
        }
    });
}

void operators_service::showHistory(const exchange_ptr &exchange)
{
    store_txn reads;
    const std::uint64_t newest = m_fleet->revision();
    for (std::uint64_t i = 0; i < std::min<std::uint64_t>(newest, maximumHistoryEntries); ++i) {
        reads.onSuccess.emplace_back(store_range{ settings_keys::audit(newest - i), false, 0 });
    }
    m_store->txn(reads, [exchange](const store_txn_answer &answer) {
        if (answer.error) {
            respondFailure(exchange, *answer.error);
            return;
        }
        json history = json::array();
        for (const store_range_answer &range : answer.ranges) {
            for (const store_key_value &item : range.items) {
                history.push_back(json::parse(item.value, nullptr, false));
            }
        }
        respondJson(exchange, 200, { { "history", history } });
    });
}

void operators_service::handleStatus(const exchange_ptr &exchange)
{
    respondJson(exchange, 200, fleetStatus(*m_fleet, *m_store));
}

void operators_service::handleExplain(const exchange_ptr &exchange)
{
    explain_question question{ exchange->request().query("kind").value_or(""), exchange->request().query("id").value_or(""), false };
    auto collector = std::make_shared<explain_collector>();
    collector->exchange = exchange;
    collector->add(collectDecisions(m_fleet->decisions(), question.subject, question.id, monotonicNow(), m_fleet->self(), "steward"));
    std::vector<link_id> asked;
    if (const auto gate = m_fleet->gateLink()) {
        asked.push_back(*gate);
    }
    for (const member_info &member : m_fleet->members()) {
        const std::optional<link_id> link = m_fleet->linkToSteward(member.node);
        if (link) {
            asked.push_back(*link);
        } else if (member.node != m_fleet->self()) {
            ++collector->missingAnswers;
        }
    }
    collector->pendingAnswers = asked.size();
    if (asked.empty()) {
        collector->finish();
        return;
    }
    for (const link_id link : asked) {
        m_fleet->bus().ask<explain_answer>(link, question, explainTimeout, [collector](const std::optional<failure> &error, const explain_answer &answer) {
            collector->missingAnswers += error ? 1 : 0;
            collector->add(answer.decisions);
            if (--collector->pendingAnswers == 0) {
                collector->finish();
            }
        });
    }
}

json operators_service::dump() const
{
    json plans = json::array();
    for (const stored_plan &plan : m_plans) {
        plans.push_back({ { "plan", plan.id }, { "baseRevision", plan.baseRevision }, { "outcome", plan.outcome }, { "revision", plan.revision } });
    }
    return { { "plans", plans } };
}

} // namespace reedtrail
