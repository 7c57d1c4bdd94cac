#pragma once

#include "operator_client_p.h"

#include <functional>
#include <ostream>
#include <span>
#include <string>
#include <vector>

/// The verbs of vanillalift-ctl.
namespace vanillalift {

/// Exit status of vanillalift-ctl.
enum class CtlExit : int {
    Success = 0,
    /// The leader refused the change or call.
    Refused = 1,
    /// The command line or a file is invalid.
    Usage = 2,
    /// No leader responded in time; a change may have been accepted. Repeat the command with the printed operation ID.
    Unreachable = 3,
    /// Another operator's change was accepted after the base revision.
    Conflict = 4,
};

struct CtlOptions {
    bool json = false;
    bool dryRun = false;
    bool wait = false;
    /// Revision that the change is based on; negative: the current one.
    int64_t baseRevision = -1;
    /// Operation ID of the change; empty: a random one is generated.
    std::string operation;
    int64_t timeoutMs = 10000;
};

struct CtlContext {
    OperatorClient& client;
    CtlOptions options;
    std::vector<std::string> operands;
    std::ostream& out;
    std::ostream& err;
};

struct CtlVerb {
    const char* name;
    /// Operands as shown in the usage line.
    const char* operands;
    size_t minOperands;
    size_t maxOperands;
    const char* help;
    CtlExit (*run)(CtlContext& context);
};

std::span<const CtlVerb> ctlVerbs();
const CtlVerb* findCtlVerb(std::string_view name);

} // namespace vanillalift
