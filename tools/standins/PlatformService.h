/// \file
/// Stand-in for the platform: transactional table, object store and VM list.

#pragma once

#include <map>
#include <string>

#include "standins/LaggedValue.h"
#include "standins/Service.h"
#include "standins/TableStore.h"

namespace pimentoladder::standins {

struct platform_settings {
    duration vmListLag = std::chrono::seconds(2);
    std::uint32_t readsPerSecond = 0; ///< Reads above this rate get 429; 0: unlimited.
    std::uint32_t writesPerSecond = 0; ///< Writes above this rate get 429; 0: unlimited.
};

/// Not thread-safe; call on the loop's thread.
class platform_service {
public:
    platform_service(service_context context, platform_settings settings);

    void handle(const exchange_ptr& exchange);

private:
    struct vm_entry {
        std::string address;
        std::string dataCentre;
        bool isLeaving = false;
    };
    using vm_map = std::map<std::string, vm_entry>;
    using effect = std::function<void(const exchange_ptr&)>;

    /// Counts the calls within the current second.
    struct rate_limit {
        std::uint32_t perSecond = 0;
        std::chrono::seconds second {};
        std::uint32_t used = 0;

        /// Counts a call. Returns whether it exceeds the limit.
        bool isExceededAt(time_point now);
    };

    void handleFault(const exchange_ptr& exchange);
    void handleTableRead(const exchange_ptr& exchange);
    void handleTransactions(const exchange_ptr& exchange);
    void handleObjectRead(const exchange_ptr& exchange);
    void handleObjectWrite(const exchange_ptr& exchange);
    void handleVmList(const exchange_ptr& exchange);
    void handleVmWrite(const exchange_ptr& exchange);
    void handleVmDelete(const exchange_ptr& exchange);

    /// Runs \p action on \p exchange, subject to the rate limit and the faults
    /// of \p target.
    void runWithFaults(const std::string& target, rate_limit& limit, const exchange_ptr& exchange, const effect& action);
    void answer(const exchange_ptr& exchange, const std::string& target, int status, const std::string& body);
    void answerRows(const std::string& name, const exchange_ptr& exchange);
    std::string applyTransactions(const std::string& name, const std::string& body);

    service_context m_context;
    fault_plan m_faults;
    rate_limit m_reads;
    rate_limit m_writes;
    std::map<std::string, table_namespace> m_namespaces;
    std::map<std::string, std::string> m_objects;
    lagged_value<vm_map> m_vms;
};

}
