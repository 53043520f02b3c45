// reedtrail-gate: the process that serves callers and trainers on one entry VM.

#include "gate/control_service.h"
#include "gate/traffic_service.h"
#include "node/process_host.h"

int main(int argc, char **argv)
{
    using namespace reedtrail;
    const process_description description{ "reedtrail-gate", "Serves callers and trainers on one entry VM.", [](const node_settings &settings) {
                                              return std::optional(settings.listen.gateAdmin);
                                          } };
    return runNodeProcess(description, argc, argv, [](process_context &context) {
        auto control = std::make_unique<control_service>(context);
        auto traffic = std::make_unique<traffic_service>(context, *control);
        context.services.add("control", std::move(control));
        context.services.add("traffic", std::move(traffic));
    });
}
