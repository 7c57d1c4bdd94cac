#include "replica_impl_p.h"

#include <glog/logging.h>
#include <openssl/rand.h>

#include <array>

namespace vanillalift {

using namespace raft;

namespace {

    std::string generateStorageId()
    {
        std::array<unsigned char, 16> bytes {};
        CHECK_EQ(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())), 1);
        std::string hex;
        for (auto it : bytes) {
            hex += "0123456789abcdef"[it >> 4U];
            hex += "0123456789abcdef"[it & 15U];
        }
        return hex;
    }

    /// Writes the initial configuration as the first log entry.
    StorageResult<void> bootstrapGroup(RaftStorage& storage, const std::string& name)
    {
        ReplicaMembers members { { name, storage.recovered().storageId, true } };
        Persist persist;
        persist.hardState = HardState { 1, "" };
        persist.entries.push_back({ 1, 1, EntryKind::Members, encodeMembers(members) });
        if (auto result = storage.write(persist); !result)
            return result;
        return storage.sync();
    }

    tl::unexpected<ReplicaOpenError> openError(const StorageError& error) { return tl::unexpected(ReplicaOpenError { describe(error) }); }

} // namespace

tl::expected<std::unique_ptr<Replica>, ReplicaOpenError> Replica::open(ReplicaDesc desc, StateMachine& machine, const Clock& clock)
{
    auto disk = openFolder(desc.folder);
    if (!disk)
        return openError(disk.error());
    auto storage = RaftStorage::open(**disk, generateStorageId());
    if (!storage)
        return openError(storage.error());
    if (desc.bootstrap) {
        const auto& recovered = storage->recovered();
        if (!recovered.entries.empty() || recovered.snapshot.index != 0)
            return tl::unexpected(ReplicaOpenError { desc.folder + ": already holds a log, so it cannot bootstrap a new group" });
        if (auto result = bootstrapGroup(*storage, desc.name); !result)
            return openError(result.error());
        storage = RaftStorage::open(**disk, "");
        if (!storage)
            return openError(storage.error());
    }
    auto impl = std::make_unique<Impl>(std::move(desc), machine, clock, std::move(*disk), std::move(*storage));
    return std::unique_ptr<Replica>(new Replica(std::move(impl)));
}

Replica::Replica(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Replica::~Replica() = default;

void Replica::addMethods(RpcServer& server)
{
    server.add(replicaMethod, [this](const nlohmann::json& params) { return m_impl->receive(params); });
}

void Replica::start() { m_impl->start(); }

void Replica::stop() { m_impl->stop(); }

std::future<ProposeResult> Replica::propose(std::string command)
{
    return m_impl->submit(m_impl->proposalPromises(), [&](uint64_t id) { return Propose { id, std::move(command) }; });
}

std::future<ReadResult> Replica::readIndex()
{
    return m_impl->submit(m_impl->readPromises(), [](uint64_t id) { return ReadIndex { id }; });
}

std::future<ProposeResult> Replica::replaceMember(const std::string& name, const std::string& storageId)
{
    return m_impl->submit(m_impl->proposalPromises(), [&](uint64_t id) { return ReplaceMember { id, name, storageId }; });
}

std::future<ProposeResult> Replica::removeMember(const std::string& name)
{
    return m_impl->submit(m_impl->proposalPromises(), [&](uint64_t id) { return RemoveMember { id, name }; });
}

ReplicaStatus Replica::status() const { return m_impl->status(); }

} // namespace vanillalift
