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

/// Largest command of the replicated log, in bytes: a catalog with its source. Messages of replicas hold whole entries,
/// and a message must stay under the 8 MB of a frame and the 16 MB that the RPC server accepts.
constexpr size_t maxCommandBytes = 6U << 20U;

/// Lease of an entry, counted from the moment it sent the poll that obtained it. Withdrawn keys have to stop
/// working within 5 s, so the lease is shorter by the time a commit takes.
constexpr milliseconds entryLease { 3000 };
/// An endpoint that sends no newer announcement for this time is removed.
constexpr milliseconds announcementExpiry { 3000 };

/// An endpoint counts an attempt's deadline from when the request reached it, so it may stop later than the entry expects
/// by the time that the request was under way. Work without an answer counts as running for this much longer.
constexpr milliseconds endpointStopMargin { 250 };

/// Connections that wait for accept() on a listening socket.
constexpr int acceptBacklog = 512;
/// A connection whose sent bytes stay unacknowledged for this long is closed: a partition drops packets without a reset.
constexpr unsigned tcpUserTimeoutMs = 2000;
/// Largest head of an HTTP message, in bytes.
constexpr size_t maxHttpHeadBytes = 16U << 10U;
/// Largest body of an HTTP message on the operators' and endpoints' interface, in bytes: a catalog of 1,400 more queues.
constexpr size_t maxHttpBodyBytes = 4U << 20U;
/// Largest frame between the system's own processes, in bytes.
constexpr size_t maxFrameBytes = 8U << 20U;
/// A link to another process is closed when more bytes than this wait to be sent on it.
constexpr size_t maxLinkBacklogBytes = 16U << 20U;

/// Jobs.

/// Time for which a leader may order an endpoint to keep running without a further order, counted from the last moment
/// at which the leader was certainly the only one. Covers an election and the first round of a new leader.
constexpr milliseconds endpointLease { 4000 };
/// An endpoint's clock may run slower than ours by this share.
constexpr double maxClockDrift = 0.02;
/// Added to a lease before its end is relied on: timers fire late.
constexpr milliseconds leaseMargin { 150 };
/// A leader gives no order and reads no state once its last contact with a majority is older than this.
constexpr milliseconds leaderContactTimeout { 1000 };
/// An endpoint answers a status request after this time at the latest, or at once when a run ends.
constexpr milliseconds statusWait { 1000 };
/// The same while endpoints leave requests unanswered: what ends meanwhile is not known before the next request.
constexpr milliseconds shortStatusWait { 300 };
/// Time after the last unanswered request during which waits are short.
constexpr milliseconds shortStatusWaitPeriod { 5000 };
/// Time beyond its waiting time after which a status request counts as unanswered. A lost packet is sent again after 200 ms.
constexpr milliseconds statusTimeout { 400 };
/// Time after which an order to start or stop counts as unanswered and is sent again: orders are idempotent.
constexpr milliseconds runRequestTimeout { 300 };
/// Orders that an endpoint gets at the same time, each over a connection of its own: enough for an answer a turn of the leader's
/// event loop and one lost packet; each is a descriptor for each endpoint.
constexpr size_t maxRunRequestsPerEndpoint = 3;
/// Pause before an endpoint that did not answer is asked again.
constexpr milliseconds unreachableRetryDelay { 300 };
/// No task is placed on an endpoint that was last heard longer ago than this.
constexpr milliseconds endpointContactTimeout { 2600 };
/// A lasting task that an earlier leader has started counts as at work, when another of its step is to be stopped, after
/// having been listed so for this time: longer than that leader's order to stop it may take.
constexpr milliseconds availabilityConfirmation { 2000 };
/// An endpoint that sent no heartbeat for this time, and whose lease has ended, is forgotten.
constexpr milliseconds endpointExpiry { 12000 };
/// Commands of this time share one entry of the replicated log, and so one sync of each disk.
constexpr milliseconds commandBatchWindow { 3 };
/// Largest number of runs placed by one command.
constexpr size_t maxRunsPerCommand = 256;
/// Bytes of commands between two snapshots of the state: at most a third of a disk of 128 MB is log and snapshots.
constexpr size_t snapshotEveryBytes = 12U << 20U;
/// Finished jobs are kept this much longer than clients may ask for them.
constexpr milliseconds retentionMargin { 10000 };
/// Jobs forgotten by one command.
constexpr size_t maxRemovedJobsPerCommand = 200;
/// Endpoints named in one request for advice.
constexpr size_t maxAdvisedEndpoints = 100;

/// Shortest election timeout of control instances. Their processes may get no processor for a tenth of a second.
constexpr milliseconds controlElectionTimeout { 500 };
/// A control instance that has not been heard for this time is removed once a successor of its zone has caught up.
constexpr milliseconds replicaTimeout { 2500 };
/// Status messages on links between the system's processes.
constexpr milliseconds linkStatusInterval { 250 };
/// A link without a message for this time is closed.
constexpr milliseconds linkTimeout { 1000 };
/// A tick of the event loop counts as late from here on: a third of an order's timeout.
constexpr milliseconds lateTickThreshold { 100 };
/// Time between two lines about a controller's load.
constexpr milliseconds loadLogInterval { 1000 };
/// Pause between two attempts to connect to a process.
constexpr milliseconds linkRetryDelay { 150 };
/// Part of a client's deadline that is kept for sending the answer.
constexpr milliseconds answerMargin { 150 };
/// Time for which a request may wait for a leader before it is refused as not run.
constexpr milliseconds leaderWaitTimeout { 1500 };

} // namespace vanillalift::config
