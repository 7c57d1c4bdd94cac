#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/control_state.h>
#include <vanillalift/replica.h>

#include <condition_variable>
#include <functional>
#include <mutex>

namespace vanillalift {

/// The control state behind the replicated log, with waiting for changes. Thread-safe; its mutex is held by no caller of
/// another module's lock.
class ControlMachine final : public StateMachine {
public:
    std::string apply(uint64_t index, std::string_view command) override;
    [[nodiscard]] std::string snapshot() const override;
    void restore(std::string_view snapshot) override;

    /// Calls @p reader with the state under the lock.
    template <typename Reader>
    auto read(Reader reader) const
    {
        std::lock_guard lock(m_mutex);
        return reader(m_state);
    }

    /// Waits until the state's revision or parts version differs from the given ones, or the deadline.
    void waitForChange(uint64_t revision, uint64_t partsVersion, TimePoint deadline, const Clock& clock) const;

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    ControlState m_state;
};

/// @returns the outcome of an applied ChangeCommand from the result that ControlMachine::apply() gave.
nlohmann::json commandResultToJson(std::string_view result);

} // namespace vanillalift
