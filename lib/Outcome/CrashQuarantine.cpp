#include "pimentoladder/Outcome/CrashQuarantine.h"

#include <algorithm>

namespace pimentoladder {

void crash_quarantine::merge(time_point now, const crash_report& report)
{
    removeExpired(now);
    for (const fingerprint print : report.running)
        addLoss(now, print, report);
    while (m_order.size() > maximumFingerprints) {
        m_suspects.erase(m_order.front());
        m_order.pop_front();
    }
}

quarantine_decision crash_quarantine::decisionFor(time_point now, fingerprint print) const
{
    const auto found = m_suspects.find(print);
    if (found == m_suspects.end() || now - found->second.lastLossAt >= lifetime)
        return quarantine_decision::clear;
    const auto& losses = found->second.losses;
    const auto suspicions = std::count_if(losses.begin(), losses.end(), [](const loss& each) { return !each.isCleared; });
    if (static_cast<std::size_t>(suspicions) >= quarantineThreshold)
        return quarantine_decision::quarantined;
    return suspicions > 0 ? quarantine_decision::isolate : quarantine_decision::clear;
}

void crash_quarantine::clearSuspicions(fingerprint print)
{
    const auto found = m_suspects.find(print);
    if (found == m_suspects.end())
        return;
    for (loss& each : found->second.losses)
        each.isCleared = true;
}

void crash_quarantine::addLoss(time_point now, fingerprint print, const crash_report& report)
{
    if (print == fingerprint())
        return;
    const auto [entry, isNew] = m_suspects.try_emplace(print);
    if (isNew)
        m_order.push_back(print);
    suspect& record = entry->second;
    for (const loss& each : record.losses) {
        if (each.server == report.server && each.serverStart == report.serverStart)
            return;
    }
    record.losses.push_back({ report.server, report.serverStart });
    record.lastLossAt = now;
}

void crash_quarantine::removeExpired(time_point now)
{
    std::erase_if(m_suspects, [now](const auto& each) { return now - each.second.lastLossAt >= lifetime; });
    std::erase_if(m_order, [this](fingerprint print) { return !m_suspects.contains(print); });
}

}
