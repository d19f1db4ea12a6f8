#include "LabelIndex.h"

namespace pimentoladder {

namespace {

    void insertAll(number_set& target, const std::vector<std::uint32_t>& numbers)
    {
        for (const auto number : numbers)
            target.insert(number);
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

void number_set::invert()
{
    for (auto& word : m_words)
        word = ~word;
    if (m_size % 64)
        m_words.back() &= (std::uint64_t { 1 } << (m_size % 64)) - 1;
}

void number_set::intersect(const number_set& other)
{
    for (std::size_t i = 0; i < m_words.size(); ++i)
        m_words[i] &= other.m_words[i];
}

label_index::label_index(const std::vector<const label_map*>& objects)
    : m_size(objects.size())
{
    for (std::uint32_t number = 0; number < objects.size(); ++number) {
        for (const auto& [key, value] : *objects[number]) {
            key_postings& postings = m_keys[key];
            postings.present.push_back(number);
            postings.byValue[value].push_back(number);
        }
    }
}

number_set label_index::matching(const selector& chosen) const
{
    number_set matched(m_size);
    matched.invert();
    for (const auto& requirement : chosen.requirements())
        matched.intersect(satisfying(requirement));
    return matched;
}

// A negative operator is satisfied by exactly the objects that its positive
// counterpart does not match.
number_set label_index::satisfying(const label_requirement& requirement) const
{
    number_set satisfied(m_size);
    const auto postings = m_keys.find(requirement.key);
    if (postings != m_keys.end() && comparesValues(requirement.comparison)) {
        for (const auto& value : requirement.values) {
            const auto numbers = postings->second.byValue.find(value);
            if (numbers != postings->second.byValue.end())
                insertAll(satisfied, numbers->second);
        }
    } else if (postings != m_keys.end()) {
        insertAll(satisfied, postings->second.present);
    }
    if (isNegative(requirement.comparison))
        satisfied.invert();
    return satisfied;
}

}
