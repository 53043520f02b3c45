// The program reedtrail-spool, which stores sample payloads on a VM that has a disk.

#include "spool/spool_service.h"

int main(int argc, char **argv)
{
    const reedtrail::process_description description{ "reedtrail-spool",
                                                      "Keeps sample payloads under the data folder of one entry VM.",
                                                      [](const reedtrail::node_settings &settings) {
                                                          return settings.listen.spoolAdmin;
                                                      } };
    return reedtrail::runNodeProcess(description, argc, argv, [](reedtrail::process_context &context) {
        context.services.add("spool", reedtrail::makeSpoolService(context));
    });
}
