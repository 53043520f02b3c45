/**
 * @file
 * Weights on this node: brings out the newest weights of the runs owned here, and carries out the orders for its zone's servers if it is the zone's deputy.
 */
#pragma once

#include "kernel/service.h"
#include "node/process_host.h"

#include <memory>

namespace reedtrail {

/** The service. */
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
