#include "pimentoladder/Rollout/RolloutCoordinator.h"

namespace pimentoladder {

struct rollout_coordinator::rollout { };

rollout_coordinator::rollout_coordinator(vm_id self, incarnation start, rollout_limits limits)
    : m_self(std::move(self))
    , m_start(start)
    , m_limits(limits)
{
}

rollout_coordinator::~rollout_coordinator() = default;

rollout_actions rollout_coordinator::onOrder(time_point, revision, const rollout_order&) { return {}; }
rollout_actions rollout_coordinator::onOrderRemoved(time_point, const pool_id&) { return {}; }
void rollout_coordinator::setReaders(std::vector<vm_id> readers, std::size_t routers)
{
    m_readers = std::move(readers);
    m_routers = routers;
}
void rollout_coordinator::setServers(const pool_id&, std::size_t, std::size_t) { }
rollout_actions rollout_coordinator::onReport(time_point, const member_ref&, const rollout_report&) { return {}; }
rollout_actions rollout_coordinator::onPermits(time_point, const rollout_permits&) { return {}; }
rollout_actions rollout_coordinator::onRead(time_point, const result<std::vector<std::pair<rollout_record, revision>>>&) { return {}; }
rollout_actions rollout_coordinator::onCommitted(time_point, const pool_id&, const result<revision>&) { return {}; }
rollout_actions rollout_coordinator::onTick(time_point) { return {}; }
std::optional<time_point> rollout_coordinator::nextDeadline(time_point) const { return std::nullopt; }
rollout_permits rollout_coordinator::permits(time_point) const { return {}; }
bool rollout_coordinator::isActive() const { return false; }

}
