#include "LabelIndex.h"

namespace pimentoladder {

namespace {

    void insertAll(dynamic_bitset& target, const std::vector<std::uint32_t>& indexes)
    {
        for (const auto index : indexes)
            target.insert(index);
    }

    bool isNegative(selector_operator comparison)
    {
        return comparison == selector_operator::differs || comparison == selector_operator::notIn
            || comparison == selector_operator::absent;
    }

    bool comparesValues(selector_operator comparison)
    {
        return comparison != selector_operator::exists && comparison != selector_operator::absent;
    }

}

void dynamic_bitset::invert()
{
    for (auto& word : m_words)
        word = ~word;
    if (m_size % 64)
        m_words.back() &= (std::uint64_t { 1 } << (m_size % 64)) - 1;
}

void dynamic_bitset::intersect(const dynamic_bitset& other)
{
    for (std::size_t i = 0; i < m_words.size(); ++i)
        m_words[i] &= other.m_words[i];
}

label_index::label_index(const std::vector<const label_map*>& objects)
    : m_size(objects.size())
{
    for (std::uint32_t index = 0; index < objects.size(); ++index) {
        for (const auto& [key, value] : *objects[index]) {
            key_postings& postings = m_keys[key];
            postings.present.push_back(index);
            postings.byValue[value].push_back(index);
        }
    }
}

dynamic_bitset label_index::matching(const selector& chosen) const
{
    dynamic_bitset matched(m_size);
    matched.invert();
    for (const auto& requirement : chosen.requirements())
        matched.intersect(satisfying(requirement));
    return matched;
}

// A negative operator yields the complement of its positive counterpart, so
// objects without the label satisfy it.
dynamic_bitset label_index::satisfying(const label_requirement& requirement) const
{
    dynamic_bitset satisfied(m_size);
    const auto postings = m_keys.find(requirement.key);
    if (postings != m_keys.end() && comparesValues(requirement.comparison)) {
        for (const auto& value : requirement.values) {
            const auto indexes = postings->second.byValue.find(value);
            if (indexes != postings->second.byValue.end())
                insertAll(satisfied, indexes->second);
        }
    } else if (postings != m_keys.end()) {
        insertAll(satisfied, postings->second.present);
    }
    if (isNegative(requirement.comparison))
        satisfied.invert();
    return satisfied;
}

}
