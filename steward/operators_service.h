/**
 * @file
 * HTTP interface for operators: plans and confirms settings changes, and shows the settings in force, the fleet status and past decisions.
 *
 *     POST /v1/plans                 {"document": …} or {"patch": JSON merge patch} → {"plan","baseRevision","changes","risks"}
 *     POST /v1/plans/ID/confirm      → {"revision"}, or 409 conflict if another change came first
 *     GET  /v1/plans/ID              → the plan and its outcome
 *     GET  /v1/settings[?revision=N] → the settings in force, or those of an earlier revision
 *     GET  /v1/settings/history      → the revisions kept, newest first
 *     GET  /v1/status                → zones, nodes, servers, runs, customers and current problems
 *     GET  /v1/explain?kind=request|slot|run|change|server|node|customer&id=ID
 *
 * Requests carry `Authorization: Bearer TOKEN`.
 */
#pragma once

#include "fleet/operator_access.h"
#include "kernel/service.h"
#include "node/process_host.h"
#include "steward/fleet_service.h"
#include "steward/store_service.h"

#include <deque>
#include <memory>
#include <string>

namespace reedtrail {

/** Serves the operators' HTTP interface. */
class operators_service : public service
{
public:
    /** Maximum number of plans kept in memory; a new plan evicts the oldest. */
    static constexpr std::size_t maximumStoredPlans = 64;

    explicit operators_service(process_context &context);

    result<void> start(kernel &process) override;
    nlohmann::json dump() const override;

private:
    struct stored_plan
    {
        std::string id;
        std::uint64_t baseRevision = 0;
        nlohmann::json document;
        nlohmann::json changes;
        nlohmann::json risks;
        std::string planner;
        std::string outcome = "planned"; ///< "planned", "confirming", "accepted", or the name of an error kind.
        std::uint64_t revision = 0; ///< Revision under which the plan was accepted; 0 until then.
    };
    using exchange_ptr = std::shared_ptr<http_exchange>;
    using authorized_handler = std::function<void(const exchange_ptr &exchange, const std::string &name)>;

    http_server::handler requireRole(operator_role needed, authorized_handler handle);
    std::optional<std::string> authorize(const exchange_ptr &exchange, operator_role needed);
    void handlePlans(const exchange_ptr &exchange);
    void makePlan(const exchange_ptr &exchange, const std::string &name);
    void showPlan(const exchange_ptr &exchange, const std::string &id);
    void confirmPlan(const exchange_ptr &exchange, const std::string &id, const std::string &name);
    void finishConfirm(const exchange_ptr &exchange, const std::string &id, const std::optional<failure> &error, std::uint64_t revision);
    void handleSettings(const exchange_ptr &exchange);
    void showHistory(const exchange_ptr &exchange);
    void showRevision(const exchange_ptr &exchange, std::uint64_t revision);
    void handleStatus(const exchange_ptr &exchange);
    void handleExplain(const exchange_ptr &exchange);
    stored_plan *findPlan(const std::string &id);

    process_context m_context;
    fleet_service *m_fleet = nullptr;
    store_service *m_store = nullptr;
    std::deque<stored_plan> m_plans;
    std::uint64_t m_lastPlanNumber = 0;
    std::uint64_t m_lastConfirmNumber = 0;
};

} // namespace reedtrail
