#include "ctl_verbs_p.h"

#include "random_text_p.h"
#include "table_printer_p.h"

#include <vanillalift/catalog.h>
#include <vanillalift/settings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>

namespace vanillalift {

using nlohmann::json;

namespace {

    using std::chrono::milliseconds;

    /// Each instance is maintained once in 4 weeks, so a longer wave would overlap the next one.
    constexpr int64_t maxWaveHours = 4 * 7 * 24;

    TimePoint callDeadline(const CtlContext& context)
    {
        return BootClock::now() + milliseconds(context.options.timeoutMs);
    }

    CtlExit reportError(CtlContext& context, const OperatorError& error)
    {
        context.err << "vanillalift-ctl: " << error.message << "\n";
        return error.code == OperatorErrorCode::Unreachable ? CtlExit::Unreachable : CtlExit::Refused;
    }

    void print(CtlContext& context, const json& value)
    {
        if (context.options.json)
            context.out << value.dump(2) << "\n";
        else
            printTable(context.out, value);
    }

    /// Calls a method and prints its result; as a table, only the member @p field if one is given.
    CtlExit callAndPrint(CtlContext& context, const std::string& method, const json& params, const char* field = nullptr)
    {
        auto result = context.client.call(method, params, callDeadline(context));
        if (!result)
            return reportError(context, result.error());
        print(context, field && !context.options.json ? result->at(field) : *result);
        return CtlExit::Success;
    }

    CtlExit exitStatusOf(const json& outcome)
    {
        if (outcome.value("accepted", false))
            return CtlExit::Success;
        return outcome.value("fault", "") == "conflict" ? CtlExit::Conflict : CtlExit::Refused;
    }

    CtlExit waitUntilInForce(CtlContext& context, uint64_t revision)
    {
        auto deadline = callDeadline(context);
        while (true) {
            auto result = context.client.call("in_force", { { "revision", revision } }, deadline);
            if (!result)
                return reportError(context, result.error());
            if (result->at("in_force").get<bool>() || BootClock::now() >= deadline) {
                print(context, *result);
                return result->at("in_force").get<bool>() ? CtlExit::Success : CtlExit::Unreachable;
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    CtlExit proposeChange(CtlContext& context, const json& change)
    {
        auto& options = context.options;
        if (options.baseRevision < 0) {
            auto current = context.client.call("read", { { "kind", "teams" } }, callDeadline(context));
            if (!current)
                return reportError(context, current.error());
            options.baseRevision = current->at("revision");
        }
        if (options.operation.empty())
            options.operation = randomHex(16);
        json params { { "operation", options.operation }, { "base_revision", options.baseRevision }, { "change", change } };
        auto outcome = context.client.call(options.dryRun ? "check" : "propose", params, callDeadline(context));
        if (!outcome) {
            context.err << "vanillalift-ctl: operation " << options.operation << ", base revision " << options.baseRevision << "\n";
            return reportError(context, outcome.error());
        }
        print(context, *outcome);
        auto exit = exitStatusOf(*outcome);
        if (exit != CtlExit::Success || !options.wait || options.dryRun)
            return exit;
        return waitUntilInForce(context, outcome->at("revision"));
    }

    CtlExit runGet(CtlContext& context)
    {
        return callAndPrint(context, "read", { { "kind", context.operands[0] } }, "items");
    }

    CtlExit runHistory(CtlContext& context)
    {
        return callAndPrint(context, "history", json::object(), "changes");
    }

    CtlExit runExplain(CtlContext& context)
    {
        return callAndPrint(context, "explain", { { "kind", context.operands[0] }, { "name", context.operands[1] } });
    }

    CtlExit runApply(CtlContext& context)
    {
        const auto& file = context.operands[0];
        auto change = loadSettings(file);
        if (!change) {
            context.err << describe(change.error());
            return CtlExit::Usage;
        }
        return proposeChange(context, *change);
    }

    CtlExit runGiveKey(CtlContext& context)
    {
        auto secret = randomHex(32);
        auto salt = randomHex(16);
        auto hash = hashKeySecret(salt, secret);
        json key { { "id", context.operands[1] }, { "team", context.operands[0] }, { "salt", salt }, { "hash", *hash } };
        auto exit = proposeChange(context, { { "kind", "give-key" }, { "key", key } });
        if (exit == CtlExit::Success && !context.options.dryRun)
            context.out << "key: " << context.operands[1] << "." << secret << "\n";
        return exit;
    }

    CtlExit runWithdrawKey(CtlContext& context)
    {
        return proposeChange(context, { { "kind", "withdraw-key" }, { "id", context.operands[0] } });
    }

    CtlExit runMove(CtlContext& context)
    {
        return proposeChange(context, { { "kind", "move-instance" }, { "instance", context.operands[0] }, { "from", context.operands[1] }, { "to", context.operands[2] } });
    }

    CtlExit runStartWave(CtlContext& context)
    {
        int64_t hours = 0;
        const auto& text = context.operands[1];
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), hours);
        if (ec != std::errc {} || end != text.data() + text.size() || hours < 1 || hours > maxWaveHours) {
            context.err << "vanillalift-ctl: the hours must be a whole number from 1 to " << maxWaveHours << "\n";
            return CtlExit::Usage;
        }
        std::vector<std::string> pools(context.operands.begin() + 2, context.operands.end());
        return proposeChange(context, { { "kind", "start-wave" }, { "name", context.operands[0] }, { "pools", pools }, { "deadline_ms", wallClockMs() + hours * 3600 * 1000 } });
    }

    CtlExit runWaves(CtlContext& context)
    {
        return callAndPrint(context, "read", { { "kind", "waves" } }, "items");
    }

    CtlExit proposeWaveChange(CtlContext& context, const char* kind)
    {
        return proposeChange(context, { { "kind", kind }, { "name", context.operands[0] } });
    }

    CtlExit runHaltWave(CtlContext& context) { return proposeWaveChange(context, "halt-wave"); }
    CtlExit runResumeWave(CtlContext& context) { return proposeWaveChange(context, "resume-wave"); }
    CtlExit runRollBackWave(CtlContext& context) { return proposeWaveChange(context, "rollback-wave"); }

    CtlExit runPutOperator(CtlContext& context)
    {
        auto secret = randomHex(32);
        auto salt = randomHex(16);
        json change { { "kind", "put-operator" }, { "name", context.operands[0] }, { "role", context.operands[1] }, { "salt", salt }, { "hash", *hashKeySecret(salt, secret) } };
        auto exit = proposeChange(context, change);
        if (exit == CtlExit::Success && !context.options.dryRun)
            context.out << "secret: " << secret << "\n";
        return exit;
    }

    CtlExit runInForce(CtlContext& context)
    {
        uint64_t revision = 0;
        const auto& text = context.operands[0];
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), revision);
        if (ec != std::errc {} || end != text.data() + text.size()) {
            context.err << "vanillalift-ctl: the revision must be a whole number\n";
            return CtlExit::Usage;
        }
        if (context.options.wait)
            return waitUntilInForce(context, revision);
        return callAndPrint(context, "in_force", { { "revision", revision } });
    }

