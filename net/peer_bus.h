/**
 * @file
 * Typed CBOR messages between the processes of the system, over WebSocket links.
 *
 *     peer_bus bus(io, {});
 *     bus.onMessage<load_digest>([](link_id from, load_digest digest) { ... });
 *     bus.onQuestion<read_payload, payload_part>([](link_id from, read_payload question, peer_bus::reply<payload_part> reply) { reply(part); });
 *     bus.listen(where);
 *     bus.keepConnected(peer, {.onUp = [](link_id link) { ... }, .onDown = [] { ... }});    // reconnects with jittered backoff
 *     bus.ask<payload_part>(link, read_payload{...}, 2s, [](std::optional<failure> error, payload_part part) { ... });
 */
#pragma once

#include "base/cbor_codec.h"
#include "base/time.h"
#include "net/endpoint.h"
#include "net/transport/peer_transport.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace reedtrail {

/** Callbacks of a persistent connection. */
struct peer_connection_handlers
{
    std::function<void(link_id link)> onUp;
    std::function<void()> onDown; ///< Also runs after each failed connection attempt.
};

/** Traffic counters of one message type. */
struct message_traffic
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
};

/** Limits and timeouts of a bus. */
struct peer_bus_options
{
    peer_transport_options transport;
    duration firstRetryDelay = std::chrono::milliseconds(100);
    duration longestRetryDelay = std::chrono::seconds(3);
    std::size_t maximumPendingQuestions = 65536;
    std::uint64_t seed = 1; ///< Seed of the jitter of reconnect delays.
};

/** Sends and receives typed messages and request-response pairs (questions and answers) on links to other processes. */
class peer_bus
{
public:
    /** Function that answers a question. Call it once, from the handler or later. */
    template<class Answer>
    using reply = std::function<void(const Answer &answer)>;

    peer_bus(boost::asio::io_context &io, peer_bus_options options);
    ~peer_bus();
    peer_bus(const peer_bus &) = delete;
    peer_bus &operator=(const peer_bus &) = delete;

    /** Starts to accept links. @return PeerUnreachable if the address cannot be bound */
    result<void> listen(const endpoint &where);
    /** Connects to @p where and reconnects after each loss until disconnect() is called. */
    void keepConnected(const endpoint &where, peer_connection_handlers handlers);
    /** Closes the persistent connection to @p where and stops reconnecting. */
    void disconnect(const endpoint &where);
    /** Returns the link of the persistent connection to @p where, if it is open. */
    std::optional<link_id> linkTo(const endpoint &where) const;
    /** Sets an action that runs when any link closes, including accepted links. */
    void onLinkClosed(std::function<void(link_id link, const std::string &reason)> action);
    /** Closes the listening socket and all links. Callbacks of pending questions do not run. */
    void stop();

    /** Sets the handler for messages of type Message. */
    template<class Message>
    void onMessage(std::function<void(link_id from, Message message)> action)
    {
        setHandler(std::string(Message::messageName), [action = std::move(action)](link_id from, const envelope &received) {
            return failureOf([&]() -> result<void> {
                BOOST_LEAF_AUTO(message, decodeBody<Message>(received));
                action(from, std::move(message));
                return {};
            });
        });
    }
    /** Sets the handler for questions of type Question, which are answered with an Answer. */
    template<class Question, class Answer>
    void onQuestion(std::function<void(link_id from, Question question, reply<Answer> reply)> action)
    {
        setHandler(std::string(Question::messageName), [this, action = std::move(action)](link_id from, const envelope &received) {
            return failureOf([&]() -> result<void> {
                BOOST_LEAF_AUTO(question, decodeBody<Question>(received));
                action(from, std::move(question), [this, from, correlation = received.correlation](const Answer &answer) {
                    sendBytes(from, Answer::messageName, encodeMessage(answer, correlation, true));
                });
                return {};
            });
        });
    }
    /** Sends a message. @return false if the link is not open */
    template<class Message>
    bool send(link_id link, const Message &message)
    {
        return sendBytes(link, Message::messageName, encodeMessage(message));
    }
    /** Sends a question. @p onAnswer runs once, with PeerUnreachable if the link closes or no answer arrives within @p timeout. */
    template<class Answer, class Question>
    void ask(link_id link, const Question &question, duration timeout, std::function<void(std::optional<failure> error, Answer answer)> onAnswer)
    {
        const std::uint64_t correlation = beginQuestion(link, timeout, [onAnswer = std::move(onAnswer)](const failure *error, const envelope *received) {
            Answer answer{};
            std::optional<failure> problem;
            if (error != nullptr) {
                problem = *error;
            } else {
                problem = failureOf([&]() -> result<void> {
                    BOOST_LEAF_ASSIGN(answer, decodeBody<Answer>(*received));
                    return {};
                });
            }
            onAnswer(std::move(problem), std::move(answer));
        });
        if (correlation != 0 && !sendBytes(link, Question::messageName, encodeMessage(question, correlation))) {
            failQuestion(correlation, "link is not open");
        }
    }
    /** Returns the traffic counters by message name. */
    const std::map<std::string, message_traffic, std::less<>> &traffic() const;

private:
    using raw_handler = std::function<std::optional<failure>(link_id from, const envelope &received)>;
    using answer_handler = std::function<void(const failure *error, const envelope *received)>;

    void setHandler(std::string name, raw_handler action);
    bool sendBytes(link_id link, std::string_view name, std::span<const std::uint8_t> bytes);
    std::uint64_t beginQuestion(link_id link, duration timeout, answer_handler onAnswer);
    void failQuestion(std::uint64_t correlation, const std::string &reason);

    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace reedtrail
