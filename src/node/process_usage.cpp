#include "process_usage_p.h"

#include "core/event_log_p.h"

#include <glog/logging.h>

#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace vanillalift::node {

namespace {

    uint64_t softLimit(int resource)
    {
        rlimit limit {};
        if (getrlimit(static_cast<__rlimit_resource>(resource), &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
            return 0;
        return limit.rlim_cur;
    }

} // namespace

ProcessLimits processLimits() { return { softLimit(RLIMIT_NOFILE), softLimit(RLIMIT_FSIZE), softLimit(RLIMIT_AS) }; }

ProcessUsage processUsage()
{
    ProcessUsage usage;
    uint64_t totalPages = 0;
    uint64_t residentPages = 0;
    if (std::ifstream("/proc/self/statm") >> totalPages >> residentPages)
        usage.residentBytes = residentPages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
    std::error_code ec;
    for (std::filesystem::directory_iterator it("/proc/self/fd", ec); !ec && it != std::filesystem::directory_iterator(); it.increment(ec))
        usage.descriptors++;
    return usage;
}

void logHost(EventLog& log)
{
    auto limits = processLimits();
    log.stateLine("host").field("pid", getpid()).field("user", geteuid()).field("descriptors", limits.descriptors).field("file-bytes", limits.fileBytes).field("address-space-bytes", limits.addressSpaceBytes);
}

int logExit(EventLog& log, int status, std::string_view reason)
{
    auto usage = processUsage();
    log.stateLine("exit").field("status", status).field("reason", reason).field("resident-bytes", usage.residentBytes).field("descriptors", usage.descriptors);
    log.flush();
    LOG_IF(ERROR, status != 0) << reason;
    return status;
}

} // namespace vanillalift::node
