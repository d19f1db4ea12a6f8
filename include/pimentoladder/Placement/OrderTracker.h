/// \file
/// Tracks orders to engines from the decision until their effect is read back.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Number of an order, unique for one router incarnation.
using order_number = strong_number<struct order_tag>;

enum class placement_action {
    load,
    unload,
};

/// Returns the action's name in the engines' protocol. Thread-safe.
std::string_view placementActionName(placement_action action);

/// An order to an engine.
struct placement_order {
    order_number number;
    server_id server;
    placement_action action = placement_action::load;
    model_id model;
    fencing_token token;
};

/// Outcome of the call that sent an order to an engine.
enum class order_outcome {
    accepted,
    refusedOldToken, ///< The engine has seen the fencing token of a newer owner.
    failed, ///< The order had no effect, or was refused for another reason.
    unknown, ///< The order may have taken effect.
};

/// Models that an engine reports.
struct engine_state {
    server_id server;
    std::set<model_id> loaded;
    std::optional<std::set<model_id>> loading; ///< Absent in load reports.
    time_point takenAt; ///< At or before the time at which the state was taken.
};

struct order_book_settings {
    duration readInterval = std::chrono::milliseconds(500); ///< Between two reads of an engine that has an order in progress.
    /// Earliest read after sending that can show that an order had no effect.
    /// Longer than the deadline of the order's HTTP call (1 s), because an
    /// earlier read may overtake an order that is still in transit.
    duration resolveAfter = std::chrono::milliseconds(1500);
    duration retryAfter = std::chrono::seconds(5); ///< Wait before the next order after one that failed or had no effect.
};

struct order_counters {
    std::uint64_t sent = 0;
    std::uint64_t confirmed = 0; ///< Effect read back.
    std::uint64_t lost = 0; ///< Failed, or without effect when read back.
    std::uint64_t refused = 0; ///< Because the engine has seen a newer fencing token.
};

/// Tracks at most one order for each engine of a shard, and the models that each
/// engine has loaded. An order counts as done only when its effect has been read
/// back. Not thread-safe; call on the loop's thread.
class order_tracker {
public:
    explicit order_tracker(order_book_settings settings = {});

    /// Sets the engines of the shard. Each is read before its first order,
    /// because it may still be loading a model that an earlier owner ordered.
    void setServers(const std::set<server_id>& servers);

    /// An order is about to be sent. Precondition: `mayOrder` holds for its server.
    void begin(const placement_order& order, time_point now);

    /// An engine answered order \p number, or the call failed. The answer to an order
    /// that is no longer in progress is ignored.
    void onAnswer(const server_id& server, order_number number, order_outcome outcome, time_point now);

    /// An engine reported its models. A state older than the known one is ignored.
    void onState(const engine_state& state, time_point now);

    /// The ownership was confirmed by information from the time \p basis. If that
    /// is after the last refusal, orders are no longer stopped.
    void onOwnershipConfirmed(time_point basis);

    /// Returns whether orders are stopped because an engine has seen a newer token.
    bool isStopped() const { return m_stoppedAt.has_value(); }

    /// Returns whether a new order may be sent to \p server.
    bool mayOrder(const server_id& server, time_point now) const;

    /// Returns the order in progress at \p server; null if there is none.
    const placement_order* pending(const server_id& server) const;

    /// Returns whether \p server is loading \p model or has an order to load it.
    bool isLoading(const server_id& server, const model_id& model) const;

    /// Returns whether \p server is loading any model or has an order to load one.
    bool isLoadingAny(const server_id& server) const;

    /// Returns the models that requests may use at \p server: loaded ones
    /// without an order to unload them.
    std::set<model_id> usableModels(const server_id& server) const;

    /// Returns the models that \p server has loaded; null if it has not reported them.
    const std::set<model_id>* loaded(const server_id& server) const;

    /// Returns when \p server was first known to have \p model; none if it is not
    /// known to have it.
    std::optional<time_point> loadedSince(const server_id& server, const model_id& model) const;

    /// Returns the engines to read now and records them as read.
    std::vector<server_id> takeReadsDue(time_point now);

    const order_counters& counters() const { return m_counters; }

private:
    enum class progress {
        sent,
        accepted,
        unresolved, ///< The answer was lost; reading back decides.
    };
    struct pending_order {
        placement_order order;
        time_point sentAt;
        progress state = progress::sent;
    };
    struct known_engine {
        std::set<model_id> loaded;
        std::optional<std::set<model_id>> loading; ///< Empty until the engine was first read.
        std::map<model_id, time_point> since;
        std::optional<time_point> readAt;
        time_point takenAt;
        bool isStated = false;
        time_point retryAt;
    };

    bool isReadDue(const server_id& server, const known_engine& known, time_point now) const;
    void drop(const server_id& server, time_point now);

    order_book_settings m_settings;
    std::map<server_id, pending_order> m_pending;
    std::map<server_id, known_engine> m_engines;
    std::optional<time_point> m_stoppedAt;
    order_counters m_counters;
};

}
