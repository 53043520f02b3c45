/**
 * @file
 * Files on the real file system whose operations can be cut short: the process dies at one of them, or the disk is full for a while.
 */
#pragma once

#include "base/random.h"
#include "spool/posix_files.h"

#include <algorithm>
#include <cerrno>
#include <map>

namespace reedtrail {

/** How the process dies. */
enum class death_kind : std::uint8_t {
    ProcessKilled, ///< What was written stays, synced or not.
    PowerLost, ///< Of what was written and not synced, a random part from the front stays.
    PowerLostWithZeros, ///< The same, and the file keeps its size, with zeros for what was lost.
};

/** When what goes wrong. Operations that change something are counted from 1. */
struct file_faults
{
    std::uint64_t dieAtOperation = 0; ///< 0 for never.
    death_kind kind = death_kind::ProcessKilled;
    std::uint64_t failFrom = 0; ///< Operations in [failFrom, failUntil) fail with ENOSPC.
    std::uint64_t failUntil = 0;
    std::uint64_t seed = 1;
};

/** The files. After the death every operation fails and changes nothing. */
class faulty_files
{
public:
    explicit faulty_files(file_faults faults)
        : m_faults(faults)
        , m_random(faults.seed)
    {
    }
    bool isDead() const
    {
        return m_isDead;
    }
    std::uint64_t operations() const
    {
        return m_operations;
    }
    /** After the death: loses what a loss of power loses. */
    void settle()
    {
        if (!m_isDead || m_faults.kind == death_kind::ProcessKilled) {
            return;
        }
        for (const auto &[path, size] : m_written) {
            const std::uint64_t synced = m_synced[path];
            int file = -1;
            if (size > synced && m_files.open(path, file) == 0) {
                m_files.truncate(file, synced + m_random.below(size - synced + 1));
                if (m_faults.kind == death_kind::PowerLostWithZeros) {
                    m_files.truncate(file, size);
                }
                m_files.close(file);
            }
        }
    }

    file_error makeFolder(const std::string &path)
    {
        return m_files.makeFolder(path);
    }
    file_error list(const std::string &path, std::vector<std::string> &names)
    {
        return m_files.list(path, names);
    }
    file_error open(const std::string &path, int &file)
    {
        if (!proceeds()) {
            return refusal();
        }
        const file_error error = m_files.open(path, file);
        m_paths[file] = path;
        return error;
    }
    void close(int file)
    {
        m_files.close(file);
    }
    file_error sizeOf(int file, std::uint64_t &size)
    {
        return m_files.sizeOf(file, size);
    }
    file_error writeAt(int file, std::uint64_t offset, std::string_view bytes)
    {
        const bool wasDead = m_isDead;
        if (!proceeds()) {
            if (!wasDead) {
                note(file, offset, bytes.substr(0, m_random.below(bytes.size() + 1)));
            }
            return refusal();
        }
        return note(file, offset, bytes);
    }
    file_error readAt(int file, std::uint64_t offset, std::size_t count, std::string &target)
    {
        return m_files.readAt(file, offset, count, target);
    }
    file_error syncData(int file)
    {
        if (!proceeds()) {
            return refusal();
        }
        m_synced[m_paths[file]] = m_written[m_paths[file]];
        return m_files.syncData(file);
    }
    file_error syncFolder(const std::string &path)
    {
        return proceeds() ? m_files.syncFolder(path) : refusal();
    }
    file_error truncate(int file, std::uint64_t size)
    {
        if (!proceeds()) {
            return refusal();
        }
        m_written[m_paths[file]] = std::min(m_written[m_paths[file]], size);
        m_synced[m_paths[file]] = std::min(m_synced[m_paths[file]], size);
        return m_files.truncate(file, size);
    }
    file_error remove(const std::string &path)
    {
        if (!proceeds()) {
            return refusal();
        }
        m_written.erase(path);
        m_synced.erase(path);
        return m_files.remove(path);
    }

private:
    /** Counts an operation. @return whether it is to be done */
    bool proceeds()
    {
        if (m_isDead) {
            return false;
        }
        ++m_operations;
        m_isDead = m_operations == m_faults.dieAtOperation;
        const bool isFull = m_operations >= m_faults.failFrom && m_operations < m_faults.failUntil;
        return !m_isDead && !isFull;
    }
    file_error refusal() const
    {
        return m_isDead ? EIO : ENOSPC;
    }
    file_error note(int file, std::uint64_t offset, std::string_view bytes)
    {
        std::uint64_t &written = m_written[m_paths[file]];
        written = std::max(written, offset + bytes.size());
        return m_files.writeAt(file, offset, bytes);
    }

    posix_files m_files;
    file_faults m_faults;
    random_source m_random;
    std::uint64_t m_operations = 0;
    bool m_isDead = false;
    std::map<int, std::string> m_paths;
    std::map<std::string, std::uint64_t> m_written;
    std::map<std::string, std::uint64_t> m_synced;
};

} // namespace reedtrail
