/**
 * @file
 * The few file operations that the journal needs, as a concept and over POSIX, so that tests can cut them short at any point.
 */
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Outcome of a file operation: 0, or an errno value. */
using file_error = int;

/** What a journal asks of files. Paths are absolute or relative to the working directory; each operation returns 0 or an errno value. */
template<class Files>
concept journal_files = requires(Files &files,
                                 const std::string &path,
                                 int file,
                                 std::uint64_t &offset,
                                 std::string_view bytes,
                                 std::string &target,
                                 std::vector<std::string> &names,
                                 std::size_t count)
{
    {
        files.makeFolder(path)
        } -> std::same_as<file_error>;
    {
        files.list(path, names)
        } -> std::same_as<file_error>;
    {
        files.open(path, file)
        } -> std::same_as<file_error>;
    { files.close(file) };
    {
        files.sizeOf(file, offset)
        } -> std::same_as<file_error>;
    {
        files.writeAt(file, offset, bytes)
        } -> std::same_as<file_error>;
    {
        files.readAt(file, offset, count, target)
        } -> std::same_as<file_error>;
    {
        files.syncData(file)
        } -> std::same_as<file_error>;
    {
        files.syncFolder(path)
        } -> std::same_as<file_error>;
    {
        files.truncate(file, offset)
        } -> std::same_as<file_error>;
    {
        files.remove(path)
        } -> std::same_as<file_error>;
};

/** The operations over POSIX. Different files may be used from different threads. */
class posix_files
{
public:
    /** Creates a folder; one that is there is fine. */
    file_error makeFolder(const std::string &path);
    /** Lists the names in a folder. */
    file_error list(const std::string &path, std::vector<std::string> &names);
    /** Opens a file for reading and writing, creating it if need be. */
    file_error open(const std::string &path, int &file);
    void close(int file);
    /** Returns the size of a file in bytes in @p size. */
    file_error sizeOf(int file, std::uint64_t &size);
    /** Writes all of @p bytes. */
    file_error writeAt(int file, std::uint64_t offset, std::string_view bytes);
    /** Reads up to @p count bytes; fewer at the end of the file. */
    file_error readAt(int file, std::uint64_t offset, std::size_t count, std::string &target);
    /** Makes the data of a file, and its size, durable. */
    file_error syncData(int file);
    /** Makes the names in a folder durable. */
    file_error syncFolder(const std::string &path);
    file_error truncate(int file, std::uint64_t size);
    file_error remove(const std::string &path);
};

} // namespace reedtrail
