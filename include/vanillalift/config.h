#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of tables and messages, and the intervals that several modules share.
namespace vanillalift::config {

using std::chrono::milliseconds;

constexpr size_t maxServices = 512;
constexpr size_t maxTeams = 256;
constexpr size_t maxProfiles = 256;
constexpr size_t maxEndpointsPerService = 256;
constexpr size_t maxEntries = 16;
constexpr size_t maxInstances = 8192;

/// Longest accepted request identifier, in bytes.
constexpr size_t maxRequestIdLength = 128;
/// Longest accepted name of a team, service, profile, pool or instance, in bytes.
constexpr size_t maxNameLength = 64;
/// Largest request and answer body that an entry buffers, in bytes.
constexpr size_t maxBodyBytes = 4U << 20U;

/// Largest command of the replicated log, in bytes. Messages of replicas hold whole entries, and a message must stay
/// well under the 16 MB that the RPC server accepts.
constexpr size_t maxCommandBytes = 1U << 20U;

/// Lease of an entry, counted from the moment it sent the poll that obtained it. Withdrawn keys have to stop
/// working within 5 s, so the lease is shorter by the time a commit takes.
constexpr milliseconds entryLease { 3000 };
/// An endpoint that sends no newer announcement for this time is removed.
constexpr milliseconds announcementExpiry { 3000 };

/// An endpoint counts an attempt's deadline from when the request reached it, so it may stop later than the entry expects
/// by the time that the request was under way. Work without an answer counts as running for this much longer.
constexpr milliseconds endpointStopMargin { 250 };

} // namespace vanillalift::config
