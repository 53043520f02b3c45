/**
 * @file
 * Reads the platform's lagging list of VMs while this node has that duty.
 */
#pragma once

#include "net/http_client.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace reedtrail {

/** What the list says. */
struct vm_list
{
    std::vector<std::string> live; ///< Addresses.
    std::set<std::string> leaving; ///< Addresses and names.
};

/** Reads the list again and again. */
class vm_list_reader
{
public:
    vm_list_reader(boost::asio::io_context &io, std::function<void(const vm_list &list)> onList);

    /** Sets where the list is, or an empty text to stop reading. */
    void setAddress(const std::string &address);
    void stop();
    /** Tells what went wrong last; empty if nothing did. */
    const std::string &lastError() const
    {
        return m_lastError;
    }

private:
    void read();
    void readLater();

    http_client m_client;
    boost::asio::steady_timer m_timer;
    std::function<void(const vm_list &)> m_onList;
    std::string m_address;
    std::string m_lastError;
    bool m_isReading = false;
};

} // namespace reedtrail
