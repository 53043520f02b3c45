// A call reuses an idle connection if a peek shows neither end of stream nor unexpected bytes; otherwise it opens a new one. Once the write has started, the
// call counts as handed over and is never retried here: the code that starts the call knows whether the request is safe to repeat. A connection whose response
// was not read completely is closed instead of pooled, so that a late response is not taken for that of the next request. A response that the server sends
// twice still arrives in place of the next one; only http_call_options::isOwnResponse can tell. Silence timeout and deadline are timers of the call, because
// TCP keeps a half-open connection open indefinitely.

#include "net/http_client.h"

#include "net/http_status.h"

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>

namespace reedtrail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using clock_type = std::chrono::steady_clock;

constexpr std::string_view hostFieldName = "Host";

// TCP keep-alive detects a dead peer within three seconds: one second without traffic, then two probes one second apart.
constexpr int probeIdleSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 2;
constexpr unsigned userTimeoutMilliseconds = 3000; // Applies the same limit to sent bytes that are not acknowledged.

constexpr std::chrono::seconds expiryInterval(1); // Between two looks at all idle connections.

// A server closes an idle connection when the timeout of its Keep-Alive field expires. A request sent shortly before that would race with the close.
constexpr std::chrono::milliseconds keepAliveMargin(800);

struct idle_connection
{
    std::unique_ptr<tcp::socket> socket;
    clock_type::time_point idleSince;
    clock_type::time_point usableUntil;
    clock_type::time_point establishedAt;
    std::string lastRequestId; ///< http_call_options::requestId of the call that used it last.
};

void enableKeepAliveProbes(tcp::socket &socket)
{
    const int fd = socket.native_handle();
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probeIdleSeconds, sizeof(probeIdleSeconds));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds, sizeof(probeIntervalSeconds));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probeCount, sizeof(probeCount));
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMilliseconds, sizeof(userTimeoutMilliseconds));
}

