#pragma once

#include <vanillalift/replica.h>

#include <future>
#include <string>

namespace vanillalift {

/// Interface of a replica for the control services. Thread-safe.
class ReplicatedLog {
public:
    virtual ~ReplicatedLog() = default;

    /// Appends a command. Resolves once it has been committed and applied, or with the error.
    virtual std::future<ProposeResult> propose(std::string command) = 0;

    /// Resolves once a majority has confirmed this replica's leadership after the call, and all entries committed before the
    /// call are applied.
    virtual std::future<ReadResult> readIndex() = 0;

    /// Replaces the storage id of a member that lost its disk.
    virtual std::future<ProposeResult> replaceMember(std::string name, std::string storageId) = 0;

    [[nodiscard]] virtual ReplicaStatus status() const = 0;
};

} // namespace vanillalift
