/**
 * @file
 * Connections of an http_server: each reads a request, passes it on as an exchange, writes the response and reads the next request. Only http_server.cpp uses
 * this header.
 *
 * While a response is pending, a session watches its socket, so that the request of a caller that disconnects can be cancelled immediately. An exchange holds a
 * weak pointer to its session and its number within the session, so a late response cannot answer the next request on the connection.
 */
#pragma once

#include "base/check.h"
#include "kernel/log.h"
#include "net/http_server.h"
#include "net/http_status.h"
#include "net/reception.h"

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast.hpp>
#include <boost/beast/ssl.hpp>
#include <deque>
#include <set>

namespace reedtrail::detail {

inline constexpr std::size_t parseBufferBytes = 16U << 10U; // For what is parsed at once beside the head.
inline constexpr std::size_t growthFactor = 2; // By which the memory of a body without a length may exceed the body while it grows.
inline constexpr std::size_t headCopies = 5; // Of the head of a request that is passed on: fields, those of the request to the server, its bytes.
inline constexpr std::size_t headReadBytes = 2U << 10U; // At once; more than the head of an ordinary request.
inline constexpr std::size_t bodyReadBytes = 16U << 10U; // The same, of a body.
inline constexpr std::size_t mostReceiveBytes = 128U << 10U; // Kept by the kernel for the body of an admitted request.
inline constexpr std::size_t discardBufferBytes = 16U << 10U;
inline constexpr std::chrono::seconds discardTime(2); // For the rest of a refused request; a connection that is closed before would lose the answer.
inline constexpr std::string_view retryAfterWhenFull = "1"; // Seconds; large bodies take about as long to be passed on.

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/** One connection from a caller, over plain TCP or TLS. */
class http_session : public reception_member
{
public:
    using reception_member::reception_member;
    virtual void begin() = 0;
    virtual void close() = 0;
    virtual bool isCurrent(std::uint64_t number) const = 0;
    /** Tells whether the connection belongs to @p server, and no request is under way on it. */
    virtual bool isReceivingFor(const struct server_state &server) const = 0;
    virtual void respond(http_response response) = 0;
    virtual void startStream(const http_response &head) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void finishStream() = 0;

    std::function<void()> disconnectAction;
    recency_list<http_session>::place idlePlace;
};

/** State shared by the server and its sessions. */
struct server_state
{
    http_server_options options;
    http_server::handler handle;
    std::shared_ptr<reception> requests; ///< What is held of requests, here and by other servers of the process.
    std::set<std::shared_ptr<http_session>> sessions;
    recency_list<http_session> idle; ///< Connections that neither receive a request nor wait for a response.
    std::vector<char> discarded = std::vector<char>(discardBufferBytes); ///< Buffer for bytes of refused requests, which are dropped.
    std::size_t inFlight = 0;
    bool isStopping = false;

    /** Closes the least recently active connection without a request under way. @return whether there is one */
    bool closeOneWaiting()
    {
        http_session *waiting = idle.oldest();
        for (auto each = requests->members().begin(); waiting == nullptr && each != requests->members().end(); ++each) {
            auto *session = dynamic_cast<http_session *>(*each);
            waiting = session != nullptr && session->isReceivingFor(*this) ? session : nullptr;
        }
        if (waiting != nullptr) {
            logLine(log_level::Info, "waiting-connection-closed", { { "open", std::to_string(sessions.size()) } });
            waiting->close();
        }
        return waiting != nullptr;
    }
};

class session_exchange : public http_exchange
{
public:
    session_exchange(std::weak_ptr<http_session> session, std::uint64_t number, http_request request, std::shared_ptr<reception> requests, body_charge charge)
        : m_session(std::move(session))
        , m_requests(std::move(requests))
        , m_number(number)
        , m_request(std::move(request))
        , m_charge(std::move(charge))
    {
    }
    ~session_exchange() override;

    const http_request &request() const override
    {
        return m_request;
    }
    bool reserve(std::size_t bytes) override
    {
        return m_requests->reserve(m_charge, bytes, reception::clock::now());
    }
    void respond(http_response response) override;
    void startStream(http_response head) override;
    void write(std::string data) override;
    void finishStream() override;
    void abort() override;
    void onGone(std::function<void()> action) override;
    bool isGone() const override;

private:
    bool beginAnswer();
    /** Returns the session, or null if this exchange is no longer its current one. */
    std::shared_ptr<http_session> current() const;

