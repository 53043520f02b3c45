/**
 * @file
 * Internal: link table, heartbeats and limits on top of websocketpp. The public interface is net/transport/peer_transport.h.
 *
 * websocketpp provides framing, pings and close handshakes. TCP alone does not detect a half-open connection, so each link sends pings and is closed after
 * silenceTimeout without a received frame. One timer serves all links and visits each of them every half ping interval. Each link queues at most
 * maximumQueuedBytes.
 */
#pragma once

#include "net/transport/peer_transport.h"
#include "net/transport/transport_engine.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>

namespace reedtrail {
namespace detail {

using clock_type = std::chrono::steady_clock;
using websocketpp::connection_hdl;

constexpr int listenBacklog = 256;

/** State of one link, with the times of its last received frame and last sent ping. */
struct link_state
{
    connection_hdl handle;
    bool isAccepted = false;
    bool isOpen = false;
    clock_type::time_point lastReceived;
    clock_type::time_point lastPing;
};

/** Transport engine for one pair of websocketpp configurations, either plain or TLS. */
template<class ServerConfig, class ClientConfig>
class basic_engine : public transport_engine
{
public:
    using server_type = websocketpp::server<ServerConfig>;
    using client_type = websocketpp::client<ClientConfig>;

    boost::asio::io_context &io;
    peer_transport_options options;
    peer_transport_handlers handlers;
    server_type server;
    client_type client;
    std::map<link_id, link_state> links;
    std::map<connection_hdl, link_id, std::owner_less<connection_hdl>> byHandle;
    boost::asio::steady_timer checkTimer;
    link_id nextLink = 1;
    std::size_t acceptedLinks = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    bool isStopped = false;

    basic_engine(boost::asio::io_context &context, peer_transport_options theOptions, peer_transport_handlers theHandlers)
        : io(context)
        , options(theOptions)
        , handlers(std::move(theHandlers))
        , checkTimer(context)
    {
        prepare(server);
        prepare(client);
        server.set_reuse_addr(true);
        server.set_validate_handler([this](connection_hdl) {
            return acceptedLinks < options.maximumLinks;
        });
        server.set_open_handler([this](connection_hdl handle) {
            ++acceptedLinks;
            const link_id link = add(handle, true);
            onLinkOpened(link);
        });
        client.set_open_handler([this](connection_hdl handle) {
            const auto found = byHandle.find(handle);
            if (found != byHandle.end()) {
                onLinkOpened(found->second);
            }
        });
        scheduleCheck();
    }

    /** Returns true if the peer at the other end of a new link is authorized. */
    virtual bool isPeerAllowed(const link_state &)
    {
        return true;
    }

    template<class Endpoint>
    void prepare(Endpoint &endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&io);
        endpoint.set_max_message_size(options.maximumMessageBytes);
        endpoint.set_open_handshake_timeout(options.connectTimeout.count());
        endpoint.set_close_handshake_timeout(options.connectTimeout.count());
        endpoint.set_pong_timeout(options.silenceTimeout.count());
        endpoint.set_message_handler([this](connection_hdl handle, auto message) {
            onMessageReceived(handle, message->get_payload());
        });
        endpoint.set_pong_handler([this](connection_hdl handle, std::string) {
            recordReceipt(handle);
        });
        endpoint.set_ping_handler([this](connection_hdl handle, std::string) {
            recordReceipt(handle);
            return true;
        });
        endpoint.set_close_handler([this](connection_hdl handle) {
            removeConnection(handle, "closed");
        });
        endpoint.set_fail_handler([this](connection_hdl handle) {
            removeConnection(handle, "could not connect");
        });
    }

    link_id add(const connection_hdl &handle, bool isAccepted)
    {
        const link_id link = nextLink++;
        links[link] = { handle, isAccepted, false, clock_type::now(), clock_type::now() };
        byHandle[handle] = link;
        return link;
    }

    /** Marks the link as open, or closes it if the peer is not authorized. */
    void onLinkOpened(link_id link)
    {
        link_state &state = links[link];
        if (!isPeerAllowed(state)) {
            closeLink(link, "role not allowed");
            return;
        }
        state.isOpen = true;
        state.lastReceived = clock_type::now();
        handlers.onOpen(link);
    }

    void recordReceipt(const connection_hdl &handle)
    {
        const auto found = byHandle.find(handle);
        if (found != byHandle.end()) {
            links[found->second].lastReceived = clock_type::now();
        }
    }

    void onMessageReceived(const connection_hdl &handle, const std::string &bytes)
    {
        recordReceipt(handle);
        receivedBytes += bytes.size();
        const auto found = byHandle.find(handle);
        if (found != byHandle.end() && links[found->second].isOpen) {
            handlers.onMessage(found->second, bytes);
        }
    }

    void removeConnection(const connection_hdl &handle, const std::string &reason)
    {
        const auto found = byHandle.find(handle);
        if (found != byHandle.end()) {
            removeLink(found->second, reason);
        }
    }

