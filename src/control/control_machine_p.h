#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/control_state.h>
#include <vanillalift/replica.h>

#include <condition_variable>
#include <functional>
#include <mutex>

namespace vanillalift {

/// The state machine that the replicated log drives; lets readers wait for changes. Thread-safe. Its mutex is a leaf lock: no
/// other module's lock is taken while it is held.
class ControlMachine final : public StateMachine {
public:
    std::string apply(uint64_t index, std::string_view command) override;
    [[nodiscard]] std::string snapshot() const override;
    void restore(std::string_view snapshot) override;

    /// @returns the result of @p reader, which is called with the state under the lock.
    template <typename Reader>
    auto read(Reader reader) const
    {
        std::lock_guard lock(m_mutex);
        return reader(m_state);
    }

    /// Waits until the state's revision or limit parts version differs from the given one, or until the deadline.
    /// @param clock source of the deadline's time.
    void waitForChange(uint64_t revision, uint64_t partsVersion, TimePoint deadline, const Clock& clock) const;

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    ControlState m_state;
};

/// Decodes the result of ControlMachine::apply().
nlohmann::json commandResultToJson(std::string_view result);

} // namespace vanillalift
