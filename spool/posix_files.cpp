// syncData() uses fdatasync, which also makes the file size durable. Recovery of the journal needs no other metadata.

#include "spool/posix_files.h"

#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace reedtrail {
namespace {

constexpr mode_t folderMode = 0700;
constexpr mode_t fileMode = 0600;

file_error errnoOf(int returnValue)
{
    return returnValue < 0 ? errno : 0;
}

} // namespace

file_error posix_files::makeFolder(const std::string &path)
{
    const file_error error = errnoOf(::mkdir(path.c_str(), folderMode));
    return error == EEXIST ? 0 : error;
}

file_error posix_files::list(const std::string &path, std::vector<std::string> &names)
{
    DIR *folder = ::opendir(path.c_str());
    if (folder == nullptr) {
        return errno;
    }
    for (const dirent *entry = ::readdir(folder); entry != nullptr; entry = ::readdir(folder)) {
        names.emplace_back(entry->d_name);
    }
    ::closedir(folder);
    return 0;
}

file_error posix_files::open(const std::string &path, int &file)
{
    file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    return errnoOf(file);
}

void posix_files::close(int file)
{
    ::close(file);
}

file_error posix_files::sizeOf(int file, std::uint64_t &size)
{
    struct stat status = {};
    const file_error error = errnoOf(::fstat(file, &status));
    size = static_cast<std::uint64_t>(status.st_size);
    return error;
}

file_error posix_files::writeAt(int file, std::uint64_t offset, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::pwrite(file, bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return written == 0 ? EIO : errno;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
        offset += static_cast<std::uint64_t>(written);
    }
    return 0;
}

file_error posix_files::readAt(int file, std::uint64_t offset, std::size_t count, std::string &target)
{
    target.resize(count);
    std::size_t totalBytes = 0;
    while (totalBytes < count) {
        const ssize_t readBytes = ::pread(file, target.data() + totalBytes, count - totalBytes, static_cast<off_t>(offset + totalBytes));
        if (readBytes < 0 && errno == EINTR) {
            continue;
        }
        if (readBytes < 0) {
            return errno;
        }
        if (readBytes == 0) {
            break;
        }
        totalBytes += static_cast<std::size_t>(readBytes);
    }
    target.resize(totalBytes);
    return 0;
}

file_error posix_files::syncData(int file)
{
    return errnoOf(::fdatasync(file));
}

file_error posix_files::syncFolder(const std::string &path)
{
    const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
        return errno;
    }
    const file_error error = errnoOf(::fsync(folder));
    ::close(folder);
    return error;
}

file_error posix_files::truncate(int file, std::uint64_t size)
{
    return errnoOf(::ftruncate(file, static_cast<off_t>(size)));
}

file_error posix_files::remove(const std::string &path)
{
    return errnoOf(::unlink(path.c_str()));
}

} // namespace reedtrail
