/// \file
/// Decides which new requests a router with an overloaded event loop refuses at once.

#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Limits the rate at which a router accepts requests, so that its event loop keeps up.
///
/// The callers of a large workspace can gather at one small router while all others are
/// idle. A refused request comes again at another router, so refusing it early serves it
/// better than letting it wait here. The limit falls while the loop lags and grows while it
/// does not. It is divided into max-min shares, so that the workspaces with few requests are
/// not affected by the flood of another one. Not thread-safe; call on the loop's thread.
class load_shedder {
public:
    /// Lag above which the limit falls. A request waits for the loop four times, and the
    /// shortest objectives of streams are 400 ms.
    static constexpr duration targetLag = std::chrono::milliseconds(25);
    /// The limit does not fall below this number of requests a second, which takes a small
    /// part of any router, so that a lag with another cause leads to no refusals.
    static constexpr double minPerSecond = 30;

    /// Adapts the limit to the smoothed \p lag of the loop.
    void onLag(time_point now, duration lag);

    /// Counts a new request and returns whether to refuse it.
    bool shouldRefuse(time_point now, const workspace_id& workspace);

    /// Returns whether a request was refused lately.
    bool isRefusing(time_point now) const;

    /// Takes the numbers of requests that were refused since the last call.
    std::map<workspace_id, std::uint64_t> takeRefused();

    /// Returns the number of requests accepted a second, or nothing while all are.
    std::optional<double> limit() const { return m_limit; }

private:
    struct workspace_rate {
        double asked = 0; ///< Requests since the last adaptation.
        std::uint64_t refused = 0; ///< Requests since the last call of `takeRefused`.
        double perSecond = 0; ///< Smoothed rate of requests.
        double allowance = 0; ///< Requests that may be accepted, as of refilledAt.
        time_point refilledAt;
    };

    void adapt(duration elapsed, duration lag);
    void updateRates(duration elapsed);
    /// Sets the share of the limit that each workspace may use.
    void divideLimit();

    std::map<workspace_id, workspace_rate> m_rates;
    std::optional<double> m_limit;
    std::optional<time_point> m_adaptedAt;
    duration m_lag {}; ///< As of the last adaptation.
    double m_sharePerSecond = 0;
    std::optional<time_point> m_refusedAt; ///< When the last request was refused.
    double m_accepted = 0; ///< Requests accepted since the last adaptation.
};

}
