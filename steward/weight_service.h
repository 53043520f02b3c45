/**
 * @file
 * Rolls out new weight versions for the runs that this node owns. If this node is the deputy of its zone, also executes weight orders on the zone's backend
 * servers.
 */
#pragma once

#include "kernel/service.h"
#include "node/process_host.h"

#include <memory>

namespace reedtrail {

/** Connects the weight rollout and zone deputy state machines to the weight store, the backend servers and the peers. */
class weight_service : public service
{
public:
    explicit weight_service(process_context &context);
    ~weight_service() override;

    result<void> start(kernel &process) override;
    void stop() override;
    nlohmann::json dump() const override;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace reedtrail
