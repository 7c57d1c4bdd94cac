#include "host.h"

#include <glog/logging.h>

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <grp.h>
#include <random>
#include <sys/stat.h>
#include <unistd.h>

namespace vanillalift::soak {

namespace {

    constexpr size_t maxConditions = 3;
    constexpr rlim_t fewDescriptors = 64;
    constexpr rlim_t smallAddressSpaceBytes = 100UL << 20U;
    /// The standard output is this much below the limit when the program starts; no file of a data folder grows to it.
    constexpr rlim_t largestFileBytes = 64UL << 20U;
    constexpr rlim_t outputBytesLeft = 16UL << 10U;
    constexpr rlim_t fewProcesses = 1;
    /// Users of their own for runs at the same time, as the limit on processes counts those of the user.
    constexpr uid_t firstOtherUser = 61000;
    constexpr uint64_t otherUserCount = 200;
    constexpr mode_t logMode = 0600;
    constexpr mode_t dataFolderMode = 0700;
    constexpr mode_t noPermissions = 0777;

    /// Applies one rule to the calling process. @returns false on an error, see errno.
    struct Apply {
        int output;
        uid_t otherUser;

        bool operator()(const StandardStreams& it) const
        {
            if (it.kind == StreamKind::Closed) {
                ::close(STDIN_FILENO);
                ::close(STDOUT_FILENO);
                ::close(STDERR_FILENO);
            }
            return true;
        }
        bool operator()(const RemovedWorkingFolder&) const
        {
            std::string path = "/tmp/vanillalift-gone-XXXXXX";
            return ::mkdtemp(path.data()) && ::chdir(path.c_str()) == 0 && ::rmdir(path.c_str()) == 0;
        }
        bool operator()(const FileMask& it) const
        {
            ::umask(it.mask);
            return true;
        }
        bool operator()(const OtherUser&) const { return ::setgroups(0, nullptr) == 0 && ::setgid(otherUser) == 0 && ::setuid(otherUser) == 0; }
        bool operator()(const ResourceLimit& it) const
        {
            rlimit limit { it.value, it.value };
            return ::setrlimit(it.resource, &limit) == 0;
        }
        bool operator()(const InheritedSignals& it) const
        {
            sigset_t set {};
            sigfillset(&set);
            if (it.areBlocked)
                return ::sigprocmask(SIG_BLOCK, &set, nullptr) == 0;
            for (int number : { SIGHUP, SIGTERM, SIGPIPE, SIGCHLD, SIGXFSZ })
                std::signal(number, SIG_IGN);
            return true;
        }
        bool operator()(const BusyMetricsPort&) const { return true; }
    };

} // namespace

std::vector<HostCondition> HostCondition::all()
{
    std::vector<HostCondition> list {
        { "streams-closed", StandardStreams { StreamKind::Closed } },
        { "streams-unread", StandardStreams { StreamKind::UnreadPipe } },
        { "streams-full", StandardStreams { StreamKind::FullDevice } },
        { "working-folder", RemovedWorkingFolder {} },
        { "umask", FileMask { 0077 } },
        { "umask-all", FileMask { noPermissions } },
        { "descriptors", ResourceLimit { RLIMIT_NOFILE, fewDescriptors } },
        { "address-space", ResourceLimit { RLIMIT_AS, smallAddressSpaceBytes } },
        { "largest-file", ResourceLimit { RLIMIT_FSIZE, largestFileBytes } },
        { "signals-blocked", InheritedSignals { true } },
        { "signals-ignored", InheritedSignals { false } },
        { "metrics-port", BusyMetricsPort {} },
    };
    if (::geteuid() == 0) {
        list.emplace_back("other-user", OtherUser { 0711 });
        list.emplace_back("other-user-readable", OtherUser { 0755 });
        list.emplace_back("processes", ResourceLimit { RLIMIT_NPROC, fewProcesses });
    }
    return list;
}

bool HostCondition::isCompatibleWith(const HostCondition& other) const
{
    const auto* limit = std::get_if<ResourceLimit>(&m_rule);
    const auto* otherLimit = std::get_if<ResourceLimit>(&other.m_rule);
    if (limit && otherLimit)
        return limit->resource != otherLimit->resource;
    if (m_rule.index() == other.m_rule.index())
        return false;
    auto limitsFiles = [](const ResourceLimit* it) { return it && it->resource == RLIMIT_FSIZE; };
    auto hasStreams = [](const HostCondition& it) { return std::holds_alternative<StandardStreams>(it.m_rule); };
    // The limit is reached by a standard output that is a file.
    if ((limitsFiles(limit) && hasStreams(other)) || (limitsFiles(otherLimit) && hasStreams(*this)))
        return false;
    // No user without privileges can open a file again that it has created without permissions.
    auto isWithoutPermissions = [](const HostCondition& it) {
        const auto* mask = std::get_if<FileMask>(&it.m_rule);
        return mask && mask->mask == noPermissions;
    };
    auto isLimitedUser = [](const HostCondition& it, const ResourceLimit* itsLimit) { return std::holds_alternative<OtherUser>(it.m_rule) || (itsLimit && itsLimit->resource == RLIMIT_NPROC) || ::geteuid() != 0; };
    return !(isWithoutPermissions(*this) && isLimitedUser(other, otherLimit)) && !(isWithoutPermissions(other) && isLimitedUser(*this, limit));
}

void Host::add(const HostCondition& condition)
{
    m_conditions.push_back(condition);
    // The limit on processes does not bind a privileged user.
    const auto* limit = std::get_if<ResourceLimit>(&condition.rule());
    if (limit && limit->resource == RLIMIT_NPROC && !find<OtherUser>())
        m_conditions.emplace_back("other-user-readable", OtherUser { 0755 });
    std::stable_sort(m_conditions.begin(), m_conditions.end(), [](const auto& left, const auto& right) { return left.rule().index() < right.rule().index(); });
}

Host Host::draw(uint64_t seed)
{
    Host host;
    host.m_otherUser = firstOtherUser + static_cast<uid_t>(seed % otherUserCount);
    // Not the numbers of the run, so that its faults are the same with and without conditions.
    std::mt19937_64 random(seed);
    auto conditions = HostCondition::all();
    std::shuffle(conditions.begin(), conditions.end(), random);
    auto count = std::uniform_int_distribution<size_t>(1, maxConditions)(random);
    for (const auto& it : conditions) {
        bool isCompatible = std::all_of(host.m_conditions.begin(), host.m_conditions.end(), [&](const auto& other) { return it.isCompatibleWith(other); });
        if (host.m_conditions.size() < count && isCompatible)
            host.add(it);
    }
    return host;
}

std::optional<Host> Host::withCondition(std::string_view name, uint64_t seed)
{
    for (const auto& it : HostCondition::all()) {
        if (it.name() != name)
            continue;
        Host host;
        host.m_otherUser = firstOtherUser + static_cast<uid_t>(seed % otherUserCount);
        host.add(it);
        return host;
    }
    return std::nullopt;
}

std::string Host::describe() const
{
    std::string text;
    for (const auto& it : m_conditions)
        text += (text.empty() ? "" : ", ") + it.name();
    return text.empty() ? "friendly" : text;
}

void Host::createDataFolder(const std::string& path) const
{
    namespace fs = std::filesystem;
    auto parent = fs::path(path).parent_path();
    fs::create_directories(parent);
    const auto* user = find<OtherUser>();
    if (user)
        fs::permissions(parent, fs::perms(user->parentMode));
    // The owner of one that exists has been set, and the settings of a program may have changed its mode.
    if (!fs::create_directory(path))
        return;
    fs::permissions(path, fs::perms(dataFolderMode));
    if (user && ::chown(path.c_str(), m_otherUser, m_otherUser) != 0)
        PLOG(ERROR) << "cannot change the owner of " << path;
}

int Host::openOutput(const std::string& log, int& unreadEnd) const
{
    unreadEnd = -1;
    const auto* streams = find<StandardStreams>();
    if (streams && streams->kind == StreamKind::Closed)
        return -1;
    if (streams && streams->kind == StreamKind::FullDevice)
        return ::open("/dev/full", O_WRONLY | O_CLOEXEC);
    if (streams) {
        int ends[2] = { -1, -1 };
        if (::pipe2(ends, O_CLOEXEC) != 0)
            PLOG(ERROR) << "cannot open a pipe";
        unreadEnd = ends[0];
        return ends[1];
    }
    int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logMode);
    struct stat status { };
    bool hasLargestFile = std::any_of(m_conditions.begin(), m_conditions.end(), [](const auto& it) {
        const auto* limit = std::get_if<ResourceLimit>(&it.rule());
        return limit && limit->resource == RLIMIT_FSIZE;
    });
    auto begin = static_cast<off_t>(largestFileBytes - outputBytesLeft);
    if (fd >= 0 && hasLargestFile && ::fstat(fd, &status) == 0 && status.st_size < begin && ::ftruncate(fd, begin) != 0)
        PLOG(ERROR) << "cannot extend " << log;
    return fd;
}

bool Host::apply(int output) const
{
    if (output >= 0 && (::dup2(output, STDOUT_FILENO) < 0 || ::dup2(output, STDERR_FILENO) < 0))
        return false;
    return std::all_of(m_conditions.begin(), m_conditions.end(), [&](const auto& it) { return std::visit(Apply { output, m_otherUser }, it.rule()); });
}

} // namespace vanillalift::soak
