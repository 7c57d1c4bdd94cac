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
    /// The change or call was refused.
    Refused = 1,
    Usage = 2,
    /// No leader answered in time; a change may have been accepted. Repeat the command with the printed operation id.
    Unreachable = 3,
    /// Another operator's change was accepted first.
    Conflict = 4,
};

struct CtlOptions {
    bool json = false;
    bool dryRun = false;
    bool wait = false;
    /// Negative: the current revision is read first.
    int64_t baseRevision = -1;
    /// Empty: a new one is made.
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