/** Returns the seconds of "timeout=N" in the value of a Keep-Alive field, if present. */
std::optional<int> keepAliveSeconds(std::string_view value)
{
    constexpr std::string_view key = "timeout=";
    const std::size_t at = value.find(key);
    int seconds = 0;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = value.substr(at + key.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return parsed.ec == std::errc() ? std::optional(seconds) : std::nullopt;
}

class client_call;

struct connection_pool
{
    http_client_options options;
    std::optional<tls_context_source> tlsContexts;
    std::map<endpoint, std::deque<idle_connection>> idle; ///< Never an empty list; the oldest connection of each comes first.
    std::size_t idleCount = 0;
    clock_type::time_point nextExpiryAt;
    std::uint64_t opened = 0; ///< Connections that calls have begun to open.
    std::size_t bytesInFlight = 0; ///< Bytes of bodies that calls have received which have not ended.
    std::set<client_call *> receiving; ///< Calls that have received such bytes.
};

/** Removes a list of idle connections that has become empty, so that addresses that were used once take no memory. */
void dropIfEmpty(connection_pool &pool, const endpoint &where)
{
    if (const auto found = pool.idle.find(where); found != pool.idle.end() && found->second.empty()) {
        pool.idle.erase(found);
    }
}

/** Closes the connections whose servers may have closed them by now; nothing else tells of a server that is gone. Looks at them once an interval at most. */
void closeExpired(connection_pool &pool)
{
    const auto now = clock_type::now();
    if (now < pool.nextExpiryAt) {
        return;
    }
    pool.nextExpiryAt = now + expiryInterval;
    for (auto &[where, connections] : pool.idle) {
        pool.idleCount -= std::erase_if(connections, [now](const idle_connection &each) {
            return each.usableUntil <= now;
        });
    }
    std::erase_if(pool.idle, [](const auto &each) {
        return each.second.empty();
    });
}

/** Closes the connection that has been idle for longest. */
void closeOldest(connection_pool &pool)
{
    const auto oldest = std::ranges::min_element(pool.idle, {}, [](const auto &each) {
        return each.second.front().idleSince;
    });
    oldest->second.pop_front();
    --pool.idleCount;
    dropIfEmpty(pool, endpoint(oldest->first));
}

/** Returns true if a peek at an idle connection finds neither end of stream nor unexpected bytes. */
bool isReusable(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/**
 * A call over plain TCP, or over TLS if its pool has TLS contexts. TLS connections are not pooled: only operators' tools use them, with one call per
 * connection.
 */
class client_call : public http_call, public std::enable_shared_from_this<client_call>
{
public:
    client_call(asio::io_context &io, std::weak_ptr<connection_pool> pool, endpoint where, http_call_options options, http_call_handlers handlers)
        : m_pool(std::move(pool))
        , m_where(std::move(where))
        , m_options(std::move(options))
        , m_handlers(std::move(handlers))
        , m_silenceTimer(io)
        , m_deadlineTimer(io)
        , m_socket(std::make_unique<tcp::socket>(io))
    {
    }

    void startCall(http_request request)
    {
        if (!isWritable(request)) {
            asio::post(m_socket->get_executor(), [self = shared_from_this()] {
                self->end(error_kind::NoServer, "the request has a field or a target that can't be written");
            });
            return;
        }
        buildMessage(std::move(request));
        m_deadlineTimer.expires_after(m_options.deadline);
        m_deadlineTimer.async_wait([self = shared_from_this()](const beast::error_code &error) {
            if (!error) {
                self->end(self->m_isHandedOver ? error_kind::DeadlineExceeded : error_kind::NoServer, "deadline passed");
            }
        });
        asio::post(m_socket->get_executor(), [self = shared_from_this()] {
            self->acquireConnection();
        });
    }

    void cancel() override
    {
        end(error_kind::Cancelled, "cancelled");
    }

    duration connectionAge() const override
    {
        return m_establishedAt ? std::chrono::duration_cast<duration>(clock_type::now() - *m_establishedAt) : duration::zero();
    }

private:
    /** Tells whether method, target and fields contain only characters that are allowed there, so that no peer can read them as a second request. */
    static bool isWritable(const http_request &request)
    {
        return isFieldName(request.method) && isRequestTarget(request.target) && std::ranges::all_of(request.fields.all(), [](const http_field &field) {
                   return isFieldName(field.name) && isFieldValue(field.value);
               });
    }

    void buildMessage(http_request request)
    {
        m_message.method_string(request.method);
        m_message.target(request.target);
        m_message.version(11);
        m_message.set(http::field::host, m_where.text());
        for (const http_field &field : request.fields.all()) {
            if (field.name.size() == hostFieldName.size() && request.fields.get(hostFieldName) == field.value) {
                m_message.set(field.name, field.value);
            } else {
                m_message.insert(field.name, field.value);
            }
        }
        m_body = request.sharedBody ? std::move(request.sharedBody) : std::make_shared<const std::string>(std::move(request.body));
        m_message.body() = { m_body->data(), m_body->size() };
        m_message.prepare_payload();
        m_isHeadRequest = request.method == "HEAD";
    }

    void acquireConnection()
    {
        if (m_hasEnded) {
            return;
        }
        if (takeIdleConnection()) {
            sendRequest();
            return;
        }
        if (const auto pool = m_pool.lock()) {
            ++pool->opened;
        }
        startSilenceTimer(m_options.connectTimeout, error_kind::NoServer, "no connection within the timeout");
        beast::error_code addressError;
        const tcp::endpoint address(asio::ip::make_address(m_where.ip, addressError), m_where.port);
        if (addressError) {
            end(error_kind::NoServer, m_where.ip + " is no IP number");
            return;
        }
        m_socket->async_connect(address, [self = shared_from_this()](const beast::error_code &error) {
            if (error) {
                self->m_isConnectionRefused = error == asio::error::connection_refused;
                self->end(error_kind::NoServer, "connection refused: " + error.message());
                return;
            }
            self->m_establishedAt = clock_type::now();
            beast::error_code ignored;
            self->m_socket->set_option(tcp::no_delay(true), ignored);
            if (const auto pool = self->m_pool.lock(); pool && pool->options.probesQuietConnections) {
                enableKeepAliveProbes(*self->m_socket);
            }
            self->startTlsOrSend();
        });
    }

    void startTlsOrSend()
    {
        const auto pool = m_pool.lock();
        if (!pool || !pool->tlsContexts) {
            sendRequest();
            return;
        }
        std::string error;
        m_context = pool->tlsContexts->current(error);
        if (!m_context) {
            end(error_kind::NoServer, error);
            return;
        }
        m_tls.emplace(*m_socket, *m_context);
        m_tls->async_handshake(asio::ssl::stream_base::client, [self = shared_from_this()](const beast::error_code &handshakeError) {
            if (handshakeError) {
                self->end(error_kind::NoServer, "TLS handshake failed: " + handshakeError.message());
            } else {
                self->sendRequest();
            }
        });
    }

    /** Runs @p action on the stream in use, plain or TLS. */
    template<class Action>
    void onStream(Action action)
    {
        if (m_tls) {
            action(*m_tls);
        } else {
            action(*m_socket);
        }
    }

    bool takeIdleConnection()
    {
        const auto pool = m_pool.lock();
        if (!pool || pool->tlsContexts) {
            return false;
        }
        const auto found = pool->idle.find(m_where);
        if (found == pool->idle.end()) {
            return false;
        }
        const bool isTaken = takeFrom(*pool, found->second);
        dropIfEmpty(*pool, m_where);
        return isTaken;
    }

    /** Takes the newest connection that can be used. */
    bool takeFrom(connection_pool &pool, std::deque<idle_connection> &idleAtEndpoint)
    {
        for (auto next = idleAtEndpoint.end(); next != idleAtEndpoint.begin();) {
            --next;
            if (!m_options.requestId.empty() && next->lastRequestId == m_options.requestId) {
                continue;
            }
            idle_connection candidate = std::move(*next);
            next = idleAtEndpoint.erase(next);
            --pool.idleCount;
            if (clock_type::now() < candidate.usableUntil && isReusable(*candidate.socket)) {
                m_socket = std::move(candidate.socket);
                m_establishedAt = candidate.establishedAt;
                return true;
            }
        }
        return false;
    }

    void sendRequest()
    {
        if (m_hasEnded) {
            return;
        }
        if (m_options.maySend && !m_options.maySend()) {
            m_isWithdrawn = true;
            end(error_kind::NoServer, "no longer to be sent");
            return;
        }
        m_isHandedOver = true;
        startSilenceTimer(m_options.silenceTimeout, error_kind::ServerSilent, "no byte within the silence timeout");
        onStream([this](auto &stream) {
            http::async_write(stream, m_message, [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                if (error) {
                    self->end(error_kind::ServerFailed, "write failed: " + error.message());
                } else {
                    self->readHead();
                }
            });
        });
    }

    void readHead()
    {
        if (m_hasEnded) {
            return;
        }
        m_parser.emplace();
        const auto pool = m_pool.lock();
        m_parser->body_limit(pool ? pool->options.maximumBodyBytes : 0);
        m_parser->skip(m_isHeadRequest);
        startSilenceTimer(m_options.silenceTimeout, error_kind::ServerSilent, "no byte within the silence timeout");
        onStream([this](auto &stream) {
            http::async_read_header(stream, m_buffer, *m_parser, [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                self->onHeadRead(error);
            });
        });
    }

    void onHeadRead(const beast::error_code &error)
    {
        if (m_hasEnded) {
            return;
        }
        if (error) {
            end(error_kind::ServerFailed, "no response: " + error.message());
            return;
        }
        const auto status = static_cast<std::uint16_t>(m_parser->get().result_int());
        if (http_status::isInterim(status)) {
            onInterimResponse();
            return;
        }
        if (!http_status::isFinal(status)) {
            end(error_kind::ServerFailed, "status " + std::to_string(status) + " is none of a final response");
            return;
        }
        http_response head;
        head.status = status;
        for (const auto &field : m_parser->get()) {
            head.fields.add(std::string_view(field.name_string().data(), field.name_string().size()), std::string(field.value()));
        }
        if (m_options.isOwnResponse && !m_options.isOwnResponse(head)) {
            m_isForeignResponse = true;
            end(error_kind::ServerFailed, "the response belongs to another request");
            return;
        }
        m_hasHead = true;
        if (m_handlers.onHead) {
            m_handlers.onHead(head);
        }
        readBody();
    }

    /** Reads on after an interim response. One with a body is refused, because the bytes of that body would be taken for the final response. */
    void onInterimResponse()
    {
        const auto &fields = m_parser->get();
        if (fields.count(http::field::content_length) > 0 || fields.count(http::field::transfer_encoding) > 0) {
            end(error_kind::ServerFailed, "interim response with a body");
        } else if (++m_interimResponses > maxInterimResponses) {
            end(error_kind::ServerFailed, "too many interim responses");
        } else {
            readHead();
        }
    }

    void readBody()
    {
        if (m_hasEnded) {
            return;
        }
        if (m_parser->is_done()) {
            returnConnectionToPool();
            end(error_kind::None, "");
            return;
        }
        m_parser->get().body().data = m_readBuffer.data();
        m_parser->get().body().size = m_readBuffer.size();
        startSilenceTimer(m_options.silenceTimeout, error_kind::ServerSilent, "no byte within the silence timeout");
        onStream([this](auto &stream) {
            http::async_read_some(stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
                self->onBodyRead(error);
            });
        });
    }

    void onBodyRead(beast::error_code error)
    {
        if (m_hasEnded) {
            return;
        }
        if (error == http::error::need_buffer) {
            error = {};
        }
        const std::size_t count = m_readBuffer.size() - m_parser->get().body().size;
        if (const auto pool = m_pool.lock(); pool && count > 0) {
            m_bodyBytes += count;
            pool->bytesInFlight += count;
            pool->receiving.insert(this);
            endLongestResponses(*pool);
            if (m_hasEnded) {
                return;
            }
        }
        if (count > 0 && m_handlers.onBody) {
            m_handlers.onBody(std::string_view(m_readBuffer.data(), count));
        }
        if (error) {
            end(error_kind::ServerFailed, "response broken off: " + error.message());
            return;
        }
        readBody();
    }

    /** Ends the calls that have received most until the others have room, so that one server whose body does not end costs no other call its response. */
    static void endLongestResponses(connection_pool &pool)
    {
        while (pool.bytesInFlight > pool.options.maximumBytesInFlight) {
            const auto longest = std::ranges::max_element(pool.receiving, {}, [](const client_call *each) {
                return each->m_bodyBytes;
            });
            (*longest)->shared_from_this()->end(error_kind::ServerFailed, "response too long while others are under way");
        }
    }

    void returnConnectionToPool()
    {
        const auto pool = m_pool.lock();
        if (!pool || m_tls || !m_parser->keep_alive() || m_buffer.size() > 0) {
            return;
        }
        closeExpired(*pool);
        std::deque<idle_connection> &idleAtEndpoint = pool->idle[m_where];
        if (idleAtEndpoint.size() < pool->options.maximumIdlePerEndpoint) {
            clock_type::duration idleLimit = pool->options.idleTimeout;
            if (const std::optional<int> serverTimeout = keepAliveSeconds(m_parser->get()[http::field::keep_alive])) {
                idleLimit = std::min<clock_type::duration>(idleLimit, std::chrono::seconds(*serverTimeout) - keepAliveMargin);
            }
            const auto now = clock_type::now();
            idleAtEndpoint.push_back({ std::move(m_socket), now, now + idleLimit, m_establishedAt.value_or(now), std::move(m_options.requestId) });
            ++pool->idleCount;
        }
        dropIfEmpty(*pool, m_where);
        if (pool->idleCount > pool->options.maximumIdle) {
            closeOldest(*pool);
        }
    }

    void startSilenceTimer(duration limit, error_kind kind, const char *detail)
    {
        m_silenceTimer.expires_after(limit);
        m_silenceTimer.async_wait([self = shared_from_this(), kind, detail](const beast::error_code &error) {
            if (!error) {
                self->end(kind, detail);
            }
        });
    }

    void end(error_kind kind, std::string detail)
    {
        if (m_hasEnded) {
            return;
        }
        m_hasEnded = true;
        m_silenceTimer.cancel();
        m_deadlineTimer.cancel();
        if (const auto pool = m_pool.lock()) {
            pool->bytesInFlight -= m_bodyBytes;
            pool->receiving.erase(this);
        }
        if (m_socket) {
            beast::error_code ignored;
            if (kind != error_kind::None) {
                // A plain close keeps retransmitting queued bytes, for minutes during a network partition. A reset keeps a cancelled request from arriving
                // later.
                m_socket->set_option(asio::socket_base::linger(true, 0), ignored);
            }
            m_socket->close(ignored);
        }
        const http_call_handlers handlers = std::exchange(m_handlers, {});
        if (handlers.onEnd) {
            handlers.onEnd({ kind, m_isHandedOver, m_isWithdrawn, m_isConnectionRefused, m_isForeignResponse, m_hasHead, std::move(detail) });
        }
    }

    static constexpr std::size_t readBufferBytes = 16U << 10U;
    static constexpr std::size_t parseBufferBytes = 64U << 10U; ///< Bounds what has no limit of its own: sizes, extensions and trailers of chunks.
    static constexpr int maxInterimResponses = 8;

    std::weak_ptr<connection_pool> m_pool;
    endpoint m_where;
    http_call_options m_options;
    http_call_handlers m_handlers;
    asio::steady_timer m_silenceTimer;
    asio::steady_timer m_deadlineTimer;
    std::unique_ptr<tcp::socket> m_socket;
    std::optional<clock_type::time_point> m_establishedAt; ///< Of the connection in use.
    std::shared_ptr<asio::ssl::context> m_context;
    std::optional<asio::ssl::stream<tcp::socket &>> m_tls;
    std::shared_ptr<const std::string> m_body; ///< What m_message refers to.
    http::request<http::span_body<const char>> m_message;
    beast::flat_buffer m_buffer{ parseBufferBytes };
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::array<char, readBufferBytes> m_readBuffer{};
    std::size_t m_bodyBytes = 0; ///< Received so far.
    int m_interimResponses = 0;
    bool m_isHeadRequest = false;
    bool m_isHandedOver = false;
    bool m_isWithdrawn = false;
    bool m_isConnectionRefused = false;
    bool m_isForeignResponse = false;
    bool m_hasHead = false;
    bool m_hasEnded = false;
};

} // namespace

