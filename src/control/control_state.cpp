#include <vanillalift/control_state.h>

#include "change_applier_p.h"
#include "fleet_applier_p.h"

#include <algorithm>
#include <array>

namespace vanillalift {

namespace {

    /// Operation ids are kept for 24 h, so that a retry after a lost response gets the outcome of the first submission.
    constexpr int64_t operationRetentionMs = 24LL * 3600 * 1000;
    constexpr size_t maxOperations = 10000;
    constexpr size_t maxHistory = 10000;
    /// Author of the change that creates the first operator account of a new group.
    constexpr std::string_view bootstrapAuthor = "bootstrap";

    bool isSameHolder(const LimitPart& a, const LimitPart& b)
    {
        return a.team == b.team && a.entry == b.entry && a.incarnation == b.incarnation;
    }

    int64_t sumOfAmounts(std::span<const LimitPart> parts, std::string_view team)
    {
        int64_t sum = 0;
        for (const auto& it : parts)
            sum += it.team == team ? it.amount : 0;
        return sum;
    }

} // namespace

std::string_view changeErrorCodeName(ChangeErrorCode code)
{
    constexpr std::array<std::string_view, static_cast<size_t>(ChangeErrorCode::ChangeErrorCodeCount)> names { "malformed", "not-permitted", "conflict", "reference" };
    return names.at(static_cast<size_t>(code));
}

ChangeOutcome ControlState::apply(const ChangeCommand& command)
{
    if (command.operation.empty() || command.operation.size() > config::maxRequestIdLength)
        return ChangeRejected { ChangeErrorCode::Malformed, "the operation id must have 1 to 128 characters", std::nullopt, m_revision };
    if (auto known = findOperation(command.operation))
        return *known;
    auto outcome = applyNewOperation(command);
    recordOperation(command, outcome);
    return outcome;
}

ChangeOutcome ControlState::applyNewOperation(const ChangeCommand& command)
{
    auto change = changeFromJson(command.change, "change");
    if (!change)
        return ChangeRejected { ChangeErrorCode::Malformed, describe(change.error()), std::nullopt, m_revision };
    if (!isPermitted(command, *change))
        return ChangeRejected { ChangeErrorCode::NotPermitted, "\"" + command.author + "\" lacks the role " + std::string(roleName(requiredRole(*change))), std::nullopt, m_revision };
    if (command.baseRevision != m_revision)
        return makeConflict(command.baseRevision);
    auto previousMaxTimeoutMs = maxTimeoutMs();
    auto refusal = std::visit(ChangeApplier(*this), *change);
    if (!refusal.empty())
        return ChangeRejected { ChangeErrorCode::Reference, refusal, std::nullopt, m_revision };
    retainMaxRunTime(previousMaxTimeoutMs, command.timeMs);
    appendHistory({ m_revision + 1, command.timeMs, command.author, command.operation, vanillalift::toJson(*change) });
    return ChangeAccepted { m_revision };
}

void ControlState::appendHistory(ChangeRecord record)
{
    m_revision = record.revision;
    m_history.push_back(std::move(record));
    if (m_history.size() > maxHistory)
        m_history.pop_front();
}

bool ControlState::isPermitted(const ChangeCommand& command, const Change& change) const
{
    if (m_operators.empty())
        return command.author == bootstrapAuthor && std::holds_alternative<PutOperator>(change);
    auto it = m_operators.find(command.author);
    return it != m_operators.end() && it->second.role >= requiredRole(change);
}

ChangeRejected ControlState::makeConflict(uint64_t baseRevision) const
{
    ChangeRejected rejected { ChangeErrorCode::Conflict, "the state is at revision " + std::to_string(m_revision) + ", not at the base revision " + std::to_string(baseRevision), std::nullopt, m_revision };
    auto it = std::find_if(m_history.begin(), m_history.end(), [&](const ChangeRecord& record) { return record.revision == baseRevision + 1; });
    if (it != m_history.end())
        rejected.conflictingChange = *it;
    return rejected;
}

void ControlState::recordOperation(const ChangeCommand& command, const ChangeOutcome& outcome)
{
    m_operations[command.operation] = { command.timeMs, outcome };
    m_operationOrder.push_back(command.operation);
    auto isOldestExpired = [&] { return m_operationOrder.size() > maxOperations || m_operations.find(m_operationOrder.front())->second.timeMs + operationRetentionMs < command.timeMs; };
    while (isOldestExpired()) {
        m_operations.erase(m_operationOrder.front());
        m_operationOrder.pop_front();
    }
}

std::optional<ChangeOutcome> ControlState::findOperation(std::string_view operation) const
{
    auto it = m_operations.find(operation);
    return it == m_operations.end() ? std::nullopt : std::optional(it->second.outcome);
}

std::optional<LimitPartsErrorCode> ControlState::apply(const LimitPartsCommand& command)
{
    auto parts = m_parts;
    for (const auto& it : command.parts) {
        if (it.target > it.amount || it.target < 0)
            return LimitPartsErrorCode::TargetOutOfRange;
        std::erase_if(parts, [&](const LimitPart& held) { return isSameHolder(held, it); });
        if (it.amount > 0)
            parts.push_back(it);
    }
    for (const auto& it : command.parts) {
        auto team = m_teams.find(it.team);
        if (team == m_teams.end())
            return LimitPartsErrorCode::TeamUnknown;
        auto sum = sumOfAmounts(parts, it.team);
        // After the limit was lowered, the sum may exceed it until the holders have reduced their parts, but must not grow.
        if (sum > team->second.upperLimit && sum > sumOfAmounts(m_parts, it.team))
            return LimitPartsErrorCode::OverLimit;
    }
    m_parts = std::move(parts);
    ++m_partsVersion;
    return std::nullopt;
}

void ControlState::apply(const RegisterEntryCommand& command)
{
    m_entries[command.name] = command.zone;
}

std::optional<FleetErrorCode> ControlState::apply(const FleetCommand& command)
{
    return FleetApplier(*this, command).run();
}

int64_t ControlState::maxTimeoutMs() const
{
    int64_t longest = 0;
    for (const auto& [name, profile] : m_profiles)
        longest = std::max(longest, profile.timeoutMs);
    return longest;
}

void ControlState::retainMaxRunTime(int64_t previousMs, int64_t nowMs)
{
    if (maxTimeoutMs() >= previousMs)
        return;
    // Entries may use the old profile for up to one lease, and requests that they dispatched run up to the old timeout.
    m_pastMaxRunTimeMs = nowMs < m_pastMaxRunTimeUntilMs ? std::max(m_pastMaxRunTimeMs, previousMs) : previousMs;
    m_pastMaxRunTimeUntilMs = nowMs + 2 * (m_pastMaxRunTimeMs + config::entryLease.count());
}

int64_t ControlState::maxRunTimeMs(int64_t nowMs) const
{
    auto longest = maxTimeoutMs();
    return nowMs < m_pastMaxRunTimeUntilMs ? std::max(longest, m_pastMaxRunTimeMs) : longest;
}

Catalog ControlState::catalog() const
{
    Catalog catalog;
    catalog.revision = m_revision;
    for (const auto& [name, profile] : m_profiles)
        catalog.profiles.push_back(profile);
    for (const auto& [name, service] : m_services)
        catalog.services.push_back(service);
    for (const auto& [name, team] : m_teams)
        catalog.teams.push_back(team);
    for (const auto& [id, key] : m_keys)
        catalog.keys.push_back(key);
    for (const auto& [name, status] : m_fleet.statuses) {
        if (status.drainRevision != 0)
            catalog.draining.push_back(name);
    }
    return catalog;
}

} // namespace vanillalift
