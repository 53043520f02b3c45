// Entry point of reedtrail-steward, the control process of an entry VM: membership, settings, run ownership and weight rollouts.

#include "node/process_host.h"
#include "steward/fleet_service.h"
#include "steward/operators_service.h"
#include "steward/run_service.h"
#include "steward/store_service.h"
#include "steward/weight_service.h"

int main(int argc, char **argv)
{
    using namespace reedtrail;
    const process_description description{ "reedtrail-steward", "Membership, settings, runs and weights on one entry VM.", [](const node_settings &settings) {
                                              return std::optional(settings.listen.operators);
                                          } };
    return runNodeProcess(description, argc, argv, [](process_context &context) {
        context.services.add("store", std::make_unique<store_service>(context, store_service_options{}));
        context.services.add("fleet", std::make_unique<fleet_service>(context));
        context.services.add("runs", std::make_unique<run_service>(context));
        context.services.add("weights", std::make_unique<weight_service>(context));
        context.services.add("operators", std::make_unique<operators_service>(context));
    });
}
