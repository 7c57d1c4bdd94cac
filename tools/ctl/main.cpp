#include "core/command_line_p.h"
#include "operator/ctl_verbs_p.h"

#include <vanillalift/settings.h>

#include <iostream>

using namespace vanillalift;

namespace {

void printVerbs(std::ostream& out)
{
    out << "usage: vanillalift-ctl VERB [OPTION...] [OPERAND...]\n\nVerbs (vanillalift-ctl VERB --help tells more):\n";
    for (const auto& it : ctlVerbs())
        out << "  " << it.name << " " << it.operands << "\n      " << it.help << "\n";
    out << "\nExit status: 0 success, 1 refused, 2 usage, 3 no leader answered in time (the outcome may be unknown), 4 conflict.\n";
}

tl::expected<OperatorClientDesc, SettingsErrors> clientDescFromFile(const std::string& path)
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
    commandLine.add("settings", 's', "FILE", "addresses of the replicas and the account (default vanillalift-ctl.json)", settings);
    commandLine.add("json", 'j', "print JSON instead of a table", options.json);
    commandLine.add("dry-run", 'n', "show what a change would do, without proposing it", options.dryRun);
    commandLine.add("wait", 'w', "wait until the change or revision is in force everywhere", options.wait);
    commandLine.add("base", 'b', "REVISION", "revision that the change is based on (default: the current one)", options.baseRevision);
    commandLine.add("operation", 'o', "ID", "operation id; give the same one to resend a change whose answer was lost", options.operation);
    commandLine.add("timeout-ms", 't', "MS", "longest wait for an answer (default 10000)", options.timeoutMs);
    // popt prints the first argument as the program's name.
    std::string program = std::string("vanillalift-ctl ") + verb.name;
    std::vector<char*> arguments(argv, argv + argc);
    arguments[0] = program.data();
    arguments.push_back(nullptr);
    auto operands = commandLine.parse(argc, arguments.data());
    if (!operands)
        return operands.error();
    auto desc = clientDescFromFile(settings);
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
    std::string_view first = argc > 1 ? argv[1] : "";
    if (first == "--version") {
        std::cout << "vanillalift-ctl " VANILLALIFT_VERSION "\n";
        return 0;
    }
    if (const auto* verb = findCtlVerb(first))
        return runVerb(*verb, argc - 1, argv + 1);
    bool isHelp = first == "--help" || first == "-h";
    printVerbs(isHelp ? std::cout : std::cerr);
    return static_cast<int>(isHelp ? CtlExit::Success : CtlExit::Usage);
}
