/// \file
/// A value that readers see with a fixed lag.

#pragma once

#include <deque>
#include <utility>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder::standins {

/// Holds a value and the earlier values that readers can still see.
/// Not thread-safe; call on the loop's thread.
template <typename T>
class lagged_value {
public:
    explicit lagged_value(duration lag)
        : m_lag(lag)
    {
    }

    void set(time_point now, T value)
    {
        m_history.emplace_back(now, std::move(value));
        discardExpired(now);
    }

    /// Returns the value as of `now - lag`, or the first value if none is that
    /// old. Precondition: `set` was called.
    const T& at(time_point now)
    {
        discardExpired(now);
        return m_history.front().second;
    }

    const T& newest() const { return m_history.back().second; }

private:
    void discardExpired(time_point now)
    {
        while (m_history.size() > 1 && m_history[1].first <= now - m_lag)
            m_history.pop_front();
    }

    duration m_lag;
    std::deque<std::pair<time_point, T>> m_history;
};

}
