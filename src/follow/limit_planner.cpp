#include "limit_planner_p.h"

#include <algorithm>

namespace vanillalift {

namespace {

    struct Holder {
        EntryId entry;
        int64_t amount = 0;
        int64_t target = 0;
        int64_t running = 0;
        int64_t demand = 0;
        /// Whether the reported usage was read under the newest parts, so that the entry starts nothing above its target.
        bool hasNewestParts = false;
    };

    /// Plans the parts of one team.
    class TeamPlan {
    public:
        TeamPlan(const LimitPlanDesc& desc, const Team& team)
            : m_desc(desc)
            , m_team(team)
        {
            for (const auto& [entry, record] : desc.entries.entries()) {
                if (desc.entries.isLive(entry, desc.now))
                    m_liveHolders.push_back(makeLiveHolder(entry, record));
            }
            for (const auto& it : desc.state.parts()) {
                if (it.team == team.name)
                    addPart(it);
            }
        }

        void plan(std::vector<LimitPart>& changes)
        {
            reclaimDepartedParts(changes);
            for (auto& it : m_liveHolders)
                completeShrink(it);
            auto desired = desiredAmounts();
            for (size_t n = 0; n < m_liveHolders.size(); ++n)
                requestShrink(m_liveHolders[n], desired[n]);
            int64_t unallocated = m_team.upperLimit - m_allocated;
            for (size_t n = 0; n < m_liveHolders.size(); ++n)
                grow(m_liveHolders[n], desired[n], unallocated);
            for (const auto& it : m_liveHolders) {
                if (isChanged(it))
                    changes.push_back({ m_team.name, it.entry.name, it.entry.incarnation, it.amount, it.target });
            }
        }

    private:
        Holder makeLiveHolder(const EntryId& entry, const EntryRecord& record) const
        {
            Holder holder { entry };
            holder.hasNewestParts = record.usagePartsVersion == m_desc.state.partsVersion();
            for (const auto& it : record.use) {
                if (it.team != m_team.name)
                    continue;
                holder.running = it.running;
                holder.demand = it.running + it.queued;
            }
            return holder;
        }

        void addPart(const LimitPart& part)
        {
            m_allocated += part.amount;
            auto it = std::find_if(m_liveHolders.begin(), m_liveHolders.end(), [&](const Holder& holder) { return holder.entry == EntryId { part.entry, part.incarnation }; });
            if (it == m_liveHolders.end()) {
                m_departedParts.push_back(part);
                return;
            }
            it->amount = part.amount;
            it->target = part.target;
        }

        /// Frees the parts of entries without a lease once their requests must have ended.
        void reclaimDepartedParts(std::vector<LimitPart>& changes)
        {
            for (const auto& it : m_departedParts) {
                if (m_desc.now < m_desc.entries.leaseEnd({ it.entry, it.incarnation }) + m_desc.maxRunTime)
                    continue;
                changes.push_back({ it.team, it.entry, it.incarnation, 0, 0 });
                m_allocated -= it.amount;
            }
        }

        /// Divides the limit again only if a holder needs more than it has or the parts do not add up to the limit, so that
        /// small changes of demand cause no log entries.
        [[nodiscard]] std::vector<int64_t> desiredAmounts() const
        {
            auto needsMore = [&](const Holder& it) { return it.demand > it.amount || it.amount == 0; };
            std::vector<int64_t> demands;
            std::vector<int64_t> targets;
            for (const auto& it : m_liveHolders) {
                demands.push_back(it.demand);
                targets.push_back(it.target);
            }
            bool isDivisionNeeded = m_allocated != m_team.upperLimit || std::any_of(m_liveHolders.begin(), m_liveHolders.end(), needsMore);
            return isDivisionNeeded ? divideLimit(m_team.upperLimit, demands) : targets;
        }

        /// Lowers the amount to the target after the holder has reported that it runs no more than the target.
        void completeShrink(Holder& holder)
        {
            if (holder.target >= holder.amount || !holder.hasNewestParts || holder.running > holder.target)
                return;
            m_allocated -= holder.amount - holder.target;
            holder.amount = holder.target;
        }

        void requestShrink(Holder& holder, int64_t desired) const
        {
            // Without hysteresis, holders whose demand exceeds the limit would exchange permits every second.
            auto hysteresis = m_allocated > m_team.upperLimit ? 0 : std::max<int64_t>(1, holder.amount / 10);
            if (desired + hysteresis < holder.amount || (holder.amount > 1 && desired == 1))
                holder.target = std::min(holder.target, desired);
        }

        static void grow(Holder& holder, int64_t desired, int64_t& unallocated)
        {
            if (desired <= holder.amount)
                return;
            auto growth = std::min(desired - holder.amount, std::max<int64_t>(unallocated, 0));
            holder.amount += growth;
            holder.target = holder.amount;
            unallocated -= growth;
        }

        [[nodiscard]] bool isChanged(const Holder& holder) const
        {
            for (const auto& it : m_desc.state.parts()) {
                if (it.team == m_team.name && it.entry == holder.entry.name && it.incarnation == holder.entry.incarnation)
                    return it.amount != holder.amount || it.target != holder.target;
            }
            return holder.amount > 0;
        }

        const LimitPlanDesc& m_desc;
        const Team& m_team;
        std::vector<Holder> m_liveHolders;
        std::vector<LimitPart> m_departedParts;
        /// Sum of the amounts of all parts, including those of entries without a lease.
        int64_t m_allocated = 0;
    };

} // namespace

std::vector<int64_t> divideLimit(int64_t limit, const std::vector<int64_t>& demands)
{
    std::vector<int64_t> amounts(demands.size(), 0);
    if (demands.empty())
        return amounts;
    auto remaining = limit;
    for (auto& it : amounts) {
        it = remaining > 0 ? 1 : 0;
        remaining -= it;
    }
    // Each holder gets the same fraction of its unmet demand.
    int64_t unmetDemand = 0;
    for (size_t n = 0; n < demands.size(); ++n)
        unmetDemand += std::max<int64_t>(demands[n] - amounts[n], 0);
    auto grantable = std::min(remaining, unmetDemand);
    for (size_t n = 0; n < demands.size() && unmetDemand > 0; ++n) {
        auto shortfall = std::max<int64_t>(demands[n] - amounts[n], 0);
        auto share = grantable * shortfall / unmetDemand;
        unmetDemand -= shortfall;
        grantable -= share;
        amounts[n] += share;
        remaining -= share;
    }
    auto quotient = remaining / static_cast<int64_t>(amounts.size());
    auto remainder = remaining % static_cast<int64_t>(amounts.size());
    for (auto& it : amounts) {
        it += quotient + (remainder > 0 ? 1 : 0);
        remainder -= remainder > 0 ? 1 : 0;
    }
    return amounts;
}

std::optional<LimitPartsCommand> planParts(const LimitPlanDesc& desc)
{
    LimitPartsCommand command;
    for (const auto& [name, team] : desc.state.teams())
        TeamPlan(desc, team).plan(command.parts);
    if (command.parts.empty())
        return std::nullopt;
    return command;
}

} // namespace vanillalift
