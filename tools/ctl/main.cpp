#include "core/command_line_p.h"
#include "operator/ctl_verbs_p.h"

#include <vanillalift/settings.h>

#include <iostream>

using namespace vanillalift;

namespace {

void printUsage(std::ostream& out)
{
    out << "usage: vanillalift-ctl VERB [OPTION...] [OPERAND...]\n\nVerbs (see vanillalift-ctl VERB --help):\n";
    for (const auto& it : ctlVerbs())
        out << "  " << it.name << " " << it.operands << "\n      " << it.help << "\n";
    out << "\nExit status: 0 success, 1 refused, 2 usage, 3 no leader responded in time (the outcome may be unknown), 4 conflict.\n";
}

tl::expected<OperatorClientDesc, SettingsErrors> loadClientDesc(const std::string& path)
{
    auto value = loadSettings(path);
    if (!value)
        return tl::unexpected(value.error());
    OperatorClientDesc desc;
    SettingsErrors faults;
    SettingsReader reader(*value, path, faults);
    reader.read("replicas", desc.replicas, Presence::Required);
    reader.read("account", desc.account);
    reader.read("secret", desc.secret, Presence::Optional);
    reader.read("token", desc.token, Presence::Optional);
    reader.read("ca_file", desc.caFile, Presence::Optional);
    if (desc.replicas.empty())
        reader.addError("replicas", "must name at least one replica");
    reader.finish();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return desc;
}

int runVerb(const CtlVerb& verb, int argc, char** argv)
{
    CtlOptions options;
    std::string settings = "vanillalift-ctl.json";
    CommandLine commandLine(std::string("vanillalift-ctl ") + verb.name, verb.operands, verb.minOperands, verb.maxOperands);
    commandLine.add("settings", 's', "FILE", "settings file with the replicas' addresses and the account (default vanillalift-ctl.json)", settings);
    commandLine.add("json", 'j', "print JSON instead of a table", options.json);
    commandLine.add("dry-run", 'n', "check a change and show its effect without proposing it", options.dryRun);
    commandLine.add("wait", 'w', "wait until the change or revision is in force on all entries", options.wait);
    commandLine.add("base", 'b', "REVISION", "revision that the change is based on (default: the current one)", options.baseRevision);
    commandLine.add("operation", 'o', "ID", "operation ID; resend a change whose response was lost with the same ID", options.operation);
    commandLine.add("timeout-ms", 't', "MS", "timeout of a call in milliseconds (default 10000)", options.timeoutMs);
    // popt prints the first argument as the program name.
    std::string program = std::string("vanillalift-ctl ") + verb.name;
    std::vector<char*> arguments(argv, argv + argc);
    arguments[0] = program.data();
    arguments.push_back(nullptr);
    auto operands = commandLine.parse(argc, arguments.data());
    if (!operands)
        return operands.error();
    auto desc = loadClientDesc(settings);
    if (!desc) {
        std::cerr << describe(desc.error());
        return static_cast<int>(CtlExit::Usage);
    }
    OperatorClient client(std::move(*desc));
    CtlContext context { client, options, std::move(*operands), std::cout, std::cerr };
    return static_cast<int>(verb.run(context));
}

} // namespace

int main(int argc, char** argv)
{
    std::string_view firstArgument = argc > 1 ? argv[1] : "";
    if (firstArgument == "--version") {
        std::cout << "vanillalift-ctl " VANILLALIFT_VERSION "\n";
        return 0;
    }
    if (const auto* verb = findCtlVerb(firstArgument))
        return runVerb(*verb, argc - 1, argv + 1);
    bool isHelp = firstArgument == "--help" || firstArgument == "-h";
    printUsage(isHelp ? std::cout : std::cerr);
    return static_cast<int>(isHelp ? CtlExit::Success : CtlExit::Usage);
}
