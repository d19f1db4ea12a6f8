/// \file
/// A value that readers see as it was some time ago.

#pragma once

#include <deque>
#include <utility>

#include "pimentoladder/Base/Time.h"

namespace pimentoladder::standins {

/// Holds a value and its past for as long as readers may see it.
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
        m_past.emplace_back(now, std::move(value));
        forget(now);
    }

    /// Returns the value as of `now - lag`, or the first value if none is that
    /// old. Precondition: `set` was called.
    const T& at(time_point now)
    {
        forget(now);
        return m_past.front().second;
    }

    const T& newest() const { return m_past.back().second; }

private:
    void forget(time_point now)
    {
        while (m_past.size() > 1 && m_past[1].first <= now - m_lag)
            m_past.pop_front();
    }

    duration m_lag;
    std::deque<std::pair<time_point, T>> m_past;
};

}
