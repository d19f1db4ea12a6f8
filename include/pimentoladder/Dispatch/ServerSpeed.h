/// \file
/// Time that a backend server needs for a request, as learnt from responses to all routers.

#pragma once

#include <array>
#include <cstddef>
#include <span>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// Prompt tokens that an engine reads per millisecond until its pool's speed is learnt.
inline constexpr double prefillTokensPerMillisecond = 51.1;

/// Returns the time an engine of usual speed needs to read \p tokens. Thread-safe.
duration prefillTime(double tokens);

/// What a server has to do until the first event of a request.
struct server_work {
    double tokens = 0; ///< Prompt tokens to read, including those of requests before it.
    double ownTokens = 0; ///< The part of them that belongs to the request itself.
    double running = 0; ///< Requests that the server runs, as reported; zero if it is not known.
    double plainInProgress = 0; ///< Requests of this router without a prompt that the server has not completed.
};

/// Speed of the servers of one pool, without anything that is peculiar to one of them. It starts
/// at stated defaults and follows the pool's responses by a Kalman filter whose state are the
/// coefficients of a linear model. Recording a response takes constant time and allocates
/// nothing. Not thread-safe; call on the loop's thread.
class pool_speed {
public:
    /// Coefficients of the model, each in milliseconds per unit.
    enum coefficient : std::size_t {
        base, ///< Of each request.
        perThousandTokens,
        perSquaredThousand, ///< Per square of the request's own thousands of tokens.
        perRunning,
        perPlainRequest,
        coefficients,
    };
    using coefficient_values = std::array<double, coefficients>;

    pool_speed();

    /// Returns the expected time until the first event.
    duration timeFor(const server_work& work) const;

    /// Records the time that a server of the pool took until the first event. A response that is
    /// far from the expected time moves the coefficients no more than one that is moderately far.
    void record(time_point now, const server_work& work, duration taken);

    /// Takes over coefficients in milliseconds, rounded to steps. Values out of bounds are brought into them; a wrong
    /// number of values is ignored.
    void adopt(std::span<const double> milliseconds);

    /// Returns the coefficients in force, all within their bounds.
    const coefficient_values& values() const { return m_values; }

private:
    void forget(time_point now);

    coefficient_values m_values;
    std::array<coefficient_values, coefficients> m_covariance {};
    double m_scatter; ///< Smoothed distance of responses from the expected time, in milliseconds.
    time_point m_learntAt;
};

/// Slowness of one incarnation of a server in relation to its pool: 1 is usual, 2 takes twice as
/// long. Not thread-safe; call on the loop's thread.
class server_speed {
public:
    /// Bounds of every slowness, learnt or reported.
    static constexpr double minSlowness = 0.25;
    static constexpr double maxSlowness = 4;

    /// Returns the slowness, which returns to 1 as the responses that it rests on become old.
    double slowness(time_point now) const;

    /// Returns whether the slowness rests on several responses. One alone may be late by chance.
    bool isKnown() const;

    /// Records that the server took \p taken for \p work, which \p pool tells the usual time of.
    /// Requests without a prompt are ignored: they differ more by what they ask for than by their server.
    void record(time_point now, const server_work& work, duration taken, const pool_speed& pool);

    /// Takes over a slowness, which is rounded to a step and brought into its bounds.
    void adopt(time_point now, double slowness);

private:
    double m_slowness = 1; ///< As of m_learntAt.
    double m_weight = 0; ///< Number of responses that it rests on, bounded.
    time_point m_learntAt;
};

/// Returns the slowness to expect of a server that has reported \p reported, \p age ago: it tends
/// to 1 as the report becomes old, because the figure changes within a second. Thread-safe.
double expectedSlowness(double reported, duration age);

}
