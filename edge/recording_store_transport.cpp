// Long polls are left out of the failures, because their end without an answer says nothing of the store.

#include "edge/recording_store_transport.h"

#include "net/http_status.h"

namespace reedtrail {
namespace {

constexpr duration longPollTimeout = std::chrono::seconds(5); // Calls with a longer timeout wait for changes; a store that is well cuts them too.

} // namespace

platform::store_transport::cancel_action
recording_store_transport::call(const std::string &method, const std::string &target, std::string body, duration timeout, reply_handler onReply)
{
    const time_point begunAt = m_loop.now();
    return m_inner.call(method, target, std::move(body), timeout, [this, begunAt, timeout, onReply = std::move(onReply)](const reply &answer) {
        if (answer.isAnswered && answer.status != http_status::tooMany && answer.status != http_status::unavailable) {
            m_outages.recordContact(begunAt, m_loop.now());
        } else if (timeout < longPollTimeout) {
            m_outages.recordFailure();
        }
        onReply(answer);
    });
}

} // namespace reedtrail
