#pragma once

#include <cstddef>

namespace vanillalift::node {

/// Prepares the process for what its host may do to it. The first thing in main, before anything is written.
/// A write to a file that has reached its largest size, or to a pipe without a reader, fails instead of ending the process.
/// Standard streams that are closed are opened on /dev/null, so that no log line goes into another file or socket.
/// A pipe that nobody reads does not block the process: what does not fit is dropped.
/// Holds SIGHUP, SIGTERM and SIGINT back, see holdSignals().
void prepareHost();

/// Holds SIGHUP, SIGTERM and SIGINT back until releaseSignals(), so that they do not end the process by their default action. Call it
/// before the handlers are removed, too.
void holdSignals();

/// Delivers the signals that were held back, and those to come, even if the parent process had blocked them. Call it on the
/// event loop's thread once the handlers are installed.
void releaseSignals();

/// @returns whether SIGTERM or SIGINT has been held back.
bool isStopPending();

/// Raises the soft limit of open descriptors to @p wanted, or to the hard limit if that is lower. A higher one stays.
/// @returns how many descriptors the process may use: the lesser of @p wanted and the limit; @p wanted if the host does not tell.
size_t allowDescriptors(size_t wanted);

/// @returns @p reserved, or half of @p allowed if that is less.
size_t reservedOf(size_t allowed, size_t reserved);

} // namespace vanillalift::node
