// Limits apply to header size, body size, connections, bytes queued per connection, and the time of each write; see http_session.h for a connection's course.

#include "net/http_server.h"

#include "kernel/log.h"
#include "net/http_session.h"

namespace reedtrail {

using namespace detail;

namespace {

constexpr int maximumUnacceptedConnections = 128; // Their bytes wait in the kernel too.
constexpr std::chrono::milliseconds acceptPauseTime(50);

} // namespace

struct http_server::implementation : std::enable_shared_from_this<http_server::implementation>
{
    asio::io_context &io;
    tcp::acceptor acceptor;
    asio::steady_timer acceptPause;
    std::shared_ptr<server_state> state = std::make_shared<server_state>();
    std::optional<tls_context_source> tlsContexts;

    explicit implementation(asio::io_context &context)
        : io(context)
        , acceptor(context)
        , acceptPause(context)
    {
    }

    void acceptNext()
    {
        acceptor.async_accept([self = this->shared_from_this()](const beast::error_code &error, tcp::socket socket) {
            if (error == asio::error::operation_aborted || !self->acceptor.is_open()) {
                return;
            }
            if (error) { // There is no descriptor left, say. The connection still waits, so the next attempt would fail at once.
                logLine(log_level::Warning, "accept-failed", { { "reason", error.message() } });
                self->pauseAccepting();
                return;
            }
            self->begin(std::move(socket));
            self->acceptNext();
        });
    }

    void pauseAccepting()
    {
        acceptPause.expires_after(acceptPauseTime);
        acceptPause.async_wait([self = this->shared_from_this()](const beast::error_code &error) {
            if (!error && self->acceptor.is_open()) {
                self->acceptNext();
            }
        });
    }

    void begin(tcp::socket socket)
    {
        if (state->sessions.size() >= state->options.maximumConnections && !state->closeOneWaiting()) {
            logLine(log_level::Warning, "connection-refused", { { "open", std::to_string(state->sessions.size()) } });
            return;
        }
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const std::shared_ptr<http_session> session = makeSession(std::move(socket));
        if (session) {
            state->sessions.insert(session);
            session->begin();
        }
    }

    /** Creates a session, or returns null if TLS is configured and no usable context exists. */
    std::shared_ptr<http_session> makeSession(tcp::socket socket)
    {
        if (!tlsContexts) {
            return std::make_shared<basic_session<plain_stream>>(state, nullptr, std::move(socket));
        }
        std::string error;
        const std::shared_ptr<asio::ssl::context> context = tlsContexts->current(error);
        if (!error.empty()) {
            logLine(log_level::Error, "tls-files-unusable", { { "reason", error } });
        }
        return context ? std::make_shared<basic_session<tls_stream>>(state, context, std::move(socket), *context) : nullptr;
    }
};

http_server::http_server(asio::io_context &io, http_server_options options, handler handle)
    : m_implementation(std::make_shared<implementation>(io))
{
    if (!options.tls.isEmpty()) {
        m_implementation->tlsContexts.emplace(options.tls, tls_side::Server, tls_peer_check::NotRequested);
    }
    m_implementation->state->requests =
        options.requests ? options.requests : std::make_shared<reception>(reception_limits{ .requestBytes = options.maximumBodyBytesHeld });
    m_implementation->state->options = std::move(options);
    m_implementation->state->handle = std::move(handle);
}

void http_server::setLimits(const request_limits &limits)
{
    http_server_options &options = m_implementation->state->options;
    options.maximumHeaderBytes = limits.headerBytes;
    options.maximumBodyBytes = limits.bodyBytes;
    options.headerTimeout = limits.headerTimeout;
    options.progressTimeout = limits.progressTimeout;
    options.idleTimeout = limits.idleTimeout;
}

http_server::~http_server()
{
    stop();
}

result<void> http_server::start()
{
    beast::error_code error;
    const endpoint &where = m_implementation->state->options.address;
    const tcp::endpoint address(asio::ip::make_address(where.ip, error), where.port);
    tcp::acceptor &acceptor = m_implementation->acceptor;
    if (!error) {
        acceptor.open(address.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(m_implementation->state->options.receiveBufferBytes)),
                            error); // Connections inherit it, also those not accepted yet.
    }
    if (!error) {
        acceptor.bind(address, error);
    }
    if (!error) {
        acceptor.listen(std::min(maximumUnacceptedConnections, static_cast<int>(m_implementation->state->options.maximumConnections)), error);
    }
    if (error) {
        return fail(error_kind::PeerUnreachable, "cannot listen on " + where.text() + ": " + error.message());
    }
    m_implementation->acceptNext();
    return {};
}

void http_server::closeAfterAnswers()
{
    m_implementation->state->isStopping = true;
}

void http_server::stopAccepting()
{
    closeAfterAnswers();
    beast::error_code ignored;
    m_implementation->acceptor.close(ignored);
    m_implementation->acceptPause.cancel();
}

void http_server::stop()
{
    stopAccepting();
    const auto sessions = m_implementation->state->sessions;
    for (const auto &session : sessions) {
        session->close();
    }
}

std::size_t http_server::exchangesInFlight() const
{
    return m_implementation->state->inFlight;
}

std::size_t http_server::connections() const
{
    return m_implementation->state->sessions.size();
}

} // namespace reedtrail
