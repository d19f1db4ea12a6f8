/// \file
/// Calls of the core and of the administration API to the platform.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pimentoladder/Admin/ChangeStore.h"
#include "pimentoladder/Daemon/CoreDriver.h"
#include "pimentoladder/Platform/ObjectClient.h"
#include "pimentoladder/Platform/TableClient.h"
#include "pimentoladder/Platform/VmListClient.h"
#include "pimentoladder/Telemetry/Log.h"

namespace pimentoladder {

/// Clients of the platform's services. They outlive every object that uses them.
struct platform_clients {
    table_client& table;
    object_client& objects;
    vm_list_client& vms;
};

/// Turns the core's actions on the table, the object store and the VM list into
/// calls, and their answers into events. Not thread-safe; call on the loop's
/// thread.
class platform_gateway {
public:
    /// The references outlive the gateway.
    platform_gateway(core_driver& driver, logger& log, platform_clients clients, std::string name);
    ~platform_gateway();
    platform_gateway(const platform_gateway&) = delete;
    platform_gateway& operator=(const platform_gateway&) = delete;

    void perform(const poll_revision& poll);
    void perform(const fetch_rows& fetch);
    void perform(const commit_rows& commit);
    void perform(const write_claims& write);
    void perform(const read_claims& read);
    void perform(const store_body& store);

    /// Reads the list of VMs immediately, then at intervals.
    void watchVms();

    /// Reads the body of a recorded outcome. Passes `nullopt` to \p onEnd if
    /// there is no such object or it cannot be read.
    void readBody(const std::string& object, std::function<void(std::optional<std::string>)> onEnd);

    /// Returns the store through which the administration API changes the table.
    change_store& changes();

private:
    class table_change_store;

    void answerClaimConflict(const write_claims& write);
    void readClaimRows(const std::vector<claim_key>& keys, const std::function<void(std::optional<std::vector<claim_row>>)>& onEnd);
    void logFailure(std::string_view call, const error& failure);
    time_point deadline() const;

    core_driver& m_driver;
    logger& m_log;
    platform_clients m_clients;
    std::string m_name; ///< Prefix that makes this process's transaction ids unique.
    std::uint64_t m_lastTransaction = 0;
    loop_timer m_vmTimer;
    std::unique_ptr<table_change_store> m_changes;
};

}
