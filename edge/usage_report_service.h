/**
 * @file
 * Reports to the platform what each customer used: collects the ledgers of all nodes, records each window's report in the store, then sends it. The node that
 * orders weights does this, under the same duty; all other nodes only answer its questions.
 */
#pragma once

#include "edge/edge_context.h"
#include "edge/weight_load_service.h"
#include "fleet/store_router.h"
#include "fleet/usage_record.h"
#include "fleet/usage_windows.h"
#include "kernel/service.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/duty_wire.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace reedtrail {

/** Reports use while this node holds the duty. Does nothing in a deployment whose settings ask for no reports. */
class usage_report_service : public service
{
public:
    /** @param duty decides which node reports; outlives this service */
    usage_report_service(edge_context &context, weight_load_service &duty, store_router &router, http_client &client);

    result<void> start(kernel &process) override;
    /** Hands what this node recorded to two others. */
    void drain(std::function<void()> done) override;
    nlohmann::json dump() const override;

    /** Takes all known nodes, by name, with this one. */
    void setNodes(const std::map<std::string, store_peer> &nodes);
    /** Answers the question of the node that reports, or takes over what a node that stops has recorded. */
    void serve(const std::shared_ptr<http_exchange> &exchange);

private:
    void onDutyChanged();
    void readRecord();
    void tick();
    void askNodes();
    void askNode(const std::string &node);
    void recordReports();
    void sendNext();
    void onSent(std::int64_t window, const http_call_end &end, const http_response &response, time_point startedAt);
    bool maySend() const;
    void reportLosses();

    edge_context &m_context;
    weight_load_service &m_duty;
    store_router &m_router;
    http_client &m_client;
    std::vector<std::string> m_nodes;
    std::map<std::string, std::string> m_zones; ///< Of m_nodes.
    std::optional<usage_windows> m_windows; ///< Set while this node holds the duty and has read the record.
    usage_record m_record; ///< As the store has it.
    store_revision m_recordRevision = 0;
    std::vector<usage_report> m_unrecorded;
    std::uint64_t m_term = 0; ///< Increases whenever the duty is gained or lost; answers to calls of earlier terms are ignored.
    time_point m_heldSince;
    time_point m_askedAt; ///< When all nodes were asked last.
    time_point m_nextSendAt;
    duration m_sendPause{};
    std::uint64_t m_reportedLate = 0; ///< Late requests of m_windows that were logged.
    bool m_isHolding = false;
    bool m_isRecording = false;
    bool m_isSending = false;
};

} // namespace reedtrail
