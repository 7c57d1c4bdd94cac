#pragma once

namespace vanillalift::node {

/// Prepares the process for what its host may do to it. The first thing in main, before anything is written.
/// A write to a file that has reached its largest size, or to a pipe without a reader, fails instead of ending the process.
void prepareHost();

} // namespace vanillalift::node
