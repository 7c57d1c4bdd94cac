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
        /// Whether the entry acts on the newest parts, so that it dispatches nothing above its target.
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
                    m_live.push_back(liveHolder(entry, record));
            }
            for (const auto& it : desc.state.parts()) {
                if (it.team == team.name)
                    addPart(it);
            }
        }

        void plan(std::vector<LimitPart>& changes)
        {
            reclaim(changes);
            for (auto& it : m_live)
                confirmShrink(it);
            auto wanted = wantedAmounts();
            for (size_t n = 0; n < m_live.size(); ++n)
                askToShrink(m_live[n], wanted[n]);
            int64_t free = m_team.upperLimit - m_held;
            for (size_t n = 0; n < m_live.size(); ++n)
                grow(m_live[n], wanted[n], free);
            for (const auto& it : m_live) {
                if (isChanged(it))
                    changes.push_back({ m_team.name, it.entry.name, it.entry.incarnation, it.amount, it.target });
            }
        }

    private:
        Holder liveHolder(const EntryId& entry, const EntryRecord& record) const
        {
            Holder holder { entry };
            holder.hasNewestParts = record.useVersion == m_desc.state.partsVersion();
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
            m_held += part.amount;
            auto it = std::find_if(m_live.begin(), m_live.end(), [&](const Holder& holder) { return holder.entry == EntryId { part.entry, part.incarnation }; });
            if (it == m_live.end()) {
                m_gone.push_back(part);
                return;
            }
            it->amount = part.amount;
            it->target = part.target;
        }

        void reclaim(std::vector<LimitPart>& changes)
        {
            for (const auto& it : m_gone) {
                if (m_desc.now < m_desc.entries.leaseEnd({ it.entry, it.incarnation }) + m_desc.runBound)
                    continue;
                changes.push_back({ it.team, it.entry, it.incarnation, 0, 0 });
                m_held -= it.amount;
            }
        }

        /// Divides the limit anew only if a holder wants more than it has, or the parts do not add up to the limit, so that
        /// small changes of demand cause no log entries.
        [[nodiscard]] std::vector<int64_t> wantedAmounts() const
        {
            auto isShort = [&](const Holder& it) { return it.demand > it.amount || it.amount == 0; };
            std::vector<int64_t> demands;
            std::vector<int64_t> targets;
            for (const auto& it : m_live) {
                demands.push_back(it.demand);
                targets.push_back(it.target);
            }
            bool isDivisionNeeded = m_held != m_team.upperLimit || std::any_of(m_live.begin(), m_live.end(), isShort);
            return isDivisionNeeded ? divideLimit(m_team.upperLimit, demands) : targets;
        }

        void confirmShrink(Holder& holder)
        {
            if (holder.target >= holder.amount || !holder.hasNewestParts || holder.running > holder.target)
                return;
            m_held -= holder.amount - holder.target;
            holder.amount = holder.target;
        }

        void askToShrink(Holder& holder, int64_t wanted) const
        {
            // Without this band, holders that all want more than the limit would pass units to and fro every second.
            auto band = m_held > m_team.upperLimit ? 0 : std::max<int64_t>(1, holder.amount / 10);
            if (wanted + band < holder.amount || (holder.amount > 1 && wanted == 1))
                holder.target = std::min(holder.target, wanted);
        }

        static void grow(Holder& holder, int64_t wanted, int64_t& free)
        {
            if (wanted <= holder.amount)
                return;
            auto growth = std::min(wanted - holder.amount, std::max<int64_t>(free, 0));
            holder.amount += growth;
            holder.target = holder.amount;
            free -= growth;
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
        std::vector<Holder> m_live;
        std::vector<LimitPart> m_gone;
        /// Sum of all parts, those of gone holders included.
        int64_t m_held = 0;
    };

} // namespace

std::vector<int64_t> divideLimit(int64_t limit, const std::vector<int64_t>& demands)
{
    std::vector<int64_t> amounts(demands.size(), 0);
    if (demands.empty())
        return amounts;
    auto rest = limit;
    for (auto& it : amounts) {
        it = rest > 0 ? 1 : 0;
        rest -= it;
    }
    // Serves unmet demand in proportion, so that each holder with demand gets the same fraction of it.
    int64_t unmet = 0;
    for (size_t n = 0; n < demands.size(); ++n)
        unmet += std::max<int64_t>(demands[n] - amounts[n], 0);
    auto granted = std::min(rest, unmet);
    for (size_t n = 0; n < demands.size() && unmet > 0; ++n) {
        auto need = std::max<int64_t>(demands[n] - amounts[n], 0);
        auto share = granted * need / unmet;
        unmet -= need;
        granted -= share;
        amounts[n] += share;
        rest -= share;
    }
    auto even = rest / static_cast<int64_t>(amounts.size());
    auto odd = rest % static_cast<int64_t>(amounts.size());
    for (auto& it : amounts) {
        it += even + (odd > 0 ? 1 : 0);
        odd -= odd > 0 ? 1 : 0;
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
