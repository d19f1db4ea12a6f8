#include "pimentoladder/Dispatch/TenantShare.h"

#include <algorithm>

namespace pimentoladder {

double maxMinLevel(std::vector<double> demands, double capacity)
{
    std::sort(demands.begin(), demands.end());
    double left = capacity;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double even = left / static_cast<double>(demands.size() - i);
        if (demands[i] > even)
            return even;
        left -= demands[i];
    }
    return demands.empty() ? capacity : demands.back();
}

tenant_share::slot& tenant_share::slotAt(time_point now, const workspace_id& tenant)
{
    const std::int64_t index = now.time_since_epoch() / slotLength;
    slot& found = m_tenants[tenant][static_cast<std::size_t>(index) % slotCount];
    if (found.index != index)
        found = slot { index, {} };
    return found;
}

tenant_usage tenant_share::sumOf(const slots& counted, std::int64_t present)
{
    tenant_usage sum;
    for (const slot& each : counted) {
        if (each.index < 0 || each.index + static_cast<std::int64_t>(slotCount) <= present)
            continue;
        sum.asked += each.used.asked;
        sum.admitted += each.used.admitted;
    }
    return sum;
}

void tenant_share::recordAsked(time_point now, const workspace_id& tenant, double tokens)
{
    slotAt(now, tenant).used.asked += tokens;
}

void tenant_share::recordAdmitted(time_point now, const workspace_id& tenant, double tokens)
{
    slotAt(now, tenant).used.admitted += tokens;
}

tenant_usage tenant_share::usageOf(time_point now, const workspace_id& tenant)
{
    const std::int64_t present = slotAt(now, tenant).index;
    return sumOf(m_tenants[tenant], present);
}

bool tenant_share::isWithinShare(time_point now, const workspace_id& tenant, double tokens, double capacity)
{
    if (capacity <= 0)
        return true;
    const std::int64_t present = slotAt(now, tenant).index;
    std::vector<double> demands;
    demands.reserve(m_tenants.size());
    for (const auto& [id, counted] : m_tenants)
        demands.push_back(sumOf(counted, present).asked);
    const double level = maxMinLevel(std::move(demands), capacity);
    return sumOf(m_tenants[tenant], present).admitted + tokens <= level;
}

}
