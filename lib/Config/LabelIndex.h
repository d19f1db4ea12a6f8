/// \file
/// Inverted index from labels to objects, and the sets of objects it yields.

#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentoladder/Config/Selector.h"

namespace pimentoladder {

/// A set of object numbers below a fixed size.
class number_set {
public:
    explicit number_set(std::size_t size)
        : m_size(size)
        , m_words((size + 63) / 64)
    {
    }

    void insert(std::size_t number) { m_words[number / 64] |= std::uint64_t { 1 } << (number % 64); }
    void invert();
    void intersect(const number_set& other);
    const std::vector<std::uint64_t>& words() const { return m_words; }

    template <typename Use>
    void forEach(Use use) const
    {
        for (std::size_t i = 0; i < m_words.size(); ++i) {
            for (std::uint64_t rest = m_words[i]; rest != 0; rest &= rest - 1)
                use(i * 64 + static_cast<std::size_t>(std::countr_zero(rest)));
        }
    }

private:
    std::size_t m_size;
    std::vector<std::uint64_t> m_words;
};

/// Finds the objects that a selector matches without visiting each object.
/// Keeps views of the labels, which must outlive it.
class label_index {
public:
    /// Precondition: no entry is null. An object's number is its position.
    explicit label_index(const std::vector<const label_map*>& objects);

    number_set matching(const selector& chosen) const;

private:
    struct key_postings {
        std::vector<std::uint32_t> present;
        std::unordered_map<std::string_view, std::vector<std::uint32_t>> byValue;
    };

    number_set satisfying(const label_requirement& requirement) const;

    std::size_t m_size;
    std::unordered_map<std::string_view, key_postings> m_keys;
};

}
