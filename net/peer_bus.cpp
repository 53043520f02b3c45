// Each question has a correlation number that is unique in this process. An answer is accepted only on the same link and with the number of a pending question,
// so duplicate answers and answers from before a reconnect are ignored. Messages with unknown names are ignored because newer releases may send new types.

#include "net/peer_bus.h"

#include "base/random.h"
#include "kernel/log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace reedtrail {

struct peer_bus::implementation : std::enable_shared_from_this<peer_bus::implementation>
{
    struct persistent_connection
    {
        peer_connection_handlers handlers;
        std::optional<link_id> link;
        bool isUp = false;
        duration retryDelay{};
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    struct pending_question
    {
        link_id link = 0;
        answer_handler onAnswer;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    boost::asio::io_context &io;
    peer_bus_options options;
    random_source random;
    std::map<std::string, raw_handler, std::less<>> handlersByName;
    std::map<endpoint, persistent_connection> persistentConnections;
    std::map<link_id, endpoint> endpointByLink;
    std::map<std::uint64_t, pending_question> questions;
    std::map<std::string, message_traffic, std::less<>> trafficByName;
    std::function<void(link_id, const std::string &)> linkClosedAction;
    std::uint64_t nextCorrelation = 1;
    bool isStopped = false;
    std::unique_ptr<peer_transport> transport;

    implementation(boost::asio::io_context &context, peer_bus_options theOptions)
        : io(context)
        , options(theOptions)
        , random(theOptions.seed)
    {
    }

    void connectPersistent(const endpoint &where)
    {
        const auto found = persistentConnections.find(where);
        if (isStopped || found == persistentConnections.end() || found->second.link) {
            return;
        }
        const link_id link = transport->connect(where.ip, where.port);
        found->second.link = link;
        endpointByLink[link] = where;
    }

    void handleLinkOpened(link_id link)
    {
        const auto found = endpointByLink.find(link);
        if (found == endpointByLink.end()) {
            return;
        }
        persistent_connection &connection = persistentConnections.at(found->second);
        connection.isUp = true;
        connection.retryDelay = options.firstRetryDelay;
        if (connection.handlers.onUp) {
            connection.handlers.onUp(link);
        }
    }

    void handleLinkClosed(link_id link, const std::string &reason)
    {
        failQuestionsOn(link, reason);
        if (linkClosedAction) {
            linkClosedAction(link, reason);
        }
        const auto found = endpointByLink.find(link);
        if (found == endpointByLink.end()) {
            return;
        }
        const endpoint where = found->second;
        endpointByLink.erase(found);
        const auto connection = persistentConnections.find(where);
        if (connection == persistentConnections.end()) {
            return;
        }
        connection->second.link.reset();
        connection->second.isUp = false;
        scheduleRetry(where, connection->second);
        if (connection->second.handlers.onDown) {
            const auto action = connection->second.handlers.onDown;
            action();
        }
    }

    void scheduleRetry(const endpoint &where, persistent_connection &connection)
    {
        connection.retryDelay = std::clamp(connection.retryDelay, options.firstRetryDelay, options.longestRetryDelay);
        const auto delay = duration(static_cast<std::int64_t>(static_cast<double>(connection.retryDelay.count()) * random.uniform(0.5, 1.5)));
        connection.retryDelay *= 2;
        connection.timer->expires_after(delay);
        connection.timer->async_wait([self = weak_from_this(), where](const boost::system::error_code &error) {
            const auto locked = self.lock();
            if (!error && locked) {
                locked->connectPersistent(where);
            }
        });
    }

    void handleBytes(link_id link, const std::string &bytes)
    {
        const std::span<const std::uint8_t> data(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
        const std::optional<failure> error = failureOf([&]() -> result<void> {
            BOOST_LEAF_AUTO(message, decodeEnvelope(data));
            message_traffic &count = trafficByName[message.name];
            ++count.receivedMessages;
            count.receivedBytes += bytes.size();
            dispatch(link, message);
            return {};
        });
        if (error) {
            logLine(log_level::Warning, "peer-message-refused", { { "reason", error->detail } });
            transport->close(link);
        }
    }

    void dispatch(link_id link, const envelope &message)
    {
        if (message.isAnswer) {
            handleAnswer(link, message);
            return;
        }
        const auto found = handlersByName.find(message.name);
        if (found == handlersByName.end()) {
            return;
        }
        const std::optional<failure> error = found->second(link, message);
        if (error) {
            logLine(log_level::Warning, "peer-message-refused", { { "message", message.name }, { "reason", error->detail } });
        }
    }

    void handleAnswer(link_id link, const envelope &message)
    {
        const auto found = questions.find(message.correlation);
        if (found == questions.end() || found->second.link != link) {
            return;
        }
        const answer_handler onAnswer = std::move(found->second.onAnswer);
        questions.erase(found);
        onAnswer(nullptr, &message);
    }

    void failQuestion(std::uint64_t correlation, const std::string &reason)
    {
        const auto found = questions.find(correlation);
        if (found == questions.end()) {
            return;
        }
        const answer_handler onAnswer = std::move(found->second.onAnswer);
        questions.erase(found);
        const failure error{ error_kind::PeerUnreachable, reason };
        onAnswer(&error, nullptr);
    }

    void failQuestionsOn(link_id link, const std::string &reason)
    {
        std::vector<std::uint64_t> failedCorrelations;
        for (const auto &[correlation, question] : questions) {
            if (question.link == link) {
                failedCorrelations.push_back(correlation);
            }
        }
        for (const std::uint64_t correlation : failedCorrelations) {
            failQuestion(correlation, "link closed: " + reason);
        }
    }
};

peer_bus::peer_bus(boost::asio::io_context &io, peer_bus_options options)
    : m_implementation(std::make_shared<implementation>(io, options))
{
    implementation *self = m_implementation.get();
    peer_transport_handlers handlers;
    handlers.onOpen = [self](link_id link) {
        self->handleLinkOpened(link);
    };
    handlers.onMessage = [self](link_id link, const std::string &bytes) {
        self->handleBytes(link, bytes);
    };
    handlers.onClose = [self](link_id link, const std::string &reason) {
        self->handleLinkClosed(link, reason);
    };
    m_implementation->transport = std::make_unique<peer_transport>(io, options.transport, std::move(handlers));
}

peer_bus::~peer_bus()
{
    stop();
}

result<void> peer_bus::listen(const endpoint &where)
{
    const std::string error = m_implementation->transport->listen(where.ip, where.port);
    if (!error.empty()) {
        return fail(error_kind::PeerUnreachable, "cannot listen on " + where.text() + ": " + error);
    }
    return {};
}

void peer_bus::keepConnected(const endpoint &where, peer_connection_handlers handlers)
{
    implementation::persistent_connection &connection = m_implementation->persistentConnections[where];
    connection.handlers = std::move(handlers);
    if (!connection.timer) {
        connection.timer = std::make_unique<boost::asio::steady_timer>(m_implementation->io);
        m_implementation->connectPersistent(where);
    }
}

void peer_bus::disconnect(const endpoint &where)
{
    const auto found = m_implementation->persistentConnections.find(where);
    if (found == m_implementation->persistentConnections.end()) {
        return;
    }
    const std::optional<link_id> link = found->second.link;
    m_implementation->persistentConnections.erase(found);
    if (link) {
        m_implementation->endpointByLink.erase(*link);
        m_implementation->transport->close(*link);
    }
}

std::optional<link_id> peer_bus::linkTo(const endpoint &where) const
{
    const auto found = m_implementation->persistentConnections.find(where);
    const bool isUp = found != m_implementation->persistentConnections.end() && found->second.isUp;
    return isUp ? found->second.link : std::nullopt;
}

void peer_bus::onLinkClosed(std::function<void(link_id, const std::string &)> action)
{
    m_implementation->linkClosedAction = std::move(action);
}

void peer_bus::stop()
{
    m_implementation->isStopped = true;
    m_implementation->questions.clear();
    m_implementation->persistentConnections.clear();
    m_implementation->transport->stop();
}

void peer_bus::setHandler(std::string name, raw_handler action)
{
    m_implementation->handlersByName[std::move(name)] = std::move(action);
}

bool peer_bus::sendBytes(link_id link, std::string_view name, std::span<const std::uint8_t> bytes)
{
    const bool isSent = m_implementation->transport->send(link, std::string(bytes.begin(), bytes.end()));
    if (isSent) {
        message_traffic &count = m_implementation->trafficByName[std::string(name)];
        ++count.sentMessages;
        count.sentBytes += bytes.size();
    }
    return isSent;
}

std::uint64_t peer_bus::beginQuestion(link_id link, duration timeout, answer_handler onAnswer)
{
    if (m_implementation->questions.size() >= m_implementation->options.maximumPendingQuestions) {
        boost::asio::post(m_implementation->io, [onAnswer = std::move(onAnswer)] {
            const failure error{ error_kind::PeerUnreachable, "too many questions pending" };
            onAnswer(&error, nullptr);
        });
        return 0;
    }
    const std::uint64_t correlation = m_implementation->nextCorrelation++;
    implementation::pending_question question{ link, std::move(onAnswer), std::make_unique<boost::asio::steady_timer>(m_implementation->io) };
    question.timer->expires_after(timeout);
    question.timer->async_wait([self = m_implementation->weak_from_this(), correlation](const boost::system::error_code &error) {
        const auto locked = self.lock();
        if (!error && locked) {
            locked->failQuestion(correlation, "no answer within the timeout");
        }
    });
    m_implementation->questions.emplace(correlation, std::move(question));
    return correlation;
}

void peer_bus::failQuestion(std::uint64_t correlation, const std::string &reason)
{
    boost::asio::post(m_implementation->io, [self = m_implementation->weak_from_this(), correlation, reason] {
        if (const auto locked = self.lock()) {
            locked->failQuestion(correlation, reason);
        }
    });
}

const std::map<std::string, message_traffic, std::less<>> &peer_bus::traffic() const
{
    return m_implementation->trafficByName;
}

} // namespace reedtrail
