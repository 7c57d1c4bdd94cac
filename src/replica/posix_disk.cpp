#include "disk_p.h"

#include <glog/logging.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace vanillalift::raft {

namespace {

    constexpr const char* temporarySuffix = ".new";
    constexpr const char* lockFileName = "lock";
    /// Subfolder of files that were set aside. While they are moved, it has the temporary suffix.
    constexpr const char* setAsideName = "set-aside";

    /// Owns a file descriptor.
    class File {
    public:
        File() = default;
        File(const std::string& path, int flags)
            : m_fd(::open(path.c_str(), flags | O_CLOEXEC, 0600))
        {
        }
        File(const File& folder, const char* name, int flags)
            : m_fd(::openat(folder.fd(), name, flags | O_CLOEXEC))
        {
        }
        ~File()
        {
            if (m_fd >= 0)
                ::close(m_fd);
        }
        File(File&& other) noexcept
            : m_fd(std::exchange(other.m_fd, -1))
        {
        }
        File& operator=(File&& other) noexcept
        {
            std::swap(m_fd, other.m_fd);
            return *this;
        }

        [[nodiscard]] int fd() const { return m_fd; }
        [[nodiscard]] bool isOpen() const { return m_fd >= 0; }

    private:
        int m_fd = -1;
    };

    /// Whether a call failed for want of something that may be had later.
    bool isOutOfResources(int error)
    {
        constexpr int errors[] = { ENOSPC, EDQUOT, EFBIG, EMFILE, ENFILE, ENOMEM, ENOBUFS, EAGAIN, EINTR };
        return std::find(std::begin(errors), std::end(errors), error) != std::end(errors);
    }

    tl::unexpected<StorageError> systemError(StorageErrorCode code, const std::string& file, int error = errno)
    {
        return tl::unexpected(StorageError { isOutOfResources(error) ? StorageErrorCode::OutOfResources : code, file, std::generic_category().message(error) });
    }

    /// @returns Corrupted if the file's content is lost. An input error may pass: the disk may be shared or away for a while.
    tl::unexpected<StorageError> readError(const std::string& file)
    {
        bool isDamaged = errno == EISDIR || errno == EBADMSG || errno == EUCLEAN;
        return systemError(isDamaged ? StorageErrorCode::Corrupted : StorageErrorCode::ReadFailed, file);
    }

    bool writeAll(int fd, std::string_view bytes)
    {
        while (!bytes.empty()) {
            auto n = ::write(fd, bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(n));
        }
        return true;
    }

    /// Makes the names in a folder durable. Some file systems cannot sync a folder alone, and are synced as a whole instead.
    bool syncFolder(int fd)
    {
        if (::fsync(fd) == 0)
            return true;
        bool isUnsupported = errno == EINVAL || errno == ENOSYS || errno == EOPNOTSUPP;
        return isUnsupported && ::syncfs(fd) == 0;
    }

    /// Makes the name of a folder in its parent durable. The parent may belong to someone else.
    void syncFolderName(const File& folder, const std::string& path, bool isCreated)
    {
        File parent(folder, "..", O_RDONLY | O_DIRECTORY);
        bool isDurable = parent.isOpen() && syncFolder(parent.fd());
        // The name of a folder that was there before this process does not depend on it.
        if (isDurable || !isCreated || ::syncfs(folder.fd()) == 0)
            return;
        LOG(WARNING) << path << ": a power loss soon may undo the creation of this folder: " << std::generic_category().message(errno);
    }

    /// @returns false if another process holds the lock. Where the host grants no locks, the file is left unlocked.
    bool lockUnlessHeld(const File& file, const std::string& path, const LockCall& lock)
    {
        while (lock(file.fd(), LOCK_EX | LOCK_NB) != 0) {
            if (errno == EWOULDBLOCK)
                return false;
            if (errno == EINTR)
                continue;
            LOG(WARNING) << path << ": cannot be locked, so nothing keeps a second process from using it: " << std::generic_category().message(errno);
            return true;
        }
        return true;
    }

    class PosixDisk final : public Disk {
    public:
        PosixDisk(std::string path, File folder, File lock)
            : m_path(std::move(path))
            , m_folder(std::move(folder))
            , m_lock(std::move(lock))
        {
        }

        StorageResult<std::vector<std::string>> list() override
        {
            std::vector<std::string> names;
            std::error_code ec;
            for (auto it = std::filesystem::directory_iterator(m_path, ec); !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
                auto name = it->path().filename().string();
                if (name != lockFileName && name != setAsideName && !name.ends_with(temporarySuffix))
                    names.push_back(std::move(name));
            }
            if (ec)
                return systemError(StorageErrorCode::ReadFailed, m_path, ec.value());
            std::sort(names.begin(), names.end());
            return names;
        }

        StorageResult<std::string> read(const std::string& name) override
        {
            File file(path(name), O_RDONLY);
            if (!file.isOpen())
                return readError(name);
            std::string bytes;
            std::string buf(1U << 16U, '\0');
            while (true) {
                auto n = ::read(file.fd(), buf.data(), buf.size());
                if (n < 0 && errno == EINTR)
                    continue;
                if (n < 0)
                    return readError(name);
                if (n == 0)
                    return bytes;
                bytes.append(buf, 0, static_cast<size_t>(n));
            }
        }

        StorageResult<void> append(const std::string& name, std::string_view bytes) override
        {
            if (m_appendFileName != name || !m_appendFile.isOpen()) {
                m_appendFile = File(path(name), O_WRONLY | O_APPEND);
                m_appendFileName = name;
            }
            if (!m_appendFile.isOpen() || !writeAll(m_appendFile.fd(), bytes))
                return systemError(StorageErrorCode::WriteFailed, name);
            return {};
        }

