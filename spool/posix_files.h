/**
 * @file
 * The file operations that the journal uses, as a concept and as a POSIX implementation. Tests substitute an implementation that injects crashes and
 * write errors.
 */
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace reedtrail {

/** Result of a file operation: 0 on success, otherwise an errno value. */
using file_error = int;

/** File operations that a journal requires. Paths are absolute or relative to the working directory; each operation returns 0 or an errno value. */
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

/** POSIX implementation of journal_files. Operations on different files may run on different threads. */
class posix_files
{
public:
    /** Creates a folder. Succeeds if the folder already exists. */
    file_error makeFolder(const std::string &path);
    /** Appends the names of all entries of a folder to @p names. */
    file_error list(const std::string &path, std::vector<std::string> &names);
    /** Opens a file for reading and writing and creates it if it does not exist. @param file receives the descriptor */
    file_error open(const std::string &path, int &file);
    /** Closes a descriptor from open(). */
    void close(int file);
    /** Returns the size of a file in bytes in @p size. */
    file_error sizeOf(int file, std::uint64_t &size);
    /** Writes all of @p bytes at @p offset; repeats interrupted and partial writes. */
    file_error writeAt(int file, std::uint64_t offset, std::string_view bytes);
    /** Reads @p count bytes into @p target, or fewer if the file ends before. */
    file_error readAt(int file, std::uint64_t offset, std::size_t count, std::string &target);
    /** Makes the data of a file, and its size, durable. */
    file_error syncData(int file);
    /** Makes the directory entries of a folder durable, such as that of a new file. */
    file_error syncFolder(const std::string &path);
    /** Sets the size of a file in bytes. */
    file_error truncate(int file, std::uint64_t size);
    /** Deletes a file. */
    file_error remove(const std::string &path);
};

} // namespace reedtrail
