/// \file
/// Keeps the dispatcher's view of the fleet current: the rows that operators
/// and backend servers publish, the other routers, and what they have served.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "pimentoladder/Codec/MemberJson.h"
#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Daemon/PeerMesh.h"
#include "pimentoladder/Daemon/RolloutDriver.h"
#include "pimentoladder/Dispatch/FleetCodec.h"
#include "pimentoladder/Dispatch/FleetLimits.h"
#include "pimentoladder/Dispatch/UsageMonitor.h"
#include "pimentoladder/Dispatch/WorkspaceShare.h"
#include "pimentoladder/Platform/RowStore.h"
#include "pimentoladder/Replica/MemberRegistration.h"
#include "pimentoladder/Replica/RowRelay.h"
#include "pimentoladder/Telemetry/Log.h"
#include "pimentoladder/Telemetry/Metrics.h"

namespace pimentoladder {

using relay_driver = basic_core_driver<row_relay, relay_action>;

/// Compares rows by the decoded fields that the dispatcher uses. Thread-safe.
class decoded_rules final : public row_rules {
public:
    /// \p codec outlives this object.
    explicit decoded_rules(const fleet_codec& codec)
        : m_codec(codec)
    {
    }

    bool isSignificant(std::uint32_t table, const published_row& before, const published_row& after) const override;

    /// Compares the version of configurations, and the start and the sequence of
    /// registrations. Other rows are unordered unless they are equal.
    std::partial_ordering order(std::uint32_t table, const published_row& left, const published_row& right) const override;

private:
    const fleet_codec& m_codec;
};

/// Dependencies of the follower.
struct follower_parts {
    dispatch_driver& dispatch;
    row_store& store;
    const fleet_codec& codec;
    logger& log;
    metrics& values;
    relay_limits limits;
    rollout_limits rollouts;
    endpoint peerListen; ///< Where this router accepts links; other routers may reach it at another address.
    std::function<void(const serving_plan&)> planApplied; ///< Called with each configuration that comes into force.
};

/// Runs the row relay and the links to other routers, and decodes rows for the
/// dispatcher. Not thread-safe; call on the loop's thread.
class fleet_follower final : basic_action_handler<relay_action> {
public:
    /// The references in \p parts outlive the follower. \p self.peerLocation is
    /// where the other routers reach this one; \p freshKey is proposed as the
    /// fleet's key if there is none.
    fleet_follower(follower_parts parts, const fleet_router& self, const std::string& freshKey, std::uint64_t seed);

    void start();

    const peer_link_counters& linkCounters() const { return m_mesh.counters(); }

private:
    void handle(const relay_action& action) override;
    void perform(const read_table& step);
    void perform(const send_to_router& step);
    void perform(const row_changed& step);
    void perform(const table_listed& step);
    void perform(const basis_confirmed& step);
    void perform(const store_lost& step);
    void perform(const table_reads_recovered& step);
    void perform(const source_changed& step);
    void perform(const store_recovered& step);
    void perform(const outage_refuted& step);
    void perform(const store_era_changed& step);
    void perform(const restored_rows_accepted& step);
    void perform(const rows_overdue& step);
    void perform(const reader_answered& step);

    std::string nameOf(followed_table table) const;
    void applyOperatorRow(const published_row& row, bool mayBeOlder);
    void applyServerRow(const published_row& row);
    void reportUnreadable(const published_row& row, followed_table table, const error& fault);
    void updateMembers();
    void registerSelf();
    void exchangeUsage();
    void sendToReaders(const message& content);
    void sendToFollowers(const message& content);
    void setFleetUsage(time_point now, const vm_id& from, const usage_totals& totals);
    void reportUsageState(time_point now);
    void sendEvidence();
    void sendLosses(const std::set<vm_id>& peers, const server_losses& losses);
    void onMessage(const member_ref& from, const message& received);
    peer_mesh_owner meshOwner();

    follower_parts m_parts;
    fleet_router m_self;
    decoded_rules m_rules;
    row_relay m_relay;
    relay_driver m_driver;
    member_json_codec m_memberCodec;
    member_registration m_registration;
    usage_aggregator m_usage;
    usage_monitor m_usageMonitor;
    fleet_limits m_limits;
    std::set<vm_id> m_informedFollowers; ///< Followers that have been sent all evidence.
    peer_mesh m_mesh;
    rollout_driver m_rollouts;
    loop_timer m_registrationTimer;
    loop_timer m_usageTimer;
    loop_timer m_evidenceTimer;
    bool m_isListening = false;
    std::map<std::string, data_centre_id> m_outOfServiceByRow; ///< Data centres out of service, by the key of the row that lists them.
};

}
