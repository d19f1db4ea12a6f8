/// \file
/// Follows the rows that operators and backend servers publish.

#pragma once

#include <array>
#include <functional>
#include <string>

#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Dispatch/FleetCodec.h"
#include "pimentoladder/Platform/RowStore.h"
#include "pimentoladder/Telemetry/Log.h"
#include "pimentoladder/Telemetry/Metrics.h"

namespace pimentoladder {

/// Reads both tables whole, then follows their changes, and tells the
/// dispatcher what it learns and how old that is. After a gap in the history it
/// reads the table whole again; after a failure it tries again, with jitter.
/// Not thread-safe; call on the loop's thread.
class store_watcher {
public:
    /// The references outlive the watcher.
    store_watcher(dispatch_driver& driver, row_store& store, const fleet_codec& codec, logger& log, metrics& values, std::uint64_t seed);

    void start();

private:
    /// One table that is followed.
    struct followed_table {
        followed_table(event_loop& loop, std::string named, void (store_watcher::*applyRow)(const stored_row&), duration wait, duration pause, std::function<void()> read);

        std::string name;
        void (store_watcher::*apply)(const stored_row&);
        duration wait; ///< Longest wait of one read for a change.
        duration pause; ///< Least time between the starts of two reads.
        loop_timer timer;
        time_point sentAt;
        revision since;
        bool isWhole = false; ///< The table has been read whole, up to `since`.
        bool isFailing = false;
    };

    void read(followed_table& table);
    void onRead(followed_table& table, result<rows_page> answer);
    void onFailure(followed_table& table, const error& failure);
    void onPage(followed_table& table, const rows_page& page);
    void applyOperatorRow(const stored_row& row);
    void applyServerRow(const stored_row& row);
    void reportUnreadable(const stored_row& row, const std::string& table, const error& fault);
    void retainListed(const followed_table& table, const rows_page& page);

    dispatch_driver& m_driver;
    row_store& m_store;
    const fleet_codec& m_codec;
    logger& m_log;
    metrics& m_metrics;
    random_source m_random;
    std::set<data_centre_id> m_out;
    std::map<std::string, data_centre_id> m_outByRow;
    followed_table m_operators;
    followed_table m_servers;
};

}