    CtlExit runStatus(CtlContext& context)
    {
        auto replicas = json::array();
        for (size_t n = 0; n < context.client.replicaCount(); ++n) {
            auto result = context.client.callReplica(n, "status", json::object(), callDeadline(context));
            replicas.push_back(result ? *result : json { { "fault", result.error().message } });
        }
        print(context, replicas);
        return CtlExit::Success;
    }

    CtlExit runReplaceReplica(CtlContext& context)
    {
        return callAndPrint(context, "replace_replica", { { "name", context.operands[0] }, { "storage_id", context.operands[1] } });
    }

    constexpr std::array<CtlVerb, 16> verbs { {
        { "get", "KIND", 1, 1, "lists profiles, services, teams, keys, pools, instances, operators, entries, waves or parts (shares of a team's concurrency limit held by entries)", runGet },
        { "history", "", 0, 0, "lists the accepted changes with their revision, author and time", runHistory },
        { "explain", "instance|team NAME", 2, 2, "shows the changes and actions that put an instance into its pool and phase, or the limits and keys of a team", runExplain },
        { "apply", "FILE", 1, 1, "proposes the change in a file (JSON with comments)", runApply },
        { "give-key", "TEAM ID", 2, 2, "creates a key for a team and prints it once", runGiveKey },
        { "withdraw-key", "ID", 1, 1, "revokes a key", runWithdrawKey },
        { "move", "INSTANCE FROM TO", 3, 3, "moves an instance from one pool to another", runMove },
        { "start-wave", "NAME HOURS POOL...", 3, 2 + config::maxServices, "starts maintenance of all instances of the pools, with a deadline HOURS from now", runStartWave },
        { "waves", "", 0, 0, "lists the maintenance waves with their progress", runWaves },
        { "halt-wave", "NAME", 1, 1, "pauses a wave: no maintenance of further instances is started", runHaltWave },
        { "resume-wave", "NAME", 1, 1, "continues a halted wave", runResumeWave },
        { "rollback-wave", "NAME", 1, 1, "ends a wave and returns its draining and drained instances to service", runRollBackWave },
        { "put-operator", "NAME viewer|editor|admin", 2, 2, "creates an account or changes its role; sets a new secret and prints it once", runPutOperator },
        { "in-force", "REVISION", 1, 1, "shows whether a revision is in force on all entries", runInForce },
        { "status", "", 0, 0, "shows the status of the control replicas", runStatus },
        { "replace-replica", "NAME STORAGE_ID", 2, 2, "lets a replica that lost its disk vote again under its new storage ID", runReplaceReplica },
    } };

} // namespace

std::span<const CtlVerb> ctlVerbs()
{
    return verbs;
}

const CtlVerb* findCtlVerb(std::string_view name)
{
    auto it = std::find_if(verbs.begin(), verbs.end(), [&](const CtlVerb& verb) { return verb.name == name; });
    return it == verbs.end() ? nullptr : &*it;
}

} // namespace vanillalift
