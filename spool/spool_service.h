/**
 * @file
 * The service of reedtrail-spool: stores, reads and releases payloads for gates and run owners over peer links.
 *
 * The control thread owns the journal's index and answers; one more thread writes and syncs batches. A payload is answered "stored" only after the
 * sync of its batch.
 */
#pragma once

#include "node/process_host.h"

#include <memory>

namespace reedtrail {

/** Makes the service. @param context of the process; settings.listen.spoolPeer and settings.dataFolder must be set */
std::unique_ptr<service> makeSpoolService(process_context &context);

} // namespace reedtrail