        StorageResult<void> sync(const std::string& name) override
        {
            if (m_appendFileName != name)
                return systemError(StorageErrorCode::SyncFailed, name, EBADF);
            if (::fdatasync(m_appendFile.fd()) != 0)
                return systemError(StorageErrorCode::SyncFailed, name);
            return {};
        }

        StorageResult<void> replace(const std::string& name, std::string_view bytes) override
        {
            auto temporaryPath = path(name + temporarySuffix);
            File file(temporaryPath, O_WRONLY | O_CREAT | O_TRUNC);
            if (!file.isOpen() || !writeAll(file.fd(), bytes))
                return systemError(StorageErrorCode::WriteFailed, name);
            if (::fsync(file.fd()) != 0)
                return systemError(StorageErrorCode::SyncFailed, name);
            if (::rename(temporaryPath.c_str(), path(name).c_str()) != 0)
                return systemError(StorageErrorCode::WriteFailed, name);
            if (!syncFolder(m_folder.fd()))
                return systemError(StorageErrorCode::SyncFailed, name);
            return {};
        }

        StorageResult<void> truncate(const std::string& name, uint64_t size) override
        {
            File file(path(name), O_WRONLY);
            if (!file.isOpen() || ::ftruncate(file.fd(), static_cast<off_t>(size)) != 0)
                return systemError(StorageErrorCode::WriteFailed, name);
            if (::fsync(file.fd()) != 0)
                return systemError(StorageErrorCode::SyncFailed, name);
            return {};
        }

        StorageResult<void> remove(const std::string& name) override
        {
            if (::unlink(path(name).c_str()) != 0)
                return systemError(StorageErrorCode::WriteFailed, name);
            return {};
        }

        StorageResult<SetAsideState> setAsideState() override
        {
            std::error_code ec;
            bool isInterrupted = std::filesystem::exists(interruptedPath(), ec);
            bool isDone = !ec && std::filesystem::exists(path(setAsideName), ec);
            if (ec)
                return systemError(StorageErrorCode::ReadFailed, setAsideName, ec.value());
            if (isInterrupted)
                return SetAsideState::Interrupted;
            return isDone ? SetAsideState::Done : SetAsideState::Never;
        }

        StorageResult<void> setAside(const std::vector<std::string>& names) override
        {
            auto target = interruptedPath();
            if (::mkdir(target.c_str(), 0700) != 0 && errno != EEXIST)
                return systemError(StorageErrorCode::WriteFailed, setAsideName);
            // Until the end, this name tells the next start that files may be missing.
            if (!syncFolder(m_folder.fd()))
                return systemError(StorageErrorCode::SyncFailed, setAsideName);
            File targetFolder(target, O_RDONLY | O_DIRECTORY);
            if (!targetFolder.isOpen())
                return systemError(StorageErrorCode::WriteFailed, setAsideName);
            for (const auto& it : names) {
                if (::renameat(m_folder.fd(), it.c_str(), targetFolder.fd(), it.c_str()) != 0)
                    return systemError(StorageErrorCode::WriteFailed, it);
            }
            if (!syncFolder(targetFolder.fd()) || !syncFolder(m_folder.fd()))
                return systemError(StorageErrorCode::SyncFailed, setAsideName);
            std::error_code ec;
            std::filesystem::remove_all(path(setAsideName), ec);
            if (ec)
                return systemError(StorageErrorCode::WriteFailed, setAsideName, ec.value());
            if (::rename(target.c_str(), path(setAsideName).c_str()) != 0)
                return systemError(StorageErrorCode::WriteFailed, setAsideName);
            if (!syncFolder(m_folder.fd()))
                return systemError(StorageErrorCode::SyncFailed, setAsideName);
            return {};
        }

    private:
        [[nodiscard]] std::string path(const std::string& name) const { return m_path + "/" + name; }
        [[nodiscard]] std::string interruptedPath() const { return path(setAsideName) + temporarySuffix; }

        std::string m_path;
        File m_folder;
        File m_lock;
        std::string m_appendFileName;
        File m_appendFile;
    };

} // namespace

std::string describe(const StorageError& error)
{
    constexpr const char* names[] = { "locked by another process", "damaged", "cannot be read", "cannot be written", "cannot be synced", "out of resources" };
    static_assert(std::size(names) == static_cast<size_t>(StorageErrorCode::StorageErrorCodeCount));
    return error.file + ": " + names[static_cast<size_t>(error.code)] + (error.detail.empty() ? "" : ": " + error.detail);
}

StorageResult<std::unique_ptr<Disk>> openFolder(const std::string& path) { return openFolder(path, ::flock); }

StorageResult<std::unique_ptr<Disk>> openFolder(const std::string& path, const LockCall& lock)
{
    std::error_code ec;
    bool isCreated = std::filesystem::create_directories(path, ec);
    File folder(path, O_RDONLY | O_DIRECTORY);
    if (!folder.isOpen())
        return systemError(StorageErrorCode::ReadFailed, path, ec ? ec.value() : errno);
    File lockFile(path + "/" + lockFileName, O_RDWR | O_CREAT);
    if (!lockFile.isOpen())
        return systemError(StorageErrorCode::WriteFailed, path);
    if (!lockUnlessHeld(lockFile, path, lock))
        return tl::unexpected(StorageError { StorageErrorCode::Locked, path, {} });
    syncFolderName(folder, path, isCreated);
    return std::make_unique<PosixDisk>(path, std::move(folder), std::move(lockFile));
}

} // namespace vanillalift::raft
