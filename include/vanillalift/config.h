#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of tables and messages, and time constants shared by several modules.
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
/// Largest request or response body that an entry buffers, in bytes.
constexpr size_t maxBodyBytes = 4U << 20U;

/// Largest command in the replicated log, in bytes: a catalog with its source. Messages between replicas contain whole entries
/// and have to stay below the frame limit of 8 MB and the RPC server's limit of 16 MB.
constexpr size_t maxCommandBytes = 6U << 20U;

/// Lease of an entry, counted from when it sent the poll that obtained it. Revoked keys have to stop working within 5 s, so the
/// lease is shorter by the time that a commit takes.
constexpr milliseconds entryLease { 3000 };
/// Time without a newer announcement after which an endpoint is removed.
constexpr milliseconds announcementExpiry { 3000 };

/// Time past its deadline for which an unanswered attempt counts as running: the endpoint measures the deadline from the
/// request's arrival, so it may stop later than the entry expects by the request's transit time.
constexpr milliseconds endpointStopMargin { 250 };

/// Backlog of a listening socket, in connections.
constexpr int acceptBacklog = 512;
/// Time until an address that cannot be listened on is tried again: it may still be in use, or not be assigned yet.
constexpr milliseconds listenRetryInterval { 1000 };
/// Time after which a connection with unacknowledged data is closed (TCP_USER_TIMEOUT): a network partition drops packets
/// without a reset.
constexpr unsigned tcpUserTimeoutMs = 2000;
/// Time for which, and bytes up to which, input is read and discarded after the last response of an HTTP connection: closing with
/// unread input resets the connection, and the client may lose the response.
constexpr milliseconds httpLingerTimeout { 1000 };
constexpr size_t maxHttpDiscardedBytes = 4U << 20U;
/// Time for which the head and then the body of an HTTP request may arrive.
constexpr milliseconds httpHeadTimeout { 3000 };
constexpr milliseconds httpBodyTimeout { 10000 };
/// Share of a process's memory for incomplete HTTP requests and unread responses.
constexpr double httpMemoryShare = 0.25;
/// Most connections of one server that are read only until they end, besides those within its limit.
constexpr size_t maxLingeringConnections = 128;
/// A connection whose last response is younger is not closed in favour of another one: its next request may be on the way.
constexpr milliseconds minHttpIdleTime { 5000 };
/// Time for which a listener does not accept after a failure, such as a lack of descriptors.
constexpr milliseconds acceptPause { 100 };
/// Largest start line and headers of an HTTP message, in bytes.
constexpr size_t maxHttpHeadBytes = 16U << 10U;
/// Most headers of an HTTP message.
constexpr size_t maxHttpHeaders = 256;
/// Largest body of an HTTP message on the operator and endpoint interfaces, in bytes: enough for a catalog with 1,400 more
/// queues.
constexpr size_t maxHttpBodyBytes = 4U << 20U;
/// Largest frame on links between the system's processes, in bytes.
constexpr size_t maxFrameBytes = 8U << 20U;
/// A link to another process is closed when its send queue exceeds this, in bytes.
constexpr size_t maxLinkBacklogBytes = 16U << 20U;

/// Jobs.

/// Lease of an endpoint: time for which it may keep running without a renewal, counted from when the leader was last certainly
/// the only one. Covers an election and a new leader's first status requests.
constexpr milliseconds endpointLease { 4000 };
/// Fraction by which an endpoint's clock may run slower than the local clock.
constexpr double maxClockDrift = 0.02;
/// Safety margin after the end of a lease, because timers fire late.
constexpr milliseconds leaseMargin { 150 };
/// Age of the last contact with a majority from which a leader sends no requests and reads no state.
constexpr milliseconds quorumContactTimeout { 1000 };
/// Long-poll wait of a status request: the endpoint answers after this time, or as soon as a run ends.
constexpr milliseconds statusWait { 1000 };
/// Long-poll wait while requests are being lost: ends reported in a lost reply are known only with the next request.
constexpr milliseconds shortStatusWait { 300 };
/// Time after the last unanswered request during which shortStatusWait is used.
constexpr milliseconds shortStatusWaitPeriod { 5000 };
/// Timeout of a status request, in addition to its long-poll wait. A lost packet is retransmitted after 200 ms.
constexpr milliseconds statusTimeout { 400 };
/// Timeout of a start, stop or throttle request, after which it is sent again: these requests are idempotent.
constexpr milliseconds runRequestTimeout { 300 };
/// Largest number of concurrent start, stop and throttle requests to an endpoint, each on its own connection: enough for one
/// reply per turn of the leader's event loop and one lost packet. Each costs a file descriptor per endpoint.
constexpr size_t maxRunRequestsPerEndpoint = 3;
/// Delay before the next request to an endpoint that did not answer.
constexpr milliseconds unreachableRetryDelay { 300 };
/// Time without contact after which no task is placed on an endpoint.
constexpr milliseconds endpointContactTimeout { 2600 };
/// Time for which a long-running task started by an earlier leader has to be reported available before it counts as available
/// when another task of its step is to be stopped: longer than that leader's stop request may take to be carried out.
constexpr milliseconds availabilityConfirmation { 2000 };
/// Time without a heartbeat after which an endpoint whose lease has ended is removed.
constexpr milliseconds endpointExpiry { 12000 };
/// Commands that arrive within this time share one entry of the replicated log, and so one sync of each disk.
constexpr milliseconds commandBatchWindow { 3 };
/// Largest number of steps of a job, of tasks of a step, and of tasks of a job over all occurrences. Each task takes about 200 bytes of
/// every controller's memory.
constexpr size_t maxStepsPerJob = 64;
constexpr uint32_t maxTasksPerStep = 4096;
constexpr uint64_t maxTasksPerJob = 65536;
/// Largest number of runs placed by one command.
constexpr size_t maxRunsPerCommand = 256;
/// Bytes of commands between two snapshots: log and snapshots take at most a third of a 128 MB disk.
constexpr size_t snapshotIntervalBytes = 12U << 20U;
/// Time for which finished jobs are kept beyond the period in which clients may query them.
constexpr milliseconds retentionMargin { 10000 };
/// Largest number of finished jobs removed by one command.
constexpr size_t maxRemovedJobsPerCommand = 200;
/// Largest number of endpoints in one request to the advice service.
constexpr size_t maxAdvisedEndpoints = 100;

/// Minimum election timeout of control instances. Their processes may get no CPU time for 0.1 s.
constexpr milliseconds controlElectionTimeout { 500 };
/// Time without contact after which a control instance is removed once a replacement in its zone has caught up.
constexpr milliseconds replicaTimeout { 2500 };
/// Interval of status messages on links between the system's processes.
constexpr milliseconds linkStatusInterval { 250 };
/// Time without a message after which a link is closed.
constexpr milliseconds linkTimeout { 1000 };
/// Delay from which a tick of the event loop counts as late: a third of runRequestTimeout.
constexpr milliseconds lateTickThreshold { 100 };
/// Interval of log entries about a controller's load.
constexpr milliseconds loadLogInterval { 1000 };
/// Delay between two attempts to connect to a process.
constexpr milliseconds linkRetryDelay { 150 };
/// Part of a client's deadline that is reserved for sending the response.
constexpr milliseconds answerMargin { 150 };
/// Time for which a request may wait for a leader before it is rejected as not run.
constexpr milliseconds leaderWaitTimeout { 1500 };

} // namespace vanillalift::config
