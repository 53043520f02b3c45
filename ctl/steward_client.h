/**
 * @file
 * Calls to stewards' HTTP from the command line: one after another until one answers.
 *
 *     steward_client client({where}, token, tls);
 *     BOOST_LEAF_AUTO(body, client.call("GET", "/v1/status", ""));
 */
#pragma once

#include "base/failure.h"
#include "net/endpoint.h"
#include "net/transport/tls_context.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** The client; each call blocks until it has ended. */
class steward_client
{
public:
    /** @param stewards in the order to try @param token of the operator, may be empty @param tls empty for plain HTTP */
    steward_client(std::vector<endpoint> stewards, std::string token, tls_files tls);

    /**
     * Calls the first steward that can be connected to; only a call that was not handed over is tried at the next.
     * @return the JSON body of the answer, the failure the answer names, or PeerUnreachable
     */
    result<nlohmann::json> call(std::string_view method, std::string_view target, std::string body);

private:
    std::vector<endpoint> m_stewards;
    std::string m_token;
    tls_files m_tls;
};

} // namespace reedtrail
