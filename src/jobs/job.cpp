#include <vanillalift/config.h>
#include <vanillalift/job.h>

#include <algorithm>
#include <array>

namespace vanillalift::jobs {

namespace {

    template <typename T>
    const T* findNamed(const std::vector<T>& items, std::string_view name)
    {
        auto it = std::find_if(items.begin(), items.end(), [&](const T& item) { return item.name == name; });
        return it == items.end() ? nullptr : &*it;
    }

} // namespace

bool JobSpec::isWellFormed() const
{
    uint64_t tasks = 0;
    for (size_t n = 0; n < steps.size(); n++) {
        const auto& step = steps[n];
        bool hasOnlyEarlier = std::all_of(step.after.begin(), step.after.end(), [&](uint32_t it) { return it < n; });
        if (!hasOnlyEarlier || step.taskCount == 0 || step.taskCount > config::maxTasksPerStep)
            return false;
        tasks += step.taskCount;
    }
    return !steps.empty() && steps.size() <= config::maxStepsPerJob && tasks * occurrenceCount() <= config::maxTasksPerJob;
}

const Queue* Catalog::findQueue(std::string_view host, std::string_view path) const
{
    const Queue* best = nullptr;
    for (const auto& it : queues) {
        if (it.host == host && path.starts_with(it.pathPrefix) && (!best || it.pathPrefix.size() > best->pathPrefix.size()))
            best = &it;
    }
    return best;
}

const Queue* Catalog::queueNamed(std::string_view name) const { return findNamed(queues, name); }

const Service* Catalog::serviceNamed(std::string_view name) const { return findNamed(services, name); }

const Workspace* Catalog::workspaceNamed(std::string_view name) const { return findNamed(workspaces, name); }

const Workspace* Catalog::workspaceOfKey(std::string_view key) const
{
    for (const auto& it : workspaces) {
        if (std::find(it.keys.begin(), it.keys.end(), key) != it.keys.end())
            return &it;
    }
    return nullptr;
}

std::string_view runEndName(RunEnd end)
{
    constexpr std::array<std::string_view, static_cast<size_t>(RunEnd::RunEndCount)> names {
        "done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "not-started"
    };
    return names.at(static_cast<size_t>(end));
}

std::string_view jobPhaseName(JobPhase phase)
{
    constexpr std::array<std::string_view, static_cast<size_t>(JobPhase::JobPhaseCount)> names { "active", "completed", "failed", "cancelled" };
    return names.at(static_cast<size_t>(phase));
}

} // namespace vanillalift::jobs
