/**
 * @file
 * The address of a server's machine on loopback: forwards connections to the server, or behaves as a machine whose process has ended or that has lost power.
 */
#pragma once

#include "net/endpoint.h"

#include <boost/asio.hpp>
#include <list>
#include <memory>

namespace reedtrail::review {

class linked_connection;

/** Listens at the address under which a server registers. */
class machine_link
{
public:
    machine_link(boost::asio::io_context &io, endpoint address, endpoint server);
    ~machine_link();
    machine_link(const machine_link &) = delete;
    machine_link &operator=(const machine_link &) = delete;

    const endpoint &address() const
    {
        return m_address;
    }
    /** The process ends: open connections are reset and new ones refused. */
    void endProcess();
    /** The machine loses power: nothing is answered any more, neither on open connections nor to new ones. */
    void goDark();
    /** The machine or the process is back. */
    void start();

private:
    void open();
    void acceptNext();
    void dropConnections();

    boost::asio::io_context &m_io;
    endpoint m_address;
    endpoint m_server;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<linked_connection>> m_connections;
    std::vector<boost::asio::ip::tcp::socket> m_fillers; ///< Take the places of connections that are not accepted, so that opening packets are dropped.
    bool m_isUp = false;
};

} // namespace reedtrail::review
