#include "processes.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace vanillalift::soak {

bool Processes::start(const std::string& name, const std::vector<std::string>& command, const std::string& log)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& it : command)
        arguments.push_back(const_cast<char*>(it.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t fileActions;
    posix_spawn_file_actions_init(&fileActions);
    posix_spawn_file_actions_addopen(&fileActions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&fileActions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    int rc = ::posix_spawn(&pid, arguments.front(), &fileActions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&fileActions);
    if (rc == 0)
        m_pids[name] = pid;
    return rc == 0;
}

void Processes::signal(const std::string& name, int signal)
{
    auto it = m_pids.find(name);
    if (it != m_pids.end())
        ::kill(it->second, signal);
}

void Processes::reap(const std::function<void(const std::string& name, int status)>& onExit)
{
    for (auto it = m_pids.begin(); it != m_pids.end();) {
        int status = 0;
        if (::waitpid(it->second, &status, WNOHANG) != it->second) {
            ++it;
            continue;
        }
        auto name = it->first;
        it = m_pids.erase(it);
        onExit(name, status);
    }
}

Processes::~Processes()
{
    for (const auto& [name, pid] : m_pids) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
}

} // namespace vanillalift::soak