    std::weak_ptr<http_session> m_session;
    std::shared_ptr<reception> m_requests;
    std::uint64_t m_number;
    http_request m_request;
    body_charge m_charge; ///< For the body of m_request.
    bool m_isAnswered = false;
    bool m_isStreaming = false; ///< The response was begun by startStream() and has not ended.
};

using plain_stream = beast::tcp_stream;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

template<class Stream>
class basic_session : public http_session, public std::enable_shared_from_this<basic_session<Stream>>
{
public:
    /** @param context TLS context that must outlive the session, or null @param streamArguments the socket, followed by the context for TLS */
    template<class... StreamArguments>
    basic_session(std::shared_ptr<server_state> server, std::shared_ptr<asio::ssl::context> context, StreamArguments &&...streamArguments)
        : http_session(server->requests->budget())
        , m_context(std::move(context))
        , m_stream(std::forward<StreamArguments>(streamArguments)...)
        , m_server(std::move(server))
        , m_buffer(m_server->options.maximumHeaderBytes + parseBufferBytes)
    {
    }

    void begin() override
    {
        m_server->idle.touch(this->idlePlace, *this);
        if constexpr (std::is_same_v<Stream, tls_stream>) {
            lowestLayer().expires_after(m_server->options.idleTimeout);
            m_stream.async_handshake(asio::ssl::stream_base::server, [self = this->shared_from_this()](const beast::error_code &error) {
                error ? self->close() : self->readNext();
            });
        } else {
            readNext();
        }
    }

    /** Awaits the next request. */
    void readNext()
    {
        m_server->idle.touch(this->idlePlace, *this);
        m_headBytes = 0;
        m_isBodyTimed = false;
        m_parser.emplace();
        applyLimits();
        lowestLayer().expires_after(m_server->options.idleTimeout);
        parseRequest();
    }

    /** Applies the limits in force to the next request. */
    void applyLimits()
    {
        m_buffer.max_size(std::max(m_server->options.maximumHeaderBytes + parseBufferBytes, m_buffer.size()));
        m_parser->header_limit(static_cast<std::uint32_t>(m_server->options.maximumHeaderBytes));
        m_parser->body_limit(m_server->options.maximumBodyBytes);
    }

    void close() override
    {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        beast::error_code ignored;
        if (m_isStreamOpen && !m_isChunked) {
            lowestLayer().socket().set_option(asio::socket_base::linger(true, 0), ignored); // Without chunks, a normal close marks the end of the stream.
        } else {
            lowestLayer().socket().shutdown(tcp::socket::shutdown_both, ignored);
        }
        lowestLayer().socket().close(ignored);
        m_server->requests->leave(*this);
        m_server->idle.leave(this->idlePlace);
        this->m_charge.release();
        endExchange(true);
        m_server->sessions.erase(this->shared_from_this());
    }

    void evict(eviction_reason) override
    {
        m_server->requests->leave(*this);
        if (m_isResponsePending || !m_parser->is_header_done()) {
            close();
            return;
        }
        m_isEvicted = true;
        m_parser.reset();
        this->m_charge.release();
        lowestLayer().cancel(); // The request is refused when the pending read, which may still use the buffer, has ended.
    }

    bool isCurrent(std::uint64_t number) const override
    {
        return m_isResponsePending && number == m_exchangeNumber && !m_isClosed;
    }

    bool isReceivingFor(const server_state &server) const override
    {
        return m_server.get() == &server && !m_isResponsePending && !m_isClosed;
    }

    void respond(http_response response) override
    {
        const auto message = std::make_shared<http::response<http::string_body>>(static_cast<http::status>(response.status), m_version);
        for (const http_field &field : response.fields.all()) {
            message->insert(field.name, field.value);
        }
        message->body() = std::move(response.body);
        message->keep_alive(mayKeepAlive());
        message->prepare_payload();
        lowestLayer().expires_after(m_server->options.writeTimeout);
        http::async_write(m_stream, *message, [self = this->shared_from_this(), message](const beast::error_code &error, std::size_t) {
            self->onResponseWritten(error);
        });
    }

