/**
 * @file
 * The service of the reedtrail-spool process. It stores, reads and releases payloads for gates and run owners over peer links.
 *
 * The control thread owns the journal's index and replies to peers; a writer thread writes and syncs batches. A store request is acknowledged only after
 * its batch is synced.
 */
#pragma once

#include "node/process_host.h"

#include <memory>

namespace reedtrail {

/** Creates the service. @param context context of the process, whose settings must have listen.spoolPeer and dataFolder */
std::unique_ptr<service> makeSpoolService(process_context &context);

} // namespace reedtrail
