#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_bus.h"
#include "net/testing/test_certificates.h"

#include <gtest/gtest.h>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing_support::test_authority;

constexpr std::uint16_t tlsPort = 29873;

peer_bus_options optionsWith(const tls_files &files)
{
    peer_bus_options options;
    options.transport.tls = files;
    return options;
}

struct probe
{
    static constexpr std::string_view messageName = "probe";
    int number = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(probe, number)
};

/** Connects a caller to a listener with the given files. @return whether a message from the caller reached the listener */
bool messagePasses(const tls_files &listenerFiles, const tls_files &callerFiles)
{
    boost::asio::io_context io;
    const endpoint where{ "127.0.0.1", tlsPort };
    peer_bus listener(io, optionsWith(listenerFiles));
    peer_bus caller(io, optionsWith(callerFiles));
    bool received = false;
    listener.onMessage<probe>([&](link_id, probe) {
        received = true;
        io.stop();
    });
    EXPECT_TRUE(listener.listen(where));
    int failedConnections = 0;
    caller.keepConnected(where,
                         { [&](link_id link) {
                              caller.send(link, probe{ 1 });
                          },
                           [&] {
                               if (++failedConnections == 3) {
                                   io.stop();
                               }
                           } });
    io.run_for(20s);
    return received;
}

// Guards against links to peers without a certificate of the same authority and the role of a node.
TEST(peer_tls, acceptsOnlyNodesOfSameAuthority)
{
    test_authority authority;
    test_authority otherAuthority;
    const tls_files first = authority.issue("first", "node");
    const tls_files second = authority.issue("second", "node");
    EXPECT_TRUE(messagePasses(first, second));
    EXPECT_FALSE(messagePasses(first, otherAuthority.issue("second", "node"))) << "certificate of another authority";
    EXPECT_FALSE(messagePasses(first, authority.issue("person", "operator"))) << "certificate with another role";
    EXPECT_FALSE(messagePasses(first, tls_files{})) << "no TLS";
    EXPECT_FALSE(messagePasses(first, tls_files{ "", "", first.authorityFile })) << "no certificate";
}

// Guards against replaced certificates that take effect only after a restart, and against unusable files that end TLS service.
TEST(tls_context_source, reloadsValidFilesAndKeepsLastValidContext)
{
    test_authority authority;
    const tls_files files = authority.issue("node", "node");
    tls_context_source source(files, tls_side::Server);
    std::string error;
    const auto first = source.current(error);
    ASSERT_TRUE(first) << error;
    EXPECT_EQ(source.current(error), first);

    authority.issue("node", "node");
    const auto second = source.current(error);
    EXPECT_TRUE(second);
    EXPECT_NE(second, first);

    std::FILE *broken = std::fopen(files.certificateFile.c_str(), "w");
    std::fputs("broken", broken);
    std::fclose(broken);
    EXPECT_EQ(source.current(error), second);
    EXPECT_NE(error, "");
}

/** Calls a server with @p serverFiles from a client with @p clientFiles. @return the error kind of the call */
error_kind callOverTls(const tls_files &serverFiles, const tls_files &clientFiles)
{
    boost::asio::io_context io;
    const endpoint where{ "127.0.0.1", tlsPort };
    http_server_options options;
    options.address = where;
    options.tls = serverFiles;
    http_server server(io, options, [](std::shared_ptr<http_exchange> exchange) {
        exchange->respond(textResponse(200, exchange->request().body));
    });
    EXPECT_TRUE(server.start());
    http_client_options clientOptions;
    clientOptions.tls = clientFiles;
    http_client client(io, clientOptions);
    error_kind ended = error_kind::Internal;
    client.call(where, { "POST", "/", {}, std::string(100000, 'x') }, {}, [&](const http_call_end &end, const http_response &response) {
        ended = end.error;
        EXPECT_EQ(response.body.size(), end.error == error_kind::None ? 100000U : 0U);
        EXPECT_EQ(end.isHandedOver, end.error == error_kind::None);
        io.stop();
    });
    io.run_for(20s);
    return ended;
}

// Guards against a client that accepts a server certificate of an authority that it does not trust.
TEST(http_tls, clientRejectsServerOfUntrustedAuthority)
{
    test_authority authority;
    test_authority otherAuthority;
    const tls_files server = authority.issue("server", "node");
    EXPECT_EQ(callOverTls(server, { "", "", server.authorityFile }), error_kind::None);
    EXPECT_EQ(callOverTls(server, { "", "", otherAuthority.issue("other", "node").authorityFile }), error_kind::NoServer);
}

} // namespace
} // namespace reedtrail
