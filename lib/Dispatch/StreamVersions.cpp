#include "pimentoladder/Dispatch/StreamVersions.h"

#include <algorithm>
#include <utility>

#include "pimentoladder/Dispatch/ServerSelector.h"

namespace pimentoladder {

void stream_versions::setListed(time_point now)
{
    if (!m_knownSince)
        m_knownSince = now;
    confirm(now);
}

void stream_versions::confirm(time_point listedAt)
{
    m_listedAt = std::max(m_listedAt.value_or(listedAt), listedAt);
}

void stream_versions::use(time_point now, const pool_id& pool, const std::string& version)
{
    time_point& last = m_uses[pool][version];
    last = std::max(last, now);
}

void stream_versions::begin(time_point now, const std::string& id, const pool_id& pool, const std::string& version)
{
    if (id.empty())
        return;
    const stream_record record { fingerprint(hashName(id)), pool, version, now };
    keep(now, record);
    m_unreported.push_back(record);
}

void stream_versions::keep(time_point now, stream_record record)
{
    expire(now);
    m_byStream[record.stream] = m_firstRecord + m_records.size();
    m_records.push_back(std::move(record));
}

void stream_versions::expire(time_point now)
{
    while (!m_records.empty() && (now - m_records.front().at > m_lifetime || m_records.size() > maxRecords)) {
        const auto found = m_byStream.find(m_records.front().stream);
        if (found != m_byStream.end() && found->second == m_firstRecord)
            m_byStream.erase(found);
        m_records.pop_front();
        ++m_firstRecord;
    }
}

std::vector<version_use> stream_versions::usesWithin(time_point now) const
{
    std::vector<version_use> uses;
    for (const auto& [pool, versions] : m_uses) {
        for (const auto& [version, last] : versions) {
            if (now - last <= m_lifetime)
                uses.push_back({ pool, version, now - last });
        }
    }
    return uses;
}

bool stream_versions::hasSeveralVersions(time_point now) const
{
    const std::vector<version_use> uses = usesWithin(now);
    const auto isSamePool = [](const version_use& left, const version_use& right) { return left.pool == right.pool; };
    return std::adjacent_find(uses.begin(), uses.end(), isSamePool) != uses.end();
}

std::optional<version_use> stream_versions::findRecord(time_point now, const std::string& id)
{
    expire(now);
    const auto found = id.empty() ? m_byStream.end() : m_byStream.find(fingerprint(hashName(id)));
    if (found == m_byStream.end())
        return std::nullopt;
    const stream_record& record = m_records[found->second - m_firstRecord];
    return version_use { record.pool, record.version, now - record.at };
}

std::optional<std::string> stream_versions::onlyVersion(time_point now, const pool_id& pool) const
{
    const bool isCurrent = m_listedAt && now - *m_listedAt <= m_maxListAge;
    const bool knowsAll = isCurrent && m_knownSince && now - *m_knownSince >= m_lifetime;
    const auto known = m_uses.find(pool);
    if (!knowsAll || known == m_uses.end())
        return std::nullopt;
    const auto isInUse = [&](const auto& each) { return now - each.second <= m_lifetime; };
    if (std::count_if(known->second.begin(), known->second.end(), isInUse) != 1)
        return std::nullopt;
    return std::find_if(known->second.begin(), known->second.end(), isInUse)->first;
}

void stream_versions::addUses(time_point now, std::optional<time_point>& sentAt, stream_origins& to) const
{
    if (sentAt && now - *sentAt < usesInterval)
        return;
    sentAt = now;
    to.uses = usesWithin(now);
    if (m_knownSince)
        to.knownFor = std::min<duration>(now - *m_knownSince, 2 * m_lifetime);
}

void stream_versions::append(stream_origins& to, const stream_record& record)
{
    // Records stay in order, because the last one of a stream counts.
    const bool isNewGroup = to.groups.empty() || to.groups.back().pool != record.pool || to.groups.back().version != record.version;
    if (isNewGroup)
        to.groups.push_back({ record.pool, record.version, {} });
    to.groups.back().streams.push_back(record.stream);
}

stream_origins stream_versions::takeOwn(time_point now)
{
    stream_origins own;
    for (const stream_record& each : std::exchange(m_unreported, {}))
        append(own, each);
    addUses(now, m_usesReportedAt, own);
    return own;
}

void stream_versions::merge(time_point now, const stream_origins& received)
{
    for (const stream_group& group : received.groups) {
        // The registration of a new version may arrive later than the first streams that it began.
        use(now, group.pool, group.version);
        for (const fingerprint stream : group.streams) {
            const auto known = m_byStream.find(stream);
            const bool isKnown = known != m_byStream.end() && m_records[known->second - m_firstRecord].version == group.version;
            if (!isKnown)
                keep(now, { stream, group.pool, group.version, now });
        }
    }
    for (const version_use& each : received.uses)
        use(now - each.age, each.pool, each.version);
    if (received.knownFor && m_knownSince)
        m_knownSince = std::min(*m_knownSince, now - *received.knownFor);
}

stream_origins stream_versions::forward(time_point now, const vm_id& follower)
{
    expire(now);
    stream_origins forwarded;
    follower_state& state = m_forwarded[follower];
    addUses(now, state.usesSentAt, forwarded);
    if (!hasSeveralVersions(now))
        return forwarded;
    state.next = std::max(state.next, m_firstRecord);
    const std::uint64_t end = std::min(m_firstRecord + m_records.size(), state.next + maxForwarded);
    for (; state.next < end; ++state.next)
        append(forwarded, m_records[state.next - m_firstRecord]);
    return forwarded;
}

}
