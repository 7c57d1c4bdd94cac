#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace vanillalift::raft {

enum class StorageErrorCode : uint8_t {
    /// Another process holds the folder.
    Locked,
    /// A file's content is not what was written, before the tail that a crash may tear.
    Corrupted,
    ReadFailed,
    WriteFailed,
    /// After a failed sync the kernel may have dropped the data, so a repeated sync proves nothing.
    SyncFailed,
    DiskFull,
    StorageErrorCodeCount,
};

struct StorageError {
    StorageErrorCode code = StorageErrorCode::WriteFailed;
    std::string file;
    std::string detail;
};

std::string describe(const StorageError& error);

template <typename T>
using StorageResult = tl::expected<T, StorageError>;

/// Files of one folder, as far as the log needs them. Tests inject crashes and errors here.
class Disk {
public:
    virtual ~Disk() = default;
    /// @returns the names of all files, sorted.
    virtual StorageResult<std::vector<std::string>> list() = 0;
    virtual StorageResult<std::string> read(const std::string& name) = 0;
    /// Appends to an existing file; durable after sync().
    virtual StorageResult<void> append(const std::string& name, std::string_view bytes) = 0;
    virtual StorageResult<void> sync(const std::string& name) = 0;
    /// Creates or replaces a file in one step that a crash cannot split. Durable on return.
    virtual StorageResult<void> replace(const std::string& name, std::string_view bytes) = 0;
    /// Cuts a file. Durable on return.
    virtual StorageResult<void> truncate(const std::string& name, uint64_t size) = 0;
    virtual StorageResult<void> remove(const std::string& name) = 0;
};

/// Opens a folder, created if it is missing, and holds an advisory lock on it.
StorageResult<std::unique_ptr<Disk>> openFolder(const std::string& path);

} // namespace vanillalift::raft
