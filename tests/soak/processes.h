#pragma once

#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace vanillalift::soak {

/// Child processes that the soak has started, by name. Those still running are killed by the destructor.
class Processes {
public:
    /// @param command path of the program, followed by its arguments.
    /// @param log file to which standard output and standard error are appended.
    /// @returns false if the process could not be started.
    bool start(const std::string& name, const std::vector<std::string>& command, const std::string& log);
    void signal(const std::string& name, int signal);
    [[nodiscard]] bool isRunning(const std::string& name) const { return m_pids.contains(name); }
    /// Reaps exited processes. @param onExit called with the name and the status of waitpid().
    void reap(const std::function<void(const std::string& name, int status)>& onExit);
    ~Processes();

private:
    std::map<std::string, pid_t> m_pids;
};

} // namespace vanillalift::soak
