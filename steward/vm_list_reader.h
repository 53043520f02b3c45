/**
 * @file
 * Polls the platform's VM list, which lags behind the real state, while this node is assigned to read it.
 */
#pragma once

#include "net/http_client.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace reedtrail {

/** Content of the VM list. */
struct vm_list
{
    std::vector<std::string> live; ///< Addresses of the VMs that are not leaving.
    std::set<std::string> leaving; ///< Addresses and names of the VMs that are leaving.
};

/** Polls the VM list and passes each valid answer to a handler. */
class vm_list_reader
{
public:
    vm_list_reader(boost::asio::io_context &io, std::function<void(const vm_list &list)> onList);

    /** Sets the address of the server that publishes the list; an empty address stops the polling. */
    void setAddress(const std::string &address);
    void stop();
    /** Returns the error of the last read; empty if it succeeded. */
    const std::string &lastError() const
    {
        return m_lastError;
    }

private:
    void read();
    void scheduleRead();

    http_client m_client;
    boost::asio::steady_timer m_timer;
    std::function<void(const vm_list &)> m_onList;
    std::string m_address;
    std::string m_lastError;
    bool m_isReading = false;
};

} // namespace reedtrail
