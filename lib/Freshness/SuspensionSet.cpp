#include "pimentoladder/Freshness/SuspensionSet.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace pimentoladder {

namespace {

    // Digests of merged sets to keep. An evicted one costs one more exchange of the
    // set.
    constexpr std::size_t maxCovered = 64;

}

bool suspension_set::add(const member_ref& member, revision listedBy)
{
    if (!insert(member, listedBy))
        return false;
    refreshDigest();
    return true;
}

bool suspension_set::merge(const std::vector<member_ref>& suspended, revision listedBy)
{
    bool hasChanged = false;
    for (const member_ref& member : suspended) {
        if (insert(member, listedBy))
            hasChanged = true;
    }
    if (hasChanged)
        refreshDigest();
    rememberCovered(digestOf(suspended));
    return hasChanged;
}

void suspension_set::documentApplied(const document& applied)
{
    if (applied.at < m_applied)
        return;
    m_applied = applied.at;
    m_listed.clear();
    for (const auto& [vm, listed] : applied.members)
        m_listed.emplace(vm, listed.start);
    const auto dropped
        = std::erase_if(m_entries, [this](const auto& entry) { return isSuperseded(entry.first, entry.second); });
    if (dropped > 0)
        refreshDigest();
}

bool suspension_set::covers(std::uint64_t digest) const
{
    if (digest == 0 || digest == m_digest)
        return true;
    return std::find(m_covered.begin(), m_covered.end(), digest) != m_covered.end();
}

std::vector<member_ref> suspension_set::members() const
{
    std::vector<member_ref> members;
    members.reserve(m_entries.size());
    for (const auto& [member, listedBy] : m_entries)
        members.push_back(member);
    return members;
}

revision suspension_set::listedBy() const
{
    revision latest = m_applied;
    for (const auto& [member, listedBy] : m_entries)
        latest = std::max(latest, listedBy);
    return latest;
}

std::uint64_t suspension_set::digestOf(std::vector<member_ref> members)
{
    if (members.empty())
        return 0;
    std::sort(members.begin(), members.end());
    members.erase(std::unique(members.begin(), members.end()), members.end());
    std::string text;
    for (const member_ref& member : members)
        text += member.vm.value() + '@' + std::to_string(member.start.value()) + '\n';
    const std::uint64_t digest = XXH64(text.data(), text.size(), 0);
    return digest == 0 ? 1 : digest;
}

bool suspension_set::isSuperseded(const member_ref& member, revision listedBy) const
{
    const auto listed = m_listed.find(member.vm);
    if (listed != m_listed.end() && listed->second == member.start)
        return false;
    if (listed != m_listed.end() && listed->second > member.start)
        return true;
    // Only a document at least as new as one that listed the member shows its removal.
    return m_applied >= listedBy;
}

bool suspension_set::insert(const member_ref& member, revision listedBy)
{
    if (isSuperseded(member, listedBy))
        return false;
    const auto [entry, isNew] = m_entries.emplace(member, listedBy);
    entry->second = std::min(entry->second, listedBy);
    return isNew;
}

void suspension_set::refreshDigest()
{
    rememberCovered(m_digest);
    m_digest = digestOf(members());
}

void suspension_set::rememberCovered(std::uint64_t digest)
{
    if (digest == 0 || std::find(m_covered.begin(), m_covered.end(), digest) != m_covered.end())
        return;
    m_covered.push_back(digest);
    if (m_covered.size() > maxCovered)
        m_covered.pop_front();
}

}
