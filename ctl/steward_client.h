/**
 * @file
 * A blocking HTTP client for the operators' interface of the stewards, with failover from one steward to the next.
 *
 *     steward_client client({address}, token, tls);
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

/** Calls stewards over HTTP. Each call blocks until it ends. */
class steward_client
{
public:
    /** @param stewards addresses in the order to try @param token the operator's token, or empty @param tls TLS files, or empty for plain HTTP */
    steward_client(std::vector<endpoint> stewards, std::string token, tls_files tls);

    /**
     * Calls the first steward that accepts a connection. Tries the next steward only if the request was not sent to the one before.
     * @return the JSON body of the answer (a string if the body is not JSON), the error that the answer names, or PeerUnreachable
     */
    result<nlohmann::json> call(std::string_view method, std::string_view target, std::string body);

private:
    std::vector<endpoint> m_stewards;
    std::string m_token;
    tls_files m_tls;
};

} // namespace reedtrail
