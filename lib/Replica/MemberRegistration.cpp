#include "pimentoladder/Replica/MemberRegistration.h"

#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr const char* keyRow = "fleet-key";
    constexpr const char* memberPrefix = "router/";
    // Minimum time between two writes, so that a failing store is not overloaded.
    constexpr duration writePause = 500ms;

    const published_row* findRow(const row_replica& members, const std::string& key)
    {
        const published_row* found = nullptr;
        members.forEachRow([&](const published_row& row) {
            if (row.key == key)
                found = &row;
        });
        return found;
    }

}

member_registration::member_registration(fleet_router self, std::string proposedKey, const member_codec& codec)
    : m_self(std::move(self))
    , m_proposedKey(std::move(proposedKey))
    , m_codec(codec)
{
}

std::optional<member_row_write> member_registration::next(time_point now, const row_replica& members)
{
    if (m_isWriting || !members.isWhole() || now < m_nextWriteAt)
        return std::nullopt;
    const std::string ownKey = memberPrefix + m_self.vm.value();
    const std::string ownValue = m_codec.encode(m_self);
    const published_row* own = findRow(members, ownKey);
    std::optional<member_row_write> write;
    if (!findRow(members, keyRow))
        write = member_row_write { keyRow, m_proposedKey, true };
    else if (!own || own->value != ownValue)
        write = member_row_write { ownKey, ownValue, false };
    if (write) {
        m_isWriting = true;
        m_nextWriteAt = now + writePause;
    }
    return write;
}

std::optional<std::string> member_registration::fleetKey(const row_replica& members)
{
    const published_row* row = findRow(members, keyRow);
    if (!row)
        return std::nullopt;
    return row->value;
}

std::vector<fleet_router> member_registration::list(const row_replica& members) const
{
    std::vector<fleet_router> listed;
    members.forEachRow([&](const published_row& row) {
        if (!row.key.starts_with(memberPrefix))
            return;
        if (auto decoded = m_codec.decode(row.value))
            listed.push_back(std::move(*decoded));
    });
    return listed;
}

}
