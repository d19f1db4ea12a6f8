#include "pimentoladder/Dispatch/ServingPlan.h"

namespace pimentoladder {

route_table::route_table(const std::vector<route>& routes)
{
    for (const route& each : routes)
        m_byHost[each.host][each.prefix] = each;
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto ofHost = m_byHost.find(host);
    if (ofHost == m_byHost.end())
        return nullptr;
    // Prefixes end with a slash, so a match can end only at a slash of the path.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto found = ofHost->second.find(path.substr(0, slash + 1));
        if (found != ofHost->second.end())
            return &found->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

}
