/**
 * @file
 * A backend server on loopback: registers in the store, renews its registration and passes requests on to the case.
 */
#pragma once

#include "net/http_server.h"
#include "review/standins-3/deployment.h"
#include "review/standins-3/machine_link.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace reedtrail::review {

/** What a server says of itself. */
struct back_end_facts
{
    std::string service;
    std::string id;
    std::string build = "1"; ///< Version of its software.
    int slots = 8;
    nlohmann::json models = nlohmann::json::array();
};

/** One server. Requests for another instance are rejected with 421 before the case sees them. */
class back_end
{
public:
    using handler = std::function<void(back_end &server, std::shared_ptr<http_exchange> exchange)>;

    back_end(deployment &platform, back_end_facts facts, handler handle);

    const back_end_facts &facts() const
    {
        return m_facts;
    }
    machine_link &link()
    {
        return m_link;
    }
    /** Counts the starts of its process, so that work of an earlier one can be told. */
    int incarnation() const
    {
        return m_incarnation;
    }
    bool isRunning() const
    {
        return m_isRunning;
    }
    /** Sets whether the server reaches the store. While it does not, its entry stays as it was, and is removed after three heartbeats. */
    void setCut(bool isCut);
    /** Ends the process at once. */
    void end();
    /** The machine loses power. */
    void goDark();
    /** Starts again, under this id and with this software. */
    void start(const std::string &id, const std::string &build);

private:
    void writeEntry();
    void beat(int incarnation);
    void removeWhenSilent();

    deployment &m_platform;
    back_end_facts m_facts;
    handler m_handle;
    endpoint m_inner;
    http_server m_server;
    machine_link m_link;
    std::int64_t m_born;
    std::int64_t m_lastBeat = 0;
    int m_incarnation = 1;
    bool m_isRunning = true;
    bool m_isCut = false;
};

} // namespace reedtrail::review
