/**
 * @file
 * Attempts that ended without an answer and after which the server's address still accepted connections. Makes no I/O calls.
 *
 * A server that ends under a request and restarts within milliseconds, or whose socket another process holds, still accepts connections at its address. Its
 * registration tells later: it shows another instance, under the same id or at the same address. If the server stopped answering, its registration may also
 * lapse without a successor; nothing but an answer shows then that it goes on.
 */
#pragma once

#include "base/time.h"
#include "fleet/request_identity.h"
#include "fleet/server_directory.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace reedtrail {

/** Remembers broken attempts until a registration shows whether their server has ended. */
class broken_attempts
{
public:
    static constexpr duration memory = std::chrono::seconds(5); ///< Covers a restart, and the time until its registration is read.
    static constexpr duration silentMemory = std::chrono::seconds(15); ///< Covers the lapse of a registration, too.
    static constexpr std::size_t maxAttempts = 256; ///< The oldest one is forgotten first.

    /** One attempt. */
    struct attempt
    {
        request_identity identity;
        std::string request; ///< Id of the caller's request, for the log.
        std::string server;
        endpoint address;
        std::int64_t startedAt = 0; ///< Of the server's instance, as server_entry::startedAt.
        time_point brokenAt;
        bool isSilent = false; ///< Whether the server did not answer, instead of closing the connection.
    };

    void add(attempt broken)
    {
        if (m_attempts.size() == maxAttempts) {
            m_attempts.erase(m_attempts.begin());
        }
        m_attempts.push_back(std::move(broken));
    }
    /** Forgets the silent attempts of an instance, which has answered another request since. */
    void recordAnswer(const std::string &server, std::int64_t startedAt)
    {
        std::erase_if(m_attempts, [&](const attempt &each) {
            return each.isSilent && each.server == server && each.startedAt == startedAt;
        });
    }
    /**
     * Removes and returns the attempts whose server has been replaced by a later instance, or was silent and is not registered any more. A silent server that
     * drains is not waited for: it ends by itself.
     */
    std::vector<attempt> takeEnded(time_point now, const server_directory &servers)
    {
        std::vector<attempt> ended;
        std::erase_if(m_attempts, [&](attempt &each) {
            const server_entry *registered = servers.find(each.server);
            const bool isLeaving = each.isSilent && ((registered != nullptr && registered->isDraining) || servers.leavingSince(each.server));
            if (isLeaving || now - each.brokenAt > (each.isSilent ? silentMemory : memory)) {
                return true;
            }
            const bool isReplaced = std::ranges::any_of(servers.all(), [&](const server_entry *entry) {
                return entry->startedAt > each.startedAt && (entry->id == each.server || entry->address == each.address);
            });
            const bool hasLapsed = each.isSilent && registered == nullptr;
            if (isReplaced || hasLapsed) {
                ended.push_back(std::move(each));
            }
            return isReplaced || hasLapsed;
        });
        return ended;
    }
    bool isEmpty() const
    {
        return m_attempts.empty();
    }

private:
    std::vector<attempt> m_attempts;
};

} // namespace reedtrail
