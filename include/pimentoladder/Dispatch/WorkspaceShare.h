/// \file
/// Max-min fair sharing of the engines' token throughput among workspaces, across all
/// routers.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Dispatch/ServerSpeed.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Tokens that a workspace requested and that were admitted.
struct workspace_usage {
    double asked = 0;
    double admitted = 0;
};

using workspace_usages = std::map<workspace_id, workspace_usage>;

/// Sums tokens, weighted by their age: usage loses its weight exponentially, so that no
/// workspace is allowed a burst at the moment at which an earlier one leaves a window.
/// Not thread-safe; call on the loop's thread.
class usage_decay {
public:
    /// Age at which usage counts 1/e, and the time over which a constant rate is summed.
    static constexpr std::chrono::duration<double> timeConstant = std::chrono::seconds(2);

    /// Returns the weight of usage of an age.
    static double keptAfter(duration age);

    void add(time_point now, const workspace_id& workspace, workspace_usage used);

    /// Returns the sums for all workspaces with usage within `lifetime`.
    workspace_usages sums(time_point now) const;

    /// Lowers what was admitted of a workspace to \p most, if it is more.
    void forgetAdmittedBeyond(time_point now, const workspace_id& workspace, double most);

private:
    static constexpr duration lifetime = std::chrono::seconds(20);

    struct timed_usage {
        workspace_usage used;
        time_point at;
    };

    static workspace_usage decayed(time_point now, const timed_usage& last);

    std::map<workspace_id, timed_usage> m_sums;
};

/// How much of its share a workspace has used.
struct share_use {
    /// Of its max-min share of the engines' throughput, or of what was admitted, if that is
    /// more. Above 1, it exceeds its share; that needs a demand of all beyond the capacity.
    double ofCapacity = 0;
    /// Of what the workspace that asks most may use; at most 1.
    double ofLargest = 0;
    /// Of its max-min share of what the fleet has served. Above 1, it was served more than its
    /// share and a few requests, however little the engines could do.
    double ofServed = 0;
    /// Of what it asked for within that share, what it was admitted. Below 1, it was refused
    /// although it was entitled; with a demand of few requests it is 1.
    double ofEntitled = 1;
};

/// Sums the usage reports of the routers and smooths their observations of servers.
/// Reports hold monotonic counters, so a lost or repeated report only delays the sums.
/// What a workspace was admitted far beyond its share is forgotten: it may have used idle
/// engines, and its later requests would be refused for as long as the excess needs to decay.
/// Not thread-safe; call on the loop's thread.
class usage_aggregator {
public:
    void onReport(time_point now, const member_ref& from, const usage_report& reported);
    usage_totals totals(time_point now) const;

private:
    struct reporter {
        time_point heardAt;
        std::map<workspace_id, workspace_usage> counted;
        std::map<server_id, double> pendingTokens;
        std::vector<pool_lateness> lateness;
    };

    struct observed_load {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
    };

    struct observed_server {
        duration delay {}; ///< Smoothed.
        time_point seenAt;
        observed_load load; ///< The newest one that a router has reported.
        time_point loadAt;
    };

    struct learnt_server {
        incarnation start;
        server_speed speed;
        time_point learntAt;
    };

    void observe(time_point now, const server_observation& seen);
    void learn(time_point now, const speed_sample& sample);
    void forgetExcess(time_point now);

    usage_decay m_sums;
    time_point m_excessForgottenAt;
    std::map<member_ref, reporter> m_reporters;
    std::map<server_id, observed_server> m_servers;
    std::map<pool_id, pool_speed> m_poolSpeeds;
    std::map<server_id, learnt_server> m_serverSpeeds;
};

/// Computes how much of its fair share each workspace has used. It adds this
/// router's tokens, requested and admitted, to the last sums of the fleet. Without recent
/// sums it assumes that every router has the usage of this one.
/// Not thread-safe; call on the loop's thread.
class workspace_share {
public:
    /// Counts the \p tokens of a caller's request.
    void recordAsked(time_point now, const workspace_id& workspace, double tokens);

    /// Counts the \p tokens of a request that was sent to a server.
    void recordAdmitted(time_point now, const workspace_id& workspace, double tokens);

    /// Returns this router's monotonic counters.
    usage_report report() const;

    /// Sets the fleet's sums. Sums that lack most of what the last ones contained are ignored
    /// until those have decayed: their sender has just become a reader.
    void setFleet(time_point now, const usage_totals& totals);

    /// Returns how much of its shares the workspace has used once \p tokens more are admitted.
    /// \p nominalCapacity is the engines' throughput in tokens per second, zero if it is
    /// unknown. \p routers is the size of the fleet, which scales this router's usage while
    /// there are no recent sums.
    share_use use(time_point now, const workspace_id& workspace, double tokens, double nominalCapacity, std::size_t routers);

    /// Returns the age of the fleet's sums, or nothing if there have been none.
    std::optional<duration> fleetAge(time_point now) const { return m_fleetAt ? std::optional(now - *m_fleetAt) : std::nullopt; }

private:
    void record(time_point now, const workspace_id& workspace, workspace_usage used);
    workspace_usages fleetUsage(time_point now, std::size_t routers) const;
    bool isIncomplete(time_point now, const usage_totals& totals) const;
    /// Sets `ofServed` and `ofEntitled`.
    void setUseOfServed(time_point now, const workspace_id& workspace, double tokens, share_use& result);

    usage_decay m_local;
    workspace_usages m_counters;
    std::optional<time_point> m_fleetAt;
    workspace_usages m_fleet; ///< As received, plus this router's usage since then.
    workspace_usages m_sums; ///< As received.
    std::map<workspace_id, double> m_servedShares; ///< By `m_sums`, computed on demand.
};

/// Returns the level L at which the sum of min(demand, L) over the demands
/// equals \p capacity, or the largest demand if all fit. Thread-safe.
double maxMinLevel(std::vector<double> demands, double capacity);

}
