/// \file
/// Client of the platform's object store.

#pragma once

#include <functional>
#include <optional>
#include <string>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Platform/CallRunner.h"

namespace pimentoladder {

/// Reads and writes objects by key. Not thread-safe; call on the loop's thread.
/// The runner must outlive it and the calls in flight.
class object_client {
public:
    explicit object_client(call_runner& runner)
        : m_runner(runner)
    {
    }

    /// Stores an object. A retry may take effect after a later call for the same
    /// key, so each key must only ever be written with one value.
    /// Errors: those of `call_runner::run`.
    void put(const std::string& key, std::string body, time_point deadline, std::function<void(result<void>)> onEnd);

    /// Reads an object; `nullopt` if the key does not exist.
    /// Errors: those of `call_runner::run`.
    void get(const std::string& key, time_point deadline, std::function<void(result<std::optional<std::string>>)> onEnd);

private:
    call_runner& m_runner;
};

}
