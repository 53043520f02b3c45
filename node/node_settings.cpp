// All processes of a VM read the same file, so that they agree on the addresses of one another.

#include "node/node_settings.h"

#include "base/settings_reader.h"

namespace reedtrail {
namespace {

endpoint readEndpoint(settings_reader &reader, std::string_view key)
{
    endpoint address;
    const std::string text = reader.text(key);
    const std::optional<failure> error = failureOf([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(address, parseEndpoint(text));
        return {};
    });
    if (error) {
        reader.reject(key, error->detail);
    }
    return address;
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
            BOOST_LEAF_AUTO(address, parseEndpoint(text));
            endpoints.push_back(address);
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

/** Reads an optional group of TLS files. If the group is present, all of its files must be given. */
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