    void startStream(const http_response &head) override
    {
        http::response<http::empty_body> message(static_cast<http::status>(head.status), m_version);
        for (const http_field &field : head.fields.all()) {
            message.insert(field.name, field.value);
        }
        m_isChunked = m_version >= 11;
        m_isStreamOpen = true;
        message.chunked(m_isChunked);
        message.keep_alive(m_isChunked && mayKeepAlive());
        std::ostringstream text;
        text << message.base();
        enqueueBytes(text.str());
    }

    void write(std::string_view data) override
    {
        if (data.empty()) {
            return;
        }
        if (!m_isChunked) {
            enqueueBytes(std::string(data));
            return;
        }
        char size[24];
        std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
        enqueueBytes(std::string(size).append(data).append("\r\n"));
    }

    void finishStream() override
    {
        m_isStreamEnded = true;
        m_isStreamOpen = false;
        enqueueBytes(m_isChunked ? "0\r\n\r\n" : "");
    }

private:
    plain_stream &lowestLayer()
    {
        return beast::get_lowest_layer(m_stream);
    }

    bool mayKeepAlive() const
    {
        return m_wantsKeepAlive && !m_server->isStopping;
    }

    /** Parses the bytes at hand, and reads more until the request is complete. */
    void parseRequest()
    {
        beast::error_code error;
        while (m_buffer.size() > 0 && !m_parser->is_done()) {
            const bool wasHeadRead = m_parser->is_header_done();
            const std::size_t parsed = m_parser->put(m_buffer.data(), error);
            m_buffer.consume(parsed);
            m_headBytes += wasHeadRead ? 0 : parsed;
            if (error == http::error::need_more) {
                break;
            }
            if (error) {
                onRequestRead(error);
                return;
            }
            if (!wasHeadRead && m_parser->is_header_done() && !admit(m_parser->content_length().value_or(0))) {
                return;
            }
        }
        if (m_parser->is_header_done() && !admitGrownBody()) {
            return;
        }
        if (m_parser->is_done()) {
            onRequestRead({});
            return;
        }
        awaitRest();
        readSome();
    }

    /** Enters an incomplete request into the reception, and sets the timeout of its next step. */
    void awaitRest()
    {
        if (!m_parser->got_some()) {
            return;
        }
        m_server->idle.leave(this->idlePlace);
        const bool isNew = m_server->requests->enter(*this, reception::clock::now());
        const bool isBody = m_parser->is_header_done();
        if (isNew || (isBody && (m_hasProgressed || !std::exchange(m_isBodyTimed, true)))) {
            lowestLayer().expires_after(isBody ? m_server->options.progressTimeout : m_server->options.headerTimeout);
        }
    }

    void readSome()
    {
        const std::size_t room = m_buffer.max_size() - m_buffer.size();
        if (room == 0) {
            onRequestRead(http::error::buffer_overflow);
            return;
        }
        const std::size_t wanted = m_parser->is_header_done() ? bodyReadBytes : headReadBytes;
        m_stream.async_read_some(m_buffer.prepare(std::min(room, wanted)),
                                 [self = this->shared_from_this()](const beast::error_code &error, std::size_t count) {
                                     self->onBytesRead(error, count);
                                 });
    }

    void onBytesRead(const beast::error_code &error, std::size_t count)
    {
        if (m_isClosed) {
            return;
        }
        if (m_isEvicted) {
            refuseRequest();
            return;
        }
        m_buffer.commit(count);
        if (!m_parser->got_some()) {
            applyLimits(); // They may have changed during the wait.
        }
        m_hasProgressed = m_server->requests->receive(*this, count, reception::clock::now());
        if (error == asio::error::eof) {
            onRequestRead(m_parser->got_some() ? http::error::partial_message : http::error::end_of_stream);
        } else if (error) {
            onRequestRead(error);
        } else {
            parseRequest();
        }
    }

    /** Sets what the kernel keeps of the connection's bytes. A body that is admitted may have more, since its bytes are charged already. */
    void setReceiveBuffer(std::size_t bytes)
    {
        m_receiveBufferBytes = bytes;
        beast::error_code ignored;
        lowestLayer().socket().set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
    }

    void resetReceiveBuffer()
    {
        if (m_receiveBufferBytes > m_server->options.receiveBufferBytes) {
            setReceiveBuffer(m_server->options.receiveBufferBytes);
        }
    }

