// Servers that name in their responses how many requests a second they take from all nodes together.

#include "platform/testing/node_fixture.h"

#include <vector>

namespace reedtrail {
namespace {

using namespace std::chrono_literals;
using testing::node_fixture;
using testing::test_server;

constexpr double tolerance = 1.5; // Multiple of its limit that a server in need bears.
constexpr int toleratedRequests = 5; // Requests beyond that.
constexpr duration window = 4s;

/** Notes when requests arrive at a server that names a limit. */
class limited_server
{
public:
    limited_server(node_fixture &fixture, test_server &server, std::string limit)
        : m_fixture(fixture)
        , limit(std::move(limit))
    {
        server.script = [this](const std::shared_ptr<http_exchange> &exchange) {
            arrivals.push_back(m_fixture.loop.now());
            http_response response;
            response.fields = { { "Request-Id", std::string(exchange->request().fields.get("Request-Id")) }, { "Server-Signature", "sig" } };
            if (!this->limit.empty()) {
                response.fields.set("Server-Limit", this->limit);
            }
            response.body = "ok";
            exchange->respond(std::move(response));
        };
    }
    /** Returns the most requests that arrived within a window, the first one of the test left out: it told the node the limit. */
    int mostInWindow() const
    {
        std::size_t most = 0;
        for (std::size_t first = 1; first < arrivals.size(); ++first) {
            std::size_t end = first;
            while (end < arrivals.size() && arrivals[end] < arrivals[first] + window) {
                ++end;
            }
            most = std::max(most, end - first);
        }
        return static_cast<int>(most);
    }

private:
    node_fixture &m_fixture;

public:
    std::string limit;
    std::vector<time_point> arrivals;
};

TEST(limited_server_test, serverInNeedGetsMoreRequestsThanItsLimit)
{
    node_fixture fixture;
    fixture.removeServer("i-2");
    fixture.run(1300ms);
    limited_server limited(fixture, fixture.first, "2");
    int refused = 0;
    for (int i = 0; i < 40; ++i) {
        refused += fixture.request() == http_status::unavailable ? 1 : 0;
        fixture.run(25ms);
    }
    EXPECT_LE(limited.mostInWindow(), toleratedRequests + 2 * tolerance * 4);
    EXPECT_GE(refused, 40 - toleratedRequests - 2 * tolerance * 4);
}

} // namespace
} // namespace reedtrail