struct http_client::implementation
{
    asio::io_context &io;
    std::shared_ptr<connection_pool> pool = std::make_shared<connection_pool>();
};

http_client::http_client(asio::io_context &io, http_client_options options)
    : m_implementation(std::make_shared<implementation>(implementation{ io }))
{
    if (!options.tls.isEmpty()) {
        m_implementation->pool->tlsContexts.emplace(options.tls, tls_side::Client);
    }
    m_implementation->pool->options = std::move(options);
}

http_client::~http_client() = default;

std::shared_ptr<http_call> http_client::start(const endpoint &where, http_request request, http_call_options options, http_call_handlers handlers)
{
    const auto call = std::make_shared<client_call>(m_implementation->io, m_implementation->pool, where, std::move(options), std::move(handlers));
    call->startCall(std::move(request));
    return call;
}

std::shared_ptr<http_call> http_client::call(const endpoint &where, http_request request, http_call_options options, response_handler onResponse)
{
    const auto response = std::make_shared<http_response>();
    http_call_handlers handlers;
    handlers.onHead = [response](const http_response &head) {
        *response = head;
    };
    handlers.onBody = [response](std::string_view part) {
        response->body.append(part);
    };
    handlers.onEnd = [response, onResponse = std::move(onResponse)](const http_call_end &end) {
        onResponse(end, *response);
    };
    return start(where, std::move(request), std::move(options), std::move(handlers));
}

void http_client::closeIdle(const endpoint &where)
{
    connection_pool &pool = *m_implementation->pool;
    if (const auto found = pool.idle.find(where); found != pool.idle.end()) {
        pool.idleCount -= found->second.size();
        pool.idle.erase(found);
    }
}

bool http_client::hasIdle(const endpoint &where) const
{
    const auto found = m_implementation->pool->idle.find(where);
    const auto now = clock_type::now();
    return found != m_implementation->pool->idle.end() && std::ranges::any_of(found->second, [now](const idle_connection &connection) {
               return now < connection.usableUntil;
           });
}

std::uint64_t http_client::openedConnections() const
{
    return m_implementation->pool->opened;
}

std::size_t http_client::idleConnections() const
{
    return m_implementation->pool->idleCount;
}

} // namespace reedtrail
