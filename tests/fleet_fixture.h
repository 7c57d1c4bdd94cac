#pragma once

#include <vanillalift/control_state.h>

#include <stdexcept>

/// Fixture of a control state with pools and instances, and helpers that apply changes and actions.
namespace vanillalift::test {

struct FleetFixture {
    ControlState state;
    uint64_t term = 1;
    int64_t nowMs = 1000;

    /// @param services number of services, each with the pool "pool-N" of @p size instances; a rack has four instances, and the
    /// racks are assigned to the zones round-robin. The pool "spare" has @p spare instances.
    FleetFixture(int services, int size, int spare, int zones = 4)
    {
        change({ { "kind", "put-operator" }, { "name", "ana" }, { "role", "admin" }, { "salt", "00" }, { "hash", std::string(64, 'a') } }, "bootstrap");
        change({ { "kind", "put-profile" }, { "profile", { { "name", "plain" }, { "availability_budget", 0.99 } } } });
        int serial = 0;
        auto put = [&](const std::string& pool) {
            auto rack = serial / 4;
            change({ { "kind", "put-instance" }, { "name", instanceName(serial) }, { "zone", "z" + std::to_string(rack % zones) }, { "rack", "r" + std::to_string(rack) },
                { "address", "127.0.0.1:" + std::to_string(10000 + serial) }, { "pool", pool } });
            ++serial;
        };
        for (int n = 0; n < services; ++n) {
            auto name = std::to_string(n);
            change({ { "kind", "put-service" }, { "service", { { "name", "service-" + name }, { "profile", "plain" } } } });
            change({ { "kind", "put-pool" }, { "name", "pool-" + name }, { "service", "service-" + name } });
        }
        change({ { "kind", "put-pool" }, { "name", "spare" } });
        // Spreads the instances of each pool over the racks.
        for (int i = 0; i < size; ++i) {
            for (int n = 0; n < services; ++n)
                put("pool-" + std::to_string(n));
        }
        for (int i = 0; i < spare; ++i)
            put("spare");
    }

    static std::string instanceName(int serial)
    {
        auto text = std::to_string(serial);
        return "i" + std::string(3 - std::min<size_t>(3, text.size()), '0') + text;
    }

    ChangeOutcome propose(const nlohmann::json& value, const std::string& author = "ana")
    {
        auto revision = state.revision();
        return state.apply(ChangeCommand { author, "op-" + std::to_string(++m_operations), revision, nowMs, value });
    }

    void change(const nlohmann::json& value, const std::string& author = "ana")
    {
        auto outcome = propose(value, author);
        if (!std::holds_alternative<ChangeAccepted>(outcome))
            throw std::logic_error(toJson(outcome).dump());
    }

    std::optional<FleetErrorCode> applyAction(FleetAction action) { return state.apply(FleetCommand { term, nowMs, std::move(action) }); }
    std::optional<FleetErrorCode> applyAction(FleetActionKind kind, const std::string& instance) { return applyAction({ .kind = kind, .instance = instance, .reason = "test" }); }
    std::optional<FleetErrorCode> beginDrain(const std::string& instance, const std::string& wave) { return applyAction({ .kind = FleetActionKind::BeginDrain, .instance = instance, .wave = wave, .reason = "test" }); }

    void startWave(const std::string& name, const std::vector<std::string>& pools) { change({ { "kind", "start-wave" }, { "name", name }, { "pools", pools }, { "deadline_ms", 100000000 } }); }

    [[nodiscard]] InstancePhase phase(const std::string& instance) const { return state.fleet().statusOf(instance).phase; }

private:
    int m_operations = 0;
};

} // namespace vanillalift::test
