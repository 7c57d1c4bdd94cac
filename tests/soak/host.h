#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <sys/resource.h>
#include <sys/types.h>
#include <variant>
#include <vector>

namespace vanillalift::soak {

/// Where the standard streams of a program lead to.
enum class StreamKind : uint8_t {
    Closed,
    /// A pipe that nobody reads.
    UnreadPipe,
    /// A device without space.
    FullDevice,
    StreamKindCount,
};

struct StandardStreams {
    StreamKind kind = StreamKind::Closed;
};
/// The program starts in a folder that no longer exists.
struct RemovedWorkingFolder { };
struct FileMask {
    mode_t mask = 0;
};
/// A user without privileges owns the data folder, whose parent belongs to the user of the soak.
struct OtherUser {
    mode_t parentMode = 0;
};
struct ResourceLimit {
    __rlimit_resource resource = RLIMIT_NOFILE;
    rlim_t value = 0;
};
/// Signals that a program inherits as blocked, or as ignored.
struct InheritedSignals {
    bool areBlocked = false;
};
/// Another program listens on the metrics port when the program starts, and goes later.
struct BusyMetricsPort { };

/// One property of a host under which a program has to start and to serve.
class HostCondition {
public:
    /// In the order in which they are applied: the other user may no longer do what comes before.
    using Rule = std::variant<StandardStreams, RemovedWorkingFolder, FileMask, OtherUser, ResourceLimit, InheritedSignals, BusyMetricsPort>;

    HostCondition(std::string name, Rule rule)
        : m_name(std::move(name))
        , m_rule(rule)
    {
    }

    /// @returns all conditions that this user can set.
    static std::vector<HostCondition> all();
    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] const Rule& rule() const { return m_rule; }
    /// @returns whether both can be set for one program, and leave it able to serve.
    [[nodiscard]] bool isCompatibleWith(const HostCondition& other) const;

private:
    std::string m_name;
    Rule m_rule;
};

/// The host of a run: a set of conditions, in which all its programs are started.
class Host {
public:
    /// A host without conditions.
    Host() = default;
    /// @param seed also selects the user without privileges.
    static Host draw(uint64_t seed);
    /// @returns std::nullopt if this user can set no condition of that name.
    static std::optional<Host> withCondition(std::string_view name, uint64_t seed);

    [[nodiscard]] std::string describe() const;
    [[nodiscard]] bool isMetricsPortBusy() const { return find<BusyMetricsPort>() != nullptr; }
    /// Creates a data folder and its parent, with the owners that the conditions say.
    void createDataFolder(const std::string& path) const;
    /// Opens what is the standard output of a program. @param log file that it is unless a condition says otherwise.
    /// @param unreadEnd set to the other end of the pipe if it is one, else to -1.
    /// @returns a descriptor, or -1 if the streams are closed or on an error.
    [[nodiscard]] int openOutput(const std::string& log, int& unreadEnd) const;
    /// Applies the conditions to the calling process, which is about to run the program.
    /// @param output standard output and standard error, or -1 for closed streams.
    /// @returns false if the system refuses one, see errno.
    [[nodiscard]] bool apply(int output) const;

private:
    template <typename Rule>
    [[nodiscard]] const Rule* find() const
    {
        for (const auto& it : m_conditions) {
            if (const auto* rule = std::get_if<Rule>(&it.rule()))
                return rule;
        }
        return nullptr;
    }
    void add(const HostCondition& condition);

    uid_t m_otherUser = 0;
    std::vector<HostCondition> m_conditions;
};

} // namespace vanillalift::soak
