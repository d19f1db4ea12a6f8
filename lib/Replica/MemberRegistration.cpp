#include "pimentoladder/Replica/MemberRegistration.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr const char* keyRow = "fleet-key";
    constexpr const char* memberPrefix = "router/";
    // Minimum time after a failed write, so that a failing store is not overloaded.
    constexpr duration writePause = 500ms;
    // Time between the turns of two routers to write after a restoration. The store accepts
    // 300 writes per second to one part.
    constexpr duration turnInterval = 5ms;
    // A written row shows in the replica within this time: readers read the members every 3 s.
    constexpr duration confirmationLimit = 5s;
    // Number of routers that write the key again at once after a restoration.
    constexpr std::ptrdiff_t keyWriters = 3;

}

member_registration::member_registration(fleet_router self, std::string proposedKey, const member_codec& codec)
    : m_self(std::move(self))
    , m_proposedKey(std::move(proposedKey))
    , m_codec(codec)
{
}

std::optional<member_row_write> member_registration::next(time_point now, const row_replica& members)
{
    if (!members.isWhole())
        return std::nullopt;
    enterEra(now, members);
    if (m_writing || now < m_nextWriteAt)
        return std::nullopt;
    auto write = missingRow(now, members);
    if (write)
        m_writing = write_in_progress { write->key, m_era };
    return write;
}

void member_registration::enterEra(time_point now, const row_replica& members)
{
    const store_era era = members.position().era;
    if (era == m_era)
        return;
    if (std::exchange(m_era, era)) {
        std::vector<fleet_router> routers = list(members);
        const std::ptrdiff_t turn = std::count_if(routers.begin(), routers.end(), [this](const fleet_router& each) { return each.vm < m_self.vm; });
        m_wasRestored = true;
        m_nextWriteAt = std::max(m_nextWriteAt, now + turn * turnInterval);
        m_notBefore.clear();
        if (turn >= keyWriters)
            m_notBefore[keyRow] = now + confirmationLimit;
    }
}

bool member_registration::isDue(time_point now, const std::string& key) const
{
    const auto found = m_notBefore.find(key);
    return found == m_notBefore.end() || now >= found->second;
}

std::optional<member_row_write> member_registration::missingRow(time_point now, const row_replica& members) const
{
    const std::string ownKey = memberPrefix + m_self.vm.value();
    const std::string ownValue = m_codec.encode(m_self);
    const published_row* own = members.findStored(ownKey);
    // Routers link only once the fleet has a key, so the first key comes before the rows.
    if (const bool hasKey = members.findStored(keyRow) != nullptr; !hasKey && isDue(now, keyRow))
        return member_row_write { keyRow, fleetKey(members).value_or(m_proposedKey), true };
    if ((!own || own->value != ownValue) && isDue(now, ownKey))
        return member_row_write { ownKey, ownValue, false };
    return std::nullopt;
}

bool member_registration::onWritten(time_point now, const result<void>& outcome)
{
    const auto ended = std::exchange(m_writing, std::nullopt);
    if (!outcome)
        m_nextWriteAt = std::max(m_nextWriteAt, now + writePause);
    else if (ended && ended->era == m_era) // A restoration may have undone the write.
        m_notBefore[ended->key] = now + confirmationLimit;
    // After a restoration the readers read the row, instead of all routers that have written.
    return !outcome || !m_wasRestored;
}

std::optional<std::string> member_registration::fleetKey(const row_replica& members)
{
    const published_row* row = members.find(keyRow);
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
