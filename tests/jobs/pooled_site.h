#pragma once

#include "endpoint_sim.h"
#include "jobs/instance_manager_p.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/// A simulated site whose instances are managed through a platform API.
namespace vanillalift::sim {

using std::chrono::seconds;

/// Platform API that lists instances in their current state and takes a given time for each move.
class FakePlatform final : public InstanceService {
public:
    FakePlatform(World& world, Duration moveTime)
        : m_world(world)
        , m_moveTime(moveTime)
    {
    }

    void list(const std::string&, TimePoint, std::function<void(std::optional<std::vector<Instance>>, std::string)> handler) override
    {
        if (!isAvailable)
            return;
        std::vector<Instance> found;
        for (const auto& [name, it] : instances)
            found.push_back(it);
        m_world.eventQueue.after(milliseconds(5), [handler, found] { handler(found, ""); });
    }

    void move(const std::string& instance, const std::string& pool, uint64_t, TimePoint, TimePoint, std::function<void(InstanceReplyStatus)> handler) override
    {
        auto& it = instances.at(instance);
        auto status = it.state == InstanceState::Moving ? InstanceReplyStatus::Busy : InstanceReplyStatus::Accepted;
        if (status == InstanceReplyStatus::Accepted) {
            moves.push_back({ instance, pool, m_world.clock.time });
            it.state = InstanceState::Moving;
            it.pool = pool;
            if (onStopped)
                onStopped(instance);
            m_world.eventQueue.after(m_moveTime, [this, instance, pool] {
                instances.at(instance).state = pool == "spare" ? InstanceState::Down : InstanceState::Up;
                if (pool != "spare" && onStarted)
                    onStarted(instance);
            });
        }
        m_world.eventQueue.after(milliseconds(5), [handler, status] { handler(status); });
    }

    void maintain(const std::string& instance, uint64_t wave, uint64_t, TimePoint, TimePoint, std::function<void(InstanceReplyStatus)> handler) override
    {
        if (!isAvailable)
            return;
        auto it = instances.find(instance);
        bool isUp = it != instances.end() && it->second.state == InstanceState::Up;
        auto status = isUp ? InstanceReplyStatus::Accepted : InstanceReplyStatus::Busy;
        // What is done already is accepted again, and nothing happens.
        if (isUp && m_maintained.insert({ wave, instance }).second) {
            it->second.state = InstanceState::Maintenance;
            if (onStopped)
                onStopped(instance);
            m_world.eventQueue.after(seconds(2), [this, instance] {
                instances.at(instance).state = InstanceState::Up;
                if (onStarted)
                    onStarted(instance);
            });
        }
        if (losesReplies)
            return;
        m_world.eventQueue.after(milliseconds(5), [handler, status] { handler(status); });
    }

    struct MoveRequest {
        std::string instance;
        std::string pool;
        TimePoint at;
    };
    /// Lists and requests for maintenance are answered.
    bool isAvailable = true;
    /// Requests for maintenance are carried out without a reply.
    bool losesReplies = false;
    std::map<std::string, Instance> instances;
    std::vector<MoveRequest> moves;
    std::function<void(const std::string&)> onStopped;
    std::function<void(const std::string&)> onStarted;

private:
    World& m_world;
    Duration m_moveTime;
    std::set<std::pair<uint64_t, std::string>> m_maintained;
};

/// A site with a spare pool and an instance manager.
struct PooledSite {
    explicit PooledSite(size_t count)
        : PooledSite(SiteDesc { count })
    {
    }
    explicit PooledSite(const SiteDesc& desc, uint64_t seed = 21)
        : site(seed, desc)
        , platform(site.world, milliseconds(1500))
        , log(site.world.clock, -1, { 0, 0, 0 })
    {
        auto catalog = site.leader.store.catalog();
        catalog.version = 2;
        Service spare;
        spare.name = "spare";
        spare.isSpare = true;
        catalog.services.push_back(spare);
        site.leader.propose(PutCatalog { catalog });
        for (auto& [key, it] : site.world.endpoints) {
            it->description.instance = "m-" + key;
            platform.instances["m-" + key] = { "m-" + key, "s", InstanceState::Up, "z", it->description.capacity, {}, it->description.id };
        }
        platform.onStopped = [this](const std::string& instance) {
            auto& it = *site.world.endpoints.at(instance.substr(2));
            it.crash();
            it.isPartitioned = true;
        };
        platform.onStarted = [this](const std::string& instance) {
            auto& it = *site.world.endpoints.at(instance.substr(2));
            it.isPartitioned = false;
            it.restartAs(it.description.id + "n");
        };
        openManager();
        tick();
        site.run(seconds(2));
    }

    void openManager()
    {
        InstanceManagerDesc desc { true, seconds(2), milliseconds(1500), 60, site.world.features };
        manager = std::make_unique<InstanceManager>(
            desc, ++term, site.leader.store, *site.leader.dispatcher, platform, [this](const Command& command) { site.leader.propose(command); }, [this] { return authorityEndsAt; }, site.world.leaderClock, log);
    }

    void changeLeader()
    {
        manager.reset();
        site.leader.restart();
        openManager();
    }

    void tick()
    {
        auto startedAt = site.world.clock.time;
        manager->tick();
        timeInManager += site.world.clock.time - startedAt;
        site.world.eventQueue.after(milliseconds(10), [this] { tick(); });
    }

    [[nodiscard]] std::optional<TimePoint> firstMoveAfter(TimePoint at, const std::string& pool) const
    {
        auto it = std::find_if(platform.moves.begin(), platform.moves.end(), [&](const auto& move) { return move.at > at && move.pool == pool; });
        return it == platform.moves.end() ? std::nullopt : std::optional(it->at);
    }

    Site site;
    FakePlatform platform;
    EventLog log;
    TimePoint authorityEndsAt = TimePoint::max();
    uint64_t term = 0;
    std::unique_ptr<InstanceManager> manager;
    Duration timeInManager {};
};

} // namespace vanillalift::sim
