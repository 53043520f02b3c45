/**
 * @file
 * The traffic side of a gate: a thread with its own event loop that serves callers and calls backend servers.
 *
 *     auto control = std::make_unique<control_service>(context);
 *     auto traffic = std::make_unique<traffic_service>(context, *control);
 *     context.services.add("control", std::move(control));
 *     context.services.add("traffic", std::move(traffic));       // services drain in reverse order: this one first
 */
#pragma once

#include "gate/control_service.h"
#include "gate/gate_drain.h"
#include "kernel/service.h"
#include "node/process_host.h"

#include <memory>

namespace reedtrail {

/** Durations of the traffic side. */
struct traffic_options
{
    gate_drain_options drain;
    duration metricsPeriod = std::chrono::seconds(1); ///< Interval at which metrics are handed to the control thread.
};

/** Runs the traffic thread of a gate; the public functions run on the control thread. */
class traffic_service : public service
{
public:
    traffic_service(process_context &context, control_service &control, traffic_options options = {});
    ~traffic_service() override;

    result<void> start(kernel &process) override;
    void drain(std::function<void()> done) override;
    void stop() override;
    nlohmann::json dump() const override;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace reedtrail
