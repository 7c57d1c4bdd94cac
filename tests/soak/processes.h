#pragma once

#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace vanillalift::soak {

/// Processes that the soak has started, and no others.
class Processes {
public:
    /// @param log file that takes standard output and standard error; appended to.
    bool start(const std::string& name, const std::vector<std::string>& command, const std::string& log);
    void signal(const std::string& name, int signal);
    [[nodiscard]] bool isRunning(const std::string& name) const { return m_pids.contains(name); }
    /// Collects ended processes. @param onEnd called with the name and the status of waitpid().
    void reap(const std::function<void(const std::string& name, int status)>& onEnd);
    ~Processes();

private:
    std::map<std::string, pid_t> m_pids;
};

} // namespace vanillalift::soak
