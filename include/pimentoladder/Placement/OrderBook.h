/// \file
/// Orders to engines, from the decision until their effect is read back.

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

/// Returns the action's name as engines read it. Thread-safe.
std::string_view placementActionName(placement_action action);

/// An order to an engine.
struct placement_order {
    order_number number;
    server_id server;
    placement_action action = placement_action::load;
    model_id model;
    fencing_token token;
};

/// What an engine answered to an order.
enum class order_outcome {
    accepted,
    refusedOldToken, ///< The engine has seen a newer owner's token.
    failed, ///< It had no effect, or was refused for another reason.
    unknown, ///< It may have taken effect.
};

/// Models of an engine as it states them.
struct engine_state {
    server_id server;
    std::set<model_id> loaded;
    std::optional<std::set<model_id>> loading; ///< Not stated in load reports.
    time_point takenAt; ///< Not after the state was taken.
};

struct order_book_settings {
    duration readInterval = std::chrono::milliseconds(500); ///< Between two reads of an engine with an order in progress.
    /// After the deadline of an order's HTTP call (1 s), so that a read cannot
    /// pass an order that is still on its way.
    duration resolveAfter = std::chrono::milliseconds(1500);
    duration retryAfter = std::chrono::seconds(5); ///< Wait after an order that failed or had no effect.
};

struct order_counters {
    std::uint64_t sent = 0;
    std::uint64_t confirmed = 0; ///< Effect read back.
    std::uint64_t lost = 0; ///< Failed, or without effect when read back.
    std::uint64_t refused = 0; ///< Because of an older token.
};

/// Holds at most one order for each engine of a shard, and what each engine
/// has loaded. An order counts only when its effect has been read back. Not
/// thread-safe; call on the loop's thread.
class order_book {
public:
    explicit order_book(order_book_settings settings = {});

    /// Sets the engines of the shard. Each is read before its first order,
    /// because it may still load what an earlier owner ordered.
    void setServers(const std::set<server_id>& servers);

    /// An order is about to be sent. Precondition: `mayOrder` holds for its server.
    void begin(const placement_order& order, time_point now);

    void onAnswer(const server_id& server, order_number number, order_outcome outcome, time_point now);

    /// An engine stated its models.
    void onState(const engine_state& state, time_point now);

    /// The ownership was confirmed by evidence from \p basis. Evidence from
    /// after a refusal ends the stop that the refusal caused.
    void onOwnershipConfirmed(time_point basis);

    /// Returns whether orders are stopped because an engine knows a newer token.
    bool isStopped() const { return m_stoppedAt.has_value(); }

    /// Returns whether a new order may be given to \p server.
    bool mayOrder(const server_id& server, time_point now) const;

    /// Returns the order in progress at \p server; null if there is none.
    const placement_order* pending(const server_id& server) const;

    /// Returns whether \p server loads \p model, or is ordered to.
    bool isLoading(const server_id& server, const model_id& model) const;

    /// Returns whether \p server loads any model, or is ordered to.
    bool isLoadingAny(const server_id& server) const;

    /// Returns the models that requests may use at \p server: loaded ones
    /// without an order to unload them.
    std::set<model_id> usable(const server_id& server) const;

    /// Returns what \p server has loaded; null if it has not stated it.
    const std::set<model_id>* loaded(const server_id& server) const;

    /// Returns since when \p server has had \p model, as far as known.
    std::optional<time_point> loadedSince(const server_id& server, const model_id& model) const;

    /// Returns the engines to read now, and counts them as read.
    std::vector<server_id> takeReadsDue(time_point now);

    const order_counters& counters() const { return m_counters; }

private:
    enum class progress {
        sent,
        accepted,
        unresolved, ///< The answer was lost.
    };
    struct pending_order {
        placement_order order;
        time_point sentAt;
        progress state = progress::sent;
    };
    struct known_engine {
        std::set<model_id> loaded;
        std::optional<std::set<model_id>> loading; ///< None before the engine was first read.
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