    /** Removes the link from the tables and reports its closing. Late frames on its connection are then ignored. */
    void removeLink(link_id link, const std::string &reason)
    {
        const auto found = links.find(link);
        if (found == links.end()) {
            return;
        }
        acceptedLinks -= found->second.isAccepted ? 1 : 0;
        byHandle.erase(found->second.handle);
        links.erase(found);
        if (!isStopped) {
            handlers.onClose(link, reason);
        }
    }

    template<class Action>
    void withConnection(const link_state &state, Action action)
    {
        websocketpp::lib::error_code error;
        if (state.isAccepted) {
            const auto connection = server.get_con_from_hdl(state.handle, error);
            if (!error && connection) {
                action(*connection);
            }
        } else {
            const auto connection = client.get_con_from_hdl(state.handle, error);
            if (!error && connection) {
                action(*connection);
            }
        }
    }

    void closeConnection(const link_state &state, const std::string &reason)
    {
        withConnection(state, [&](auto &connection) {
            websocketpp::lib::error_code ignored;
            if (state.isOpen) {
                connection.close(websocketpp::close::status::going_away, reason, ignored);
            } else {
                connection.terminate(websocketpp::lib::error_code());
            }
        });
    }

    void closeLink(link_id link, const std::string &reason)
    {
        const auto found = links.find(link);
        if (found == links.end()) {
            return;
        }
        const link_state state = found->second;
        removeLink(link, reason);
        closeConnection(state, reason);
    }

    void scheduleCheck()
    {
        checkTimer.expires_after(options.pingInterval / 2);
        checkTimer.async_wait([this](const boost::system::error_code &error) {
            if (error || isStopped) {
                return;
            }
            checkLinks();
            scheduleCheck();
        });
    }

    void checkLinks()
    {
        const auto now = clock_type::now();
        std::vector<link_id> silent;
        for (auto &[link, state] : links) {
            if (!state.isOpen) {
                continue;
            }
            if (now - state.lastReceived > options.silenceTimeout) {
                silent.push_back(link);
            } else if (now - state.lastPing >= options.pingInterval) {
                state.lastPing = now;
                withConnection(state, [](auto &connection) {
                    websocketpp::lib::error_code ignored;
                    connection.ping("", ignored);
                });
            }
        }
        for (const link_id link : silent) {
            closeLink(link, "silent");
        }
    }

    ~basic_engine() override
    {
        basic_engine::stop();
    }

    std::string listen(const std::string &ip, std::uint16_t port) override
    {
        websocketpp::lib::error_code error;
        boost::system::error_code addressError;
        const auto address = boost::asio::ip::make_address(ip, addressError);
        if (addressError) {
            return ip + " is no IP number";
        }
        server.set_listen_backlog(listenBacklog);
        server.listen(boost::asio::ip::tcp::endpoint(address, port), error);
        if (!error) {
            server.start_accept(error);
        }
        return error ? error.message() : "";
    }

    link_id connect(const std::string &ip, std::uint16_t port) override
    {
        const std::string host = ip.find(':') == std::string::npos ? ip : "[" + ip + "]";
        const std::string scheme = client.is_secure() ? "wss://" : "ws://";
        websocketpp::lib::error_code error;
        const auto connection = client.get_connection(scheme + host + ":" + std::to_string(port) + "/", error);
        if (error) {
            const link_id link = nextLink++;
            boost::asio::post(io, [this, link, reason = error.message()] {
                handlers.onClose(link, reason);
            });
            return link;
        }
        const link_id link = add(connection->get_handle(), false);
        client.connect(connection);
        return link;
    }

    bool send(link_id link, const std::string &bytes) override
    {
        const auto found = links.find(link);
        if (found == links.end() || !found->second.isOpen) {
            return false;
        }
        bool isSent = false;
        bool isFull = false;
        withConnection(found->second, [&](auto &connection) {
            isFull = connection.get_buffered_amount() + bytes.size() > options.maximumQueuedBytes;
            isSent = !isFull && !connection.send(bytes, websocketpp::frame::opcode::binary);
        });
        if (isFull) {
            closeLink(link, "queue full");
        }
        sentBytes += isSent ? bytes.size() : 0;
        return isSent;
    }

    void close(link_id link) override
    {
        closeLink(link, "closed here");
    }

    void stop() override
    {
        if (isStopped) {
            return;
        }
        isStopped = true;
        checkTimer.cancel();
        websocketpp::lib::error_code ignored;
        if (server.is_listening()) {
            server.stop_listening(ignored);
        }
        while (!links.empty()) {
            closeLink(links.begin()->first, "stopping");
        }
    }

    std::uint64_t bytesSent() const override
    {
        return sentBytes;
    }

    std::uint64_t bytesReceived() const override
    {
        return receivedBytes;
    }
};

} // namespace detail
} // namespace reedtrail
