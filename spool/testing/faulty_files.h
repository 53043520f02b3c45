/**
 * @file
 * Fault injection for the journal: operations on the real file system, with a simulated crash at one operation or a full disk for a range of operations.
 */
#pragma once

#include "base/random.h"
#include "spool/posix_files.h"

#include <algorithm>
#include <cerrno>
#include <map>

namespace reedtrail {

/** Which data a simulated crash leaves on the disk. */
enum class crash_kind : std::uint8_t {
    ProcessKilled, ///< All written bytes survive, synced or not.
    PowerLost, ///< A random prefix of the bytes that were written but not synced survives.
    PowerLostWithZeros, ///< As PowerLost, but the file keeps its size and lost bytes read as zeros.
};

/** The faults to inject. Operations that open, change or sync files are counted from 1. */
struct file_faults
{
    std::uint64_t crashAtOperation = 0; ///< Number of the operation at which the crash happens, or 0 for no crash.
    crash_kind kind = crash_kind::ProcessKilled;
    std::uint64_t failFrom = 0; ///< Operations in [failFrom, failUntil) fail with ENOSPC.
    std::uint64_t failUntil = 0; ///< End of the range of failFrom, exclusive.
    std::uint64_t seed = 1; ///< Seed of the random sizes of partial writes and surviving data.
};

/** An implementation of journal_files that injects faults. After the crash all counted operations fail and change nothing. */
class faulty_files
{
public:
    explicit faulty_files(file_faults faults)
        : m_faults(faults)
        , m_random(faults.seed)
    {
    }
    bool isCrashed() const
    {
        return m_isCrashed;
    }
    std::uint64_t operations() const
    {
        return m_operations;
    }
    /** Discards unsynced data after a crash, as file_faults::kind says. */
    void discardUnsyncedData()
    {
        if (!m_isCrashed || m_faults.kind == crash_kind::ProcessKilled) {
            return;
        }
        for (const auto &[path, size] : m_writtenSizes) {
            const std::uint64_t synced = m_syncedSizes[path];
            int file = -1;
            if (size > synced && m_files.open(path, file) == 0) {
                m_files.truncate(file, synced + m_random.below(size - synced + 1));
                if (m_faults.kind == crash_kind::PowerLostWithZeros) {
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
        if (!beginOperation()) {
            return operationError();
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
        const bool wasCrashed = m_isCrashed;
        if (!beginOperation()) {
            if (!wasCrashed) {
                writeAndRecord(file, offset, bytes.substr(0, m_random.below(bytes.size() + 1)));
            }
            return operationError();
        }
        return writeAndRecord(file, offset, bytes);
    }
    file_error readAt(int file, std::uint64_t offset, std::size_t count, std::string &target)
    {
        return m_files.readAt(file, offset, count, target);
    }
    file_error syncData(int file)
    {
        if (!beginOperation()) {
            return operationError();
        }
        m_syncedSizes[m_paths[file]] = m_writtenSizes[m_paths[file]];
        return m_files.syncData(file);
    }
    file_error syncFolder(const std::string &path)
    {
        return beginOperation() ? m_files.syncFolder(path) : operationError();
    }
    file_error truncate(int file, std::uint64_t size)
    {
        if (!beginOperation()) {
            return operationError();
        }
        m_writtenSizes[m_paths[file]] = std::min(m_writtenSizes[m_paths[file]], size);
        m_syncedSizes[m_paths[file]] = std::min(m_syncedSizes[m_paths[file]], size);
        return m_files.truncate(file, size);
    }
    file_error remove(const std::string &path)
    {
        if (!beginOperation()) {
            return operationError();
        }
        m_writtenSizes.erase(path);
        m_syncedSizes.erase(path);
        return m_files.remove(path);
    }

private:
    /** Counts an operation and applies the faults to it. @return whether the operation is executed */
    bool beginOperation()
    {
        if (m_isCrashed) {
            return false;
        }
        ++m_operations;
        m_isCrashed = m_operations == m_faults.crashAtOperation;
        const bool isFull = m_operations >= m_faults.failFrom && m_operations < m_faults.failUntil;
        return !m_isCrashed && !isFull;
    }
    file_error operationError() const
    {
        return m_isCrashed ? EIO : ENOSPC;
    }
    /** Writes @p bytes and records the written size of the file. */
    file_error writeAndRecord(int file, std::uint64_t offset, std::string_view bytes)
    {
        std::uint64_t &written = m_writtenSizes[m_paths[file]];
        written = std::max(written, offset + bytes.size());
        return m_files.writeAt(file, offset, bytes);
    }

    posix_files m_files;
    file_faults m_faults;
    random_source m_random;
    std::uint64_t m_operations = 0;
    bool m_isCrashed = false;
    std::map<int, std::string> m_paths;
    std::map<std::string, std::uint64_t> m_writtenSizes;
    std::map<std::string, std::uint64_t> m_syncedSizes;
};

} // namespace reedtrail
