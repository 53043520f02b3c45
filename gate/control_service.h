/**
 * @file
 * The control side of a gate. It exchanges messages with the steward of its node, with spools, with owners of runs and with other gates.
 *
 *     auto control = std::make_unique<control_service>(context);
 *     control->setTraffic({.useSnapshot = ..., .makeDraft = ..., .handleForwarded = ...});
 *     control->pull(question, [](http_response response) { ... });     // call it on the control thread
 */
#pragma once

#include "gate/draft_maker.h"
#include "gate/fleet_snapshot.h"
#include "gate/gate_messages.h"
#include "gate/link_pool.h"
#include "gate/usage_exchange.h"
#include "kernel/service.h"
#include "net/http_message.h"
#include "net/peer_bus.h"
#include "node/process_host.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace reedtrail {

/** Functions of the traffic side that the control side calls. They are called on the control thread and must run their callbacks there too. */
struct traffic_handlers
{
    std::function<void(snapshot_pointer snapshot)> useSnapshot;
    std::function<void(draft_order order, draft_maker::draft_handler onDone)> makeDraft;
    std::function<void(run_id run, std::uint64_t draft)> cancelDraft;
    std::function<void(run_id run, std::uint64_t draft)> moveDraft;
    std::function<void(std::function<void(std::vector<draft_progress_item> items)> onProgress)> askProgress;
    std::function<void(forwarded_request request, std::function<void(forwarded_answer answer)> onAnswer)> handleForwarded;
    usage_callbacks usage;
};

/** The control service. All functions must be called on the control thread. */
class control_service : public service
{
public:
    explicit control_service(process_context &context);

    /** Sets the handlers for snapshots, draft orders and forwarded requests. Must be called before the event loop runs. */
    void setTraffic(traffic_handlers traffic)
    {
        m_traffic = std::move(traffic);
        m_usage.setCallbacks(m_traffic.usage);
    }
    /** Sends a trainer's pull to the owner of its run and reads the payloads of the answer from the spools. */
    void pull(const pull_question &question, std::function<void(http_response response)> onResponse);
    /** Forwards a named request to the gate of @p node. @param onAnswer gets no value if no answer came; the request may then have run */
    void forward(const node_id &node, forwarded_request request, std::function<void(std::optional<forwarded_answer> answer)> onAnswer);

    result<void> start(kernel &process) override;
    void drain(std::function<void()> done) override;
    void stop() override;
    nlohmann::json dump() const override;

private:
    struct pull_state;
    struct open_order
    {
        link_id from = 0;
        draft_progress_item progress;
    };

    void connectToSteward();
    void applyView(link_id from, const fleet_view &view);
    void startDraft(link_id from, draft_order order);
    void finishDraft(link_id from, const draft_result &result, std::string payload);
    void storePayload(const draft_result &result, std::string payload, std::vector<spool_view> candidates, std::function<void(draft_result)> onStored);
    void readPayloads(const std::shared_ptr<pull_state> &state);
    void readPayload(const std::shared_ptr<pull_state> &state, std::size_t index);
    void finishPull(const std::shared_ptr<pull_state> &state);
    void scheduleIdleSweep();
    void scheduleProgressReport();
    void reportProgress(const std::vector<draft_progress_item> &items);
    void sendProgress(link_id from, const draft_progress &message);

    process_context &m_context;
    peer_bus m_bus;
    link_pool m_links;
    usage_exchange m_usage;
    boost::asio::steady_timer m_sweepTimer;
    boost::asio::steady_timer m_progressTimer;
    traffic_handlers m_traffic;
    snapshot_pointer m_snapshot = std::make_shared<const fleet_snapshot>();
    std::map<std::pair<run_id, std::uint64_t>, open_order> m_openOrders; ///< By run and draft number.
    std::set<std::pair<run_id, link_id>> m_lastReported; ///< Runs that had drafts in the last progress report, with the link that got it.
    std::uint64_t m_viewsRefused = 0; ///< Fleet views that were malformed or older than the current one; settings never revert.
    std::optional<link_id> m_ownStewardLink; ///< Link opened by the steward of this node, which identified itself in its hello message.
    std::function<void()> m_onDrained;
};

/** Returns the spools in the order to try them for a payload: those of @p zone first. The order within and outside the zone depends on @p key. */
std::vector<spool_view> spoolsByPreference(const std::vector<spool_view> &spools, const zone_id &zone, std::string_view key);

} // namespace reedtrail
