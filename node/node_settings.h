/**
 * @file
 * The node file: the static settings of the processes of one VM, which they need before they can reach a peer or the store.
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

/** Addresses on which the processes of a node listen. */
struct listen_settings
{
    endpoint callers; ///< HTTP of the gate for callers and trainers.
    endpoint gatePeer; ///< Peer links of the gate.
    endpoint gateAdmin; ///< HTTP of the gate for dump and metrics.
    endpoint stewardPeer; ///< Peer links of the steward.
    endpoint operators; ///< HTTP of the steward for operators, dump and metrics.
    std::optional<endpoint> spoolPeer; ///< Peer links of the spool; present only on a VM with a disk.
    std::optional<endpoint> spoolAdmin; ///< HTTP of the spool for dump and metrics.
};

/** Resource limits of a node's processes. */
struct node_limits
{
    std::int64_t maximumConnections = 4096;
    std::int64_t maximumBodyBytes = 4 << 20;
    std::int64_t maximumHeaderBytes = 16 << 10;
    std::int64_t keptAnswers = 10000; ///< Maximum number of answers to non-idempotent requests that are kept for repeated requests.
    std::int64_t keptAnswerBytes = 64 << 20; ///< Maximum total size of the kept answers.
};

/** Contents of the node file. */
struct node_settings
{
    node_id node;
    zone_id zone;
    region_id region;
    listen_settings listen;
    std::vector<endpoint> seeds; ///< Peer addresses of other nodes' stewards.
    std::vector<endpoint> stores; ///< Addresses of the platform's store in the order to try.
    std::string dataFolder; ///< Folder for persistent data; empty on a VM without a disk.
    std::int64_t dataFolderLimitMiB = 1024; ///< Maximum size of the spool's files.
    node_limits limits;
    tls_files peerTls; ///< TLS files for peer links; if empty, the links are not encrypted.
    tls_files operatorTls; ///< TLS files for the operators' and admin HTTP; if empty, plain HTTP.
    std::string bootstrapOperatorHash; ///< Hash of the token that may confirm plans while the fleet document names no operator.
};

/** Reads and checks the node file. @return the settings, or BadSettings */
result<node_settings> loadNodeSettings(const std::string &path);

/** Checks a parsed node file. @param file name of the file for error messages @return the settings, or BadSettings */
result<node_settings> parseNodeSettings(const nlohmann::json &object, const std::string &file);

} // namespace reedtrail
