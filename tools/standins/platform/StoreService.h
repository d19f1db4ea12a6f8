/// \file
/// Stand-in for the platform's metadata store: rows, conditional transactions and
/// a change feed, in the published format. It can come back from a copy some seconds old.

#pragma once

#include <list>
#include <map>
#include <string>

#include "standins/Service.h"
#include "standins/platform/RowTables.h"

namespace pimentoladder::standins {

struct store_settings {
    /// A registration that is not renewed within this time is removed.
    duration registrationLifetime = std::chrono::seconds(3);
};

/// Not thread-safe; call on the loop's thread.
class store_service {
public:
    store_service(service_context context, store_settings settings);

    void handle(const exchange_ptr& exchange);

private:
    struct waiting_feed {
        exchange_ptr exchange;
        std::string table;
        std::uint64_t since = 0;
        tools::loop::timer_number timeout = 0;
    };
    using effect = std::function<void()>;

    /// The newest version from a moment on.
    struct dated_version {
        time_point at;
        std::uint64_t newest = 0;
    };

    void handleFault(const exchange_ptr& exchange);
    void restore(const fault& requested);
    void resetFeeds();
    void setEraHeader(const exchange_ptr& exchange);
    void handleTransaction(const exchange_ptr& exchange);
    void handleList(const exchange_ptr& exchange);
    void handleFeed(const exchange_ptr& exchange);

    /// Runs \p action, which answers \p exchange, subject to the faults of its
    /// path.
    void runWithFaults(const exchange_ptr& exchange, const effect& action);
    void commit(const exchange_ptr& exchange);
    void answer(const exchange_ptr& exchange, int status, const nlohmann::json& body);
    bool answerFeed(const exchange_ptr& exchange, const std::string& table, std::uint64_t since);
    void wakeFeeds();
    void onCommitted();
    void expireRegistrations();

    service_context m_context;
    store_settings m_settings;
    fault_plan m_faults;
    row_tables m_tables;
    std::list<waiting_feed> m_feeds;
    std::uint64_t m_era = 1;
    time_point m_awayUntil; ///< A store that is being restored resets every call until then.
    std::vector<dated_version> m_versions; ///< In ascending order; tells the age of a copy.
    std::map<row_name, time_point> m_registered; ///< When each registration was last written.
};

}
