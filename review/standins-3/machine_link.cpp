#include "review/standins-3/machine_link.h"

#include <array>

namespace reedtrail::review {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr int acceptQueue = 128;
constexpr int fillers = 4; // More than a queue of no length takes.

tcp::endpoint asioEndpoint(const endpoint &address)
{
    return { asio::ip::make_address(address.ip), address.port };
}

} // namespace

/** A connection of a caller and the one to the server that it is forwarded to. */
class linked_connection : public std::enable_shared_from_this<linked_connection>
{
public:
    linked_connection(asio::io_context &io, tcp::socket caller)
        : m_caller(std::move(caller))
        , m_server(io)
    {
    }

    void start(const endpoint &server)
    {
        m_server.async_connect(asioEndpoint(server), [self = shared_from_this()](const boost::system::error_code &error) {
            if (error) {
                self->reset();
                return;
            }
            boost::system::error_code ignored;
            self->m_server.set_option(tcp::no_delay(true), ignored);
            self->forward(self->m_caller, self->m_server, self->m_toServer);
            self->forward(self->m_server, self->m_caller, self->m_toCaller);
        });
    }
    /** Resets both connections. */
    void reset()
    {
        closeHard(m_caller);
        closeHard(m_server);
    }
    /** Ends the connection to the server and leaves the caller without an answer. */
    void silence()
    {
        m_isSilent = true;
        closeHard(m_server);
        m_keepAlive = shared_from_this();
    }
    /** Lets a silenced connection go, with a reset. */
    void release()
    {
        closeHard(m_caller);
        m_keepAlive.reset();
    }

private:
    using buffer = std::array<char, 16384>;

    static void closeHard(tcp::socket &socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    void forward(tcp::socket &from, tcp::socket &to, buffer &bytes)
    {
        from.async_read_some(asio::buffer(bytes), [self = shared_from_this(), &from, &to, &bytes](const boost::system::error_code &error, std::size_t count) {
            if (self->m_isSilent) {
                return;
            }
            if (error == asio::error::eof) {
                boost::system::error_code ignored;
                to.shutdown(tcp::socket::shutdown_send, ignored);
                return;
            }
            if (error) {
                self->reset();
                return;
            }
            asio::async_write(to, asio::buffer(bytes, count), [self, &from, &to, &bytes](const boost::system::error_code &writeError, std::size_t) {
                if (self->m_isSilent) {
                    return;
                }
                writeError ? self->reset() : self->forward(from, to, bytes);
            });
        });
    }

    tcp::socket m_caller;
    tcp::socket m_server;
    buffer m_toServer{};
    buffer m_toCaller{};
    bool m_isSilent = false;
    std::shared_ptr<linked_connection> m_keepAlive;
};

machine_link::machine_link(asio::io_context &io, endpoint address, endpoint server)
    : m_io(io)
    , m_address(std::move(address))
    , m_server(std::move(server))
    , m_acceptor(io)
{
    open();
}

machine_link::~machine_link()
{
    dropConnections();
}

void machine_link::open()
{
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(asioEndpoint(m_address));
    m_acceptor.listen(acceptQueue);
    m_isUp = true;
    acceptNext();
}

void machine_link::acceptNext()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error || !m_isUp) {
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto connection = std::make_shared<linked_connection>(m_io, std::move(socket));
        std::erase_if(m_connections, [](const auto &each) {
            return each.expired();
        });
        m_connections.push_back(connection);
        connection->start(m_server);
        acceptNext();
    });
}

void machine_link::dropConnections()
{
    for (const auto &weak : std::exchange(m_connections, {})) {
        if (const auto connection = weak.lock()) {
            connection->reset();
            connection->release();
        }
    }
}

void machine_link::endProcess()
{
    m_isUp = false;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    dropConnections();
}

void machine_link::goDark()
{
    m_isUp = false;
    boost::system::error_code ignored;
    m_acceptor.cancel(ignored);
    m_acceptor.listen(0, ignored);
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->silence();
        }
    }
    for (int i = 0; i < fillers; ++i) {
        m_fillers.emplace_back(m_io, tcp::v4());
        m_fillers.back().async_connect(asioEndpoint(m_address), [](const boost::system::error_code &) {});
    }
}

void machine_link::start()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_fillers.clear();
    dropConnections();
    open();
}

} // namespace reedtrail::review
