// One file serves all processes of a VM, so that they cannot disagree about where the others listen.

#include "node/node_settings.h"

#include "base/settings_reader.h"

namespace reedtrail {
namespace {

endpoint readEndpoint(settings_reader &reader, std::string_view key)
{
    endpoint where;
    const std::string text = reader.text(key);
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(where, parseEndpoint(text));
        return {};
    });
    if (error) {
        reader.reject(key, error->detail);
    }
    return where;
}

std::optional<endpoint> readOptionalEndpoint(settings_reader &reader, std::string_view key)
{
    return reader.has(key) ? std::optional(readEndpoint(reader, key)) : std::nullopt;
}

std::vector<endpoint> readEndpoints(settings_reader &reader, std::string_view key)
{
    std::vector<endpoint> endpoints;
    for (const std::string &text : reader.texts(key)) {
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_AUTO(where, parseEndpoint(text));
            endpoints.push_back(where);
            return {};
        });
        if (error) {
            reader.reject(key, error->detail);
        }
    }
    return endpoints;
}

listen_settings readListen(settings_reader reader)
{
    listen_settings listen;
    listen.callers = readEndpoint(reader, "callers");
    listen.gatePeer = readEndpoint(reader, "gatePeer");
    listen.gateAdmin = readEndpoint(reader, "gateAdmin");
    listen.stewardPeer = readEndpoint(reader, "stewardPeer");
    listen.operators = readEndpoint(reader, "operators");
    listen.spoolPeer = readOptionalEndpoint(reader, "spoolPeer");
    listen.spoolAdmin = readOptionalEndpoint(reader, "spoolAdmin");
    return listen;
}

node_limits readLimits(settings_reader reader)
{
    node_limits limits;
    limits.maximumConnections = reader.integer("maximumConnections", { 1, 1000000 }, limits.maximumConnections);
    limits.maximumBodyBytes = reader.integer("maximumBodyBytes", { 1024, 1 << 30 }, limits.maximumBodyBytes);
    limits.maximumHeaderBytes = reader.integer("maximumHeaderBytes", { 512, 1 << 20 }, limits.maximumHeaderBytes);
    limits.keptAnswers = reader.integer("keptAnswers", { 0, 10000000 }, limits.keptAnswers);
    limits.keptAnswerBytes = reader.integer("keptAnswerBytes", { 0, std::int64_t{ 1 } << 34 }, limits.keptAnswerBytes);
    return limits;
}

/** Reads an optional group of TLS files; where it is present, all of it must be. */
tls_files readTls(settings_reader &reader, std::string_view key)
{
    tls_files files;
    if (reader.has(key)) {
        settings_reader group = reader.object(key);
        files.certificateFile = group.text("certificateFile");
        files.keyFile = group.text("keyFile");
        files.authorityFile = group.text("authorityFile");
    }
    return files;
}

} // namespace

result<node_settings> parseNodeSettings(const nlohmann::json &object, const std::string &file)
{
    settings_reader reader(object, file);
    node_settings settings;
    settings.node = node_id(reader.text("node"));
    settings.zone = zone_id(reader.text("zone"));
    settings.region = region_id(reader.text("region", "region-1"));
    settings.listen = readListen(reader.object("listen"));
    settings.seeds = readEndpoints(reader, "seeds");
    settings.stores = readEndpoints(reader, "stores");
    settings.dataFolder = reader.text("dataFolder", "");
    settings.dataFolderLimitMiB = reader.integer("dataFolderLimitMiB", { 1, 1 << 30 }, settings.dataFolderLimitMiB);
    settings.limits = readLimits(reader.object("limits", false));
    settings.peerTls = readTls(reader, "peerTls");
    settings.operatorTls = readTls(reader, "operatorTls");
    settings.bootstrapOperatorHash = reader.text("bootstrapOperatorHash", "");
    if (settings.node.empty()) {
        reader.reject("node", "must not be empty");
    }
    if (settings.listen.spoolPeer && settings.dataFolder.empty()) {
        reader.reject("dataFolder", "must be set where listen.spoolPeer is");
    }
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

result<node_settings> loadNodeSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(object, readJsonFile(path));
    return parseNodeSettings(object, path);
}

} // namespace reedtrail
