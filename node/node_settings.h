/**
 * @file
 * The node file: what the processes of one VM must know before they can ask anybody.
 *
 *     BOOST_LEAF_AUTO(settings, loadNodeSettings("node.json"));
 */
#pragma once

#include "base/ids.h"
#include "net/endpoint.h"
#include "net/transport/tls_context.h"

#include <optional>
#include <string>
#include <vector>

namespace reedtrail {

/** Where the processes of a node listen. */
struct listen_settings
{
    endpoint callers; ///< Gate, HTTP for callers and trainers.
    endpoint gatePeer; ///< Gate, peer links.
    endpoint gateAdmin; ///< Gate, HTTP: dump and metrics.
    endpoint stewardPeer; ///< Steward, peer links.
    endpoint operators; ///< Steward, HTTP for operators, dump and metrics.
    std::optional<endpoint> spoolPeer; ///< Spool, peer links; only on a VM with a disk.
    std::optional<endpoint> spoolAdmin; ///< Spool, HTTP: dump and metrics.
};

/** Limits of one node's processes. */
struct node_limits
{
    std::int64_t maximumConnections = 4096;
    std::int64_t maximumBodyBytes = 4 << 20;
    std::int64_t maximumHeaderBytes = 16 << 10;
    std::int64_t keptAnswers = 10000; ///< Answers of non-idempotent requests kept for repeats.
    std::int64_t keptAnswerBytes = 64 << 20;
};

/** The whole file. */
struct node_settings
{
    node_id node;
    zone_id zone;
    region_id region;
    listen_settings listen;
    std::vector<endpoint> seeds; ///< Peer addresses of other nodes' stewards.
    std::vector<endpoint> stores; ///< Of the platform's store, in the order to try.
    std::string dataFolder; ///< Empty on a VM without a disk.
    std::int64_t dataFolderLimitMiB = 1024;
    node_limits limits;
    tls_files peerTls; ///< For links between the system's processes; empty: not encrypted.
    tls_files operatorTls; ///< For operators' HTTP; empty: plain.
    std::string bootstrapOperatorHash; ///< Token hash of the operator who may confirm while no fleet document names any.
};

/** Reads and checks the node file. @return the settings, or BadSettings */
result<node_settings> loadNodeSettings(const std::string &path);

/** Checks a node file already parsed. @param file name for the error line */
result<node_settings> parseNodeSettings(const nlohmann::json &object, const std::string &file);

} // namespace reedtrail
