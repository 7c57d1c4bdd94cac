#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace vanillalift::raft {

enum class StorageErrorCode : uint8_t {
    /// Another process holds the lock of the folder.
    Locked,
    /// A file differs from what was written, other than by a torn write at the end of the log.
    Corrupted,
    ReadFailed,
    WriteFailed,
    /// After a failed fsync the kernel may have dropped the dirty pages, so a later fsync that succeeds proves nothing.
    SyncFailed,
    /// The disk is full, a limit is reached, or descriptors or memory are short. Nothing is damaged, and the same may work later.
    OutOfResources,
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

/// Whether a folder holds files that were set aside because of damage.
enum class SetAsideState : uint8_t {
    Never,
    /// A crash interrupted it, so that the remaining files are no state to start from, whatever they look like.
    Interrupted,
    Done,
};

/// File operations that the log needs in its folder. Tests inject crashes and I/O errors here.
class Disk {
public:
    virtual ~Disk() = default;
    /// @returns the names of all files, sorted.
    virtual StorageResult<std::vector<std::string>> list() = 0;
    virtual StorageResult<std::string> read(const std::string& name) = 0;
    /// Appends to an existing file; durable after sync().
    virtual StorageResult<void> append(const std::string& name, std::string_view bytes) = 0;
    virtual StorageResult<void> sync(const std::string& name) = 0;
    /// Creates or replaces a file atomically. Durable on return.
    virtual StorageResult<void> replace(const std::string& name, std::string_view bytes) = 0;
    /// Durable on return.
    virtual StorageResult<void> truncate(const std::string& name, uint64_t size) = 0;
    virtual StorageResult<void> remove(const std::string& name) = 0;
    virtual StorageResult<SetAsideState> setAsideState() = 0;
    /// Moves files out of what list() shows, in place of those that were set aside before; after an interruption, together with
    /// those already moved. Durable on return.
    virtual StorageResult<void> setAside(const std::vector<std::string>& names) = 0;
};

/// flock(2) or a stand-in for it.
using LockCall = std::function<int(int fd, int operation)>;

/// Opens a folder, creates it if it is missing, and takes an advisory lock on it. Where the host grants no locks, the folder
/// is used without one.
/// @returns Locked if another process holds the lock.
StorageResult<std::unique_ptr<Disk>> openFolder(const std::string& path, const LockCall& lock);
StorageResult<std::unique_ptr<Disk>> openFolder(const std::string& path);

} // namespace vanillalift::raft
