#pragma once

#include "replica/disk_p.h"

#include <functional>
#include <map>
#include <optional>
#include <random>

namespace vanillalift::raft {

struct SimulatedCrash { };

/// Files in memory with what is durable of them. From operation number @c firstFaultyOperation on, @c faultyOperationCount of them fail, or the
/// first crashes in the middle.
class MemoryDisk final : public Disk {
public:
    struct File {
        std::string bytes;
        size_t durableSize = 0;
    };

    std::map<std::string, File> files;
    size_t operationCount = 0;
    size_t firstFaultyOperation = SIZE_MAX;
    size_t faultyOperationCount = 1;
    /// Nothing for a crash.
    std::optional<StorageErrorCode> injectedError;
    std::mt19937_64 random { 1 };

    /// Drops what was not synced, except for a random part of it, of which a stretch may never have reached the disk.
    void simulatePowerLoss()
    {
        for (auto& [name, it] : files) {
            it.bytes.resize(it.durableSize + pick(it.bytes.size() - it.durableSize + 1));
            auto unsynced = it.bytes.size() - it.durableSize;
            if (unsynced > 0 && pick(2) == 0) {
                auto begin = pick(unsynced);
                auto size = 1 + pick(unsynced - begin);
                it.bytes.replace(it.durableSize + begin, size, size, '\0');
            }
            it.durableSize = it.bytes.size();
        }
        firstFaultyOperation = SIZE_MAX;
    }

    StorageResult<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        for (const auto& [name, it] : files)
            names.push_back(name);
        return names;
    }

    StorageResult<std::string> read(const std::string& name) override { return files.at(name).bytes; }

    StorageResult<void> append(const std::string& name, std::string_view bytes) override
    {
        return change([&] { files.at(name).bytes += bytes; }, [&] { files.at(name).bytes += bytes.substr(0, pick(bytes.size() + 1)); });
    }

    StorageResult<void> sync(const std::string& name) override
    {
        return change([&] { files.at(name).durableSize = files.at(name).bytes.size(); }, [] {});
    }

    StorageResult<void> replace(const std::string& name, std::string_view bytes) override
    {
        auto put = [&] { files[name] = { std::string(bytes), bytes.size() }; };
        return change(put, [&] {
            if (pick(2) == 0)
                put();
        });
    }

    StorageResult<void> truncate(const std::string& name, uint64_t size) override
    {
        auto cut = [&] { files[name] = { files[name].bytes.substr(0, size), size }; };
        return change(cut, [] {});
    }

    StorageResult<void> remove(const std::string& name) override
    {
        return change([&] { files.erase(name); }, [] {});
    }

private:
    size_t pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random); }

    StorageResult<void> change(const std::function<void()>& whole, const std::function<void()>& part)
    {
        auto operation = operationCount++;
        if (operation < firstFaultyOperation || operation - firstFaultyOperation >= faultyOperationCount) {
            whole();
            return {};
        }
        part();
        if (!injectedError)
            throw SimulatedCrash();
        return tl::unexpected(StorageError { *injectedError, "file", "injected" });
    }
};

} // namespace vanillalift::raft
