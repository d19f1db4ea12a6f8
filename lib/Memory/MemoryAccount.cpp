#include "pimentoladder/Memory/MemoryAccount.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace pimentoladder {

std::string_view memoryHolderName(memory_holder holder)
{
    switch (holder) {
    case memory_holder::input:
        return "input";
    case memory_holder::reading:
        return "reading";
    case memory_holder::requests:
        return "requests";
    case memory_holder::answers:
        return "answers";
    }
    return "unknown";
}

memory_limits memoryLimitsFor(std::uint64_t memoryBytes)
{
    memory_limits limits;
    limits.total = static_cast<std::size_t>(memoryBytes / 2);
    return limits;
}

void memory_account::count(memory_holder holder, std::size_t before, std::size_t after)
{
    std::size_t& part = m_held[static_cast<std::size_t>(holder)];
    assert(part >= before && "a holder releases only what it holds");
    part = part - before + after;
    m_total = m_total - before + after;
}

std::optional<caller_number> memory_account::findStalled(time_point now, caller_number asking) const
{
    // The list is in order of progress, so at most its second room is considered.
    for (const memory_room* each : m_readers) {
        if (now - each->m_progressAt < m_limits.stallTime)
            return std::nullopt;
        if (each->m_caller != asking)
            return each->m_caller;
    }
    return std::nullopt;
}

std::size_t memory_account::limitFor(std::size_t bytes) const
{
    if (bytes <= smallBytes)
        return m_limits.total;
    return bytes <= mediumBytes ? m_limits.total / 8 * 7 : m_limits.total / 2;
}

memory_room::~memory_room()
{
    complete();
    m_account->count(m_holder, m_bytes, 0);
}

bool memory_room::resize(time_point now, std::size_t received, std::size_t bytes)
{
    assert(m_holder == memory_holder::reading && "a complete request does not grow");
    const bool isGrowing = bytes > m_bytes;
    if (isGrowing && m_account->held() - m_bytes + bytes > m_account->limitFor(bytes))
        return false;
    m_account->count(m_holder, m_bytes, bytes);
    m_bytes = bytes;
    const bool isNew = !m_isListed;
    if (isNew)
        m_node.push_back(this);
    const bool hasProgressed = isNew || received >= m_progress + memory_account::progressBytes;
    if (!hasProgressed)
        return true;
    std::list<memory_room*>& readers = m_account->m_readers;
    readers.splice(readers.end(), isNew ? m_node : readers, isNew ? m_node.begin() : m_position);
    m_position = std::prev(readers.end());
    m_isListed = true;
    m_progress = received;
    m_progressAt = now;
    return true;
}

void memory_room::complete()
{
    if (m_isListed)
        m_account->m_readers.erase(m_position);
    m_isListed = false;
    m_account->count(m_holder, m_bytes, 0);
    m_holder = memory_holder::requests;
    m_account->count(m_holder, 0, m_bytes);
}

}