    /** Charges the request for a body of this size, and for the copies of its head. @return whether there is room; otherwise the request is refused */
    bool admit(std::uint64_t bodyBytes)
    {
        const std::size_t bytes = static_cast<std::size_t>(bodyBytes) + m_headBytes * headCopies;
        if (!m_server->requests->reserve(*this, bytes, reception::clock::now())) {
            logLine(
                log_level::Warning, "body-refused", { { "bytes", std::to_string(bytes) }, { "held", std::to_string(m_server->requests->budget()->held()) } });
            refuseRequest();
            return false;
        }
        const std::size_t useful = std::min<std::size_t>(static_cast<std::size_t>(bodyBytes), mostReceiveBytes);
        if (useful > m_receiveBufferBytes && (useful == mostReceiveBytes || useful >= m_receiveBufferBytes * growthFactor)) {
            setReceiveBuffer(useful);
        }
        return true;
    }

    /** Charges what has come of a body without a length. */
    bool admitGrownBody()
    {
        if (m_parser->content_length()) {
            return true;
        }
        const std::size_t size = m_parser->get().body().size();
        return admit(m_parser->is_done() ? size : size * growthFactor);
    }

    /** Releases the memory and the charge of the request that is being received. */
    void releaseRequest()
    {
        m_parser.reset(); // Assigning an empty text to the body would keep its memory.
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        this->m_charge.release();
        resetReceiveBuffer();
    }

    /** Refuses a request for which there is no room. It has not run. */
    void refuseRequest()
    {
        m_server->requests->leave(*this);
        releaseRequest();
        m_bytesToDiscard = m_server->options.maximumBodyBytes;
        rejectRequest(http::status::service_unavailable);
    }

    void onRequestRead(const beast::error_code &error)
    {
        if (m_isClosed) {
            return;
        }
        m_server->requests->leave(*this);
        if (error == http::error::header_limit || error == http::error::body_limit) {
            rejectRequest(error == http::error::body_limit ? http::status::payload_too_large : http::status::request_header_fields_too_large);
            return;
        }
        if (error && error != http::error::end_of_stream && m_parser->got_some()) {
            rejectRequest(http::status::bad_request);
            return;
        }
        if (error) {
            close();
            return;
        }
        if (!isRequestTarget(m_parser->get().target())) {
            rejectRequest(http::status::bad_request); // http_client would refuse to forward it.
            return;
        }
        beginExchange();
    }

    void rejectRequest(http::status status)
    {
        m_server->idle.leave(this->idlePlace);
        m_wantsKeepAlive = false;
        m_isResponsePending = true;
        ++m_server->inFlight;
        const error_kind kind = status == http::status::bad_request ? error_kind::BadRequest
            : status == http::status::service_unavailable           ? error_kind::MemoryFull
                                                                    : error_kind::TooLarge;
        http_response response = jsonResponse(static_cast<std::uint16_t>(status), "{\"error\":\"" + std::string(answerFor(kind).name) + "\"}");
        response.fields.set("Reedtrail-Outcome", std::string(outcomeText(answerFor(kind).outcome)));
        if (status == http::status::service_unavailable) {
            response.fields.set("Retry-After", std::string(retryAfterWhenFull));
        }
        respond(std::move(response));
    }

    /** Reads what the caller still sends of a refused body, within bounds, so that the close does not reset the connection before the answer is read. */
    void discardRest()
    {
        beast::error_code ignored;
        lowestLayer().socket().shutdown(tcp::socket::shutdown_send, ignored);
        lowestLayer().expires_after(discardTime);
        m_server->idle.touch(this->idlePlace, *this);
        discardSome();
    }

    void discardSome()
    {
        lowestLayer().async_read_some(asio::buffer(m_server->discarded), [self = this->shared_from_this()](const beast::error_code &error, std::size_t count) {
            self->m_bytesToDiscard -= std::min(self->m_bytesToDiscard, count);
            error || self->m_bytesToDiscard == 0 ? self->close() : self->discardSome();
        });
    }

