#pragma once

#include <vanillalift/replica.h>

#include <future>
#include <string>

namespace vanillalift {

/// What the control services need of a replica. Thread-safe.
class ReplicatedLog {
public:
    virtual ~ReplicatedLog() = default;

    /// Appends a command and resolves once it is committed and applied, or cannot be any more.
    virtual std::future<ProposeResult> propose(std::string command) = 0;

    /// Resolves once this replica was confirmed as leader by a majority after the call, and has applied everything that
    /// was committed before the call.
    virtual std::future<ReadResult> readIndex() = 0;

    /// Replaces a member that lost its disk by the new storage id of the same name.
    virtual std::future<ProposeResult> replaceMember(std::string name, std::string storageId) = 0;

    [[nodiscard]] virtual ReplicaStatus status() const = 0;
};

} // namespace vanillalift
