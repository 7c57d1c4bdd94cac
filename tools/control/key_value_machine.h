#pragma once

#include <vanillalift/replica.h>

#include <nlohmann/json.hpp>

namespace vanillalift {

/// Stands in for the state machine of control until that exists. Commands are JSON `{"key", "value"}`.
class KeyValueMachine final : public StateMachine {
public:
    std::string apply(uint64_t /*index*/, std::string_view command) override
    {
        auto value = nlohmann::json::parse(command, nullptr, false);
        if (!value.is_object() || !value.contains("key") || !value["key"].is_string())
            return R"({"error":"malformed"})";
        m_values[value["key"].get<std::string>()] = value.value("value", nlohmann::json());
        return "{}";
    }
    [[nodiscard]] std::string snapshot() const override { return m_values.dump(); }
    void restore(std::string_view snapshot) override { m_values = nlohmann::json::parse(snapshot, nullptr, false); }

private:
    nlohmann::json m_values = nlohmann::json::object();
};

} // namespace vanillalift