    void beginExchange()
    {
        const auto &message = m_parser->get();
        m_version = message.version();
        m_wantsKeepAlive = message.keep_alive();
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message) {
            request.fields.add(std::string_view(field.name_string().data(), field.name_string().size()), std::string(field.value()));
        }
        request.body = std::move(m_parser->get().body());
        resetReceiveBuffer();
        m_isResponsePending = true;
        m_isStreamEnded = false;
        m_isStreamOpen = false;
        m_isChunked = false;
        m_parser.reset();
        if (m_buffer.size() == 0 && m_buffer.capacity() > headReadBytes) {
            m_buffer.shrink_to_fit();
        }
        ++m_server->inFlight;
        m_server->idle.leave(this->idlePlace);
        lowestLayer().expires_never();
        watchForDisconnect();
        m_server->handle(
            std::make_shared<session_exchange>(this->weak_from_this(), ++m_exchangeNumber, std::move(request), m_server->requests, std::move(this->m_charge)));
    }

    /** Closes the session if the caller disconnects while a response is pending. A pipelined request also wakes this wait and is ignored here. */
    void watchForDisconnect()
    {
        lowestLayer().socket().async_wait(tcp::socket::wait_read,
                                          [self = this->shared_from_this(), number = m_exchangeNumber + 1](const beast::error_code &error) {
                                              if (error || !self->isCurrent(number)) {
                                                  return;
                                              }
                                              char byte = 0;
                                              const ssize_t count = ::recv(self->lowestLayer().socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                                              const bool isDisconnected = count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
                                              if (isDisconnected) {
                                                  self->close();
                                              } else if (count > 0) { // They stay in the kernel until the response is written.
                                                  self->m_server->requests->enter(*self, reception::clock::now());
                                              }
                                          });
    }

    void enqueueBytes(std::string bytes)
    {
        m_queuedBytes += bytes.size();
        m_queue.push_back(std::move(bytes));
        if (m_queuedBytes > m_server->options.maximumQueuedBytes) {
            close();
            return;
        }
        if (m_queue.size() == 1) {
            writeQueued();
        }
    }

    void writeQueued()
    {
        lowestLayer().expires_after(m_server->options.writeTimeout);
        asio::async_write(m_stream, asio::buffer(m_queue.front()), [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
            self->onQueuedWritten(error);
        });
    }

    void onQueuedWritten(const beast::error_code &error)
    {
        if (error || m_isClosed) {
            close();
            return;
        }
        m_queuedBytes -= m_queue.front().size();
        m_queue.pop_front();
        if (!m_queue.empty()) {
            writeQueued();
        } else if (m_isStreamEnded) {
            m_wantsKeepAlive = m_wantsKeepAlive && m_isChunked;
            onResponseWritten({});
        } else {
            lowestLayer().expires_never();
        }
    }

    void onResponseWritten(const beast::error_code &error)
    {
        if (m_isClosed) {
            return;
        }
        if (!error && m_bytesToDiscard > 0) {
            endExchange(false);
            discardRest();
            return;
        }
        if (error || !mayKeepAlive()) {
            endExchange(error.failed());
            close();
            return;
        }
        endExchange(false);
        beast::error_code ignored;
        lowestLayer().socket().cancel(ignored);
        readNext();
    }

    void endExchange(bool isGone)
    {
        if (!m_isResponsePending) {
            return;
        }
        m_isResponsePending = false;
        m_server->requests->leave(*this);
        --m_server->inFlight;
        const std::function<void()> action = std::exchange(this->disconnectAction, nullptr);
        if (isGone && action) {
            action();
        }
    }

    std::shared_ptr<asio::ssl::context> m_context;
    Stream m_stream;
    std::shared_ptr<server_state> m_server;
    beast::flat_buffer m_buffer; ///< Bounded, because the framing of a chunked body has no limit of its own.
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_exchangeNumber = 0;
    unsigned m_version = 11;
    std::size_t m_headBytes = 0; ///< Of the request that is being received, as far as its head is parsed.
    bool m_hasProgressed = false; ///< By the last bytes.
    bool m_isBodyTimed = false; ///< The time limit is that of the body.
    bool m_isEvicted = false; ///< The request that was being received is refused when the pending read ends.
    std::size_t m_receiveBufferBytes = m_server->options.receiveBufferBytes;
    bool m_wantsKeepAlive = true;
    bool m_isResponsePending = false;
    bool m_isChunked = false;
    bool m_isStreamEnded = false;
    bool m_isStreamOpen = false; ///< A stream has begun, and finishStream() has not been called.
    std::size_t m_bytesToDiscard = 0; ///< Of a request whose body was refused, before the connection is closed.
    bool m_isClosed = false;
};

} // namespace reedtrail::detail
