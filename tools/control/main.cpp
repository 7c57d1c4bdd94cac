#include "key_value_machine.h"
#include "replica/control_process_p.h"

#include <glog/logging.h>
#include <popt.h>

#include <csignal>
#include <iostream>

using namespace vanillalift;

namespace {

struct Arguments {
    int version = 0;
    int check = 0;
    int bootstrap = 0;
    std::string settingsPath;
};

/// @returns nothing if the arguments are wrong; popt has then printed the reason or the help.
std::optional<Arguments> parseArguments(int argc, const char** argv)
{
    Arguments arguments;
    poptOption options[] = {
        { "version", 0, POPT_ARG_NONE, &arguments.version, 0, "Print the version and exit", nullptr },
        { "check", 0, POPT_ARG_NONE, &arguments.check, 0, "Check the settings and exit", nullptr },
        { "bootstrap", 0, POPT_ARG_NONE, &arguments.bootstrap, 0, "Form a new group with this replica as its first member", nullptr },
        POPT_AUTOHELP POPT_TABLEEND
    };
    std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(poptGetContext(nullptr, argc, argv, options, 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "[OPTION...] SETTINGS");
    int status = poptGetNextOpt(context.get());
    if (status < -1) {
        std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(status) << "\n";
        return std::nullopt;
    }
    const char* path = poptGetArg(context.get());
    if (!path && !arguments.version) {
        poptPrintUsage(context.get(), stderr, 0);
        return std::nullopt;
    }
    arguments.settingsPath = path ? path : "";
    return arguments;
}

int run(const ControlSettings& settings, bool bootstrap)
{
    // Blocked before any thread starts, so that only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    SystemClock clock;
    KeyValueMachine machine;
    auto process = ControlProcess::open(settings, bootstrap, machine, clock);
    if (!process) {
        std::cerr << process.error().reason << "\n";
        return 1;
    }
    if (!(*process)->start()) {
        std::cerr << settings.address << ":" << settings.port << ": cannot be bound\n";
        return 1;
    }
    int received = 0;
    sigwait(&signals, &received);
    (*process)->stop();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    auto arguments = parseArguments(argc, const_cast<const char**>(argv));
    if (!arguments)
        return 2;
    if (arguments->version) {
        std::cout << "vanillalift-control " << VANILLALIFT_VERSION << "\n";
        return 0;
    }
    auto value = loadSettings(arguments->settingsPath);
    auto settings = value ? controlSettingsFromJson(*value, arguments->settingsPath) : tl::unexpected(value.error());
    if (!settings) {
        std::cerr << describe(settings.error());
        return 2;
    }
    return arguments->check ? 0 : run(*settings, arguments->bootstrap != 0);
}
