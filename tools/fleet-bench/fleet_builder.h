#pragma once

#include <vanillalift/control_state.h>

namespace vanillalift::bench {

/// Relative weights of a profile's objectives.
struct Weights {
    const char* name;
    double rollOut = 1;
    double share = 1;
    double buffer = 1;
    double move = 1;
};

struct FleetDesc {
    /// Number of instances of each pool.
    std::vector<int> poolSizes;
    /// Number of instances of the spare pool.
    int spare = 8;
    int zones = 4;
    Weights weights { "equal" };
};

inline std::string poolName(size_t n) { return "pool-" + std::to_string(n); }

/// @returns a state with one service for each pool, racks of four instances that are assigned to the zones round robin, and the
/// instances of each pool spread over the racks.
inline ControlState buildFleet(const FleetDesc& desc)
{
    ControlState state;
    auto apply = [&](const nlohmann::json& change, const char* author = "ana") {
        auto outcome = state.apply(ChangeCommand { author, "build-" + std::to_string(state.revision()), state.revision(), 0, change });
        if (!std::holds_alternative<ChangeAccepted>(outcome))
            throw std::logic_error(toJson(outcome).dump());
    };
    apply({ { "kind", "put-operator" }, { "name", "ana" }, { "role", "admin" }, { "salt", "00" }, { "hash", std::string(64, 'a') } }, "bootstrap");
    const auto& weights = desc.weights;
    apply({ { "kind", "put-profile" },
        { "profile", { { "name", "plain" }, { "availability_budget", 0.999 }, { "roll_out_weight", weights.rollOut }, { "share_weight", weights.share }, { "buffer_weight", weights.buffer }, { "move_weight", weights.move } } } });
    int serial = 0;
    auto putInstance = [&](const std::string& pool) {
        auto rack = serial / 4;
        apply({ { "kind", "put-instance" }, { "name", "i" + std::to_string(10000 + serial) }, { "zone", "z" + std::to_string(rack % desc.zones) }, { "rack", "r" + std::to_string(rack) },
            { "address", "127.0.0.1:" + std::to_string(10000 + serial) }, { "pool", pool } });
        ++serial;
    };
    apply({ { "kind", "put-pool" }, { "name", "spare" } });
    for (size_t n = 0; n < desc.poolSizes.size(); ++n) {
        apply({ { "kind", "put-service" }, { "service", { { "name", "service-" + std::to_string(n) }, { "profile", "plain" } } } });
        apply({ { "kind", "put-pool" }, { "name", poolName(n) }, { "service", "service-" + std::to_string(n) } });
    }
    bool hasAdded = true;
    for (int i = 0; hasAdded; ++i) {
        hasAdded = false;
        for (size_t n = 0; n < desc.poolSizes.size(); ++n) {
            if (i >= desc.poolSizes[n])
                continue;
            putInstance(poolName(n));
            hasAdded = true;
        }
    }
    for (int i = 0; i < desc.spare; ++i)
        putInstance("spare");
    return state;
}

} // namespace vanillalift::bench
