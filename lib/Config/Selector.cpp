#include "pimentoladder/Config/Selector.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace pimentoladder {

namespace {

    // Limits on what parse accepts, so that a selector cannot make a row exceed
    // the table's size limits.
    constexpr std::size_t maxTextBytes = 4096;
    constexpr std::size_t maxRequirements = 64;

    bool isWordCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.' || c == '/';
    }

    bool isSpace(char c) { return c == ' ' || c == '\t'; }

    class selector_parser {
    public:
        explicit selector_parser(std::string_view text)
            : m_text(text)
        {
        }

        result<std::vector<label_requirement>> parse();

    private:
        result<label_requirement> parseRequirement();
        result<std::string> parseKey();
        result<std::string> parseValue();
        result<std::vector<std::string>> parseValueList();
        std::string_view readWord();
        void skipSpaces();
        bool consume(std::string_view token);
        bool isAtEnd() const { return m_position == m_text.size(); }
        tl::unexpected<error> expected(std::string_view what) const;

        std::string_view m_text;
        std::size_t m_position = 0;
    };

    result<std::vector<label_requirement>> selector_parser::parse()
    {
        std::vector<label_requirement> requirements;
        skipSpaces();
        if (isAtEnd())
            return requirements;
        while (true) {
            auto requirement = parseRequirement();
            if (!requirement)
                return tl::unexpected(requirement.error());
            requirements.push_back(std::move(*requirement));
            if (requirements.size() > maxRequirements)
                return makeError(error_kind::invalidArgument,
                    "selector has more than " + std::to_string(maxRequirements) + " requirements; use fewer");
            skipSpaces();
            if (isAtEnd())
                return requirements;
            if (!consume(","))
                return expected("',' or the end of the selector");
        }
    }

    result<label_requirement> selector_parser::parseRequirement()
    {
        skipSpaces();
        label_requirement requirement;
        const bool isNegated = consume("!");
        auto key = parseKey();
        if (!key)
            return tl::unexpected(key.error());
        requirement.key = std::move(*key);
        if (isNegated) {
            requirement.comparison = selector_operator::absent;
            return requirement;
        }
        skipSpaces();
        if (isAtEnd() || m_text[m_position] == ',')
            return requirement;

        const bool isDifferent = consume("!=");
        if (isDifferent || consume("==") || consume("=")) {
            requirement.comparison = isDifferent ? selector_operator::differs : selector_operator::equals;
            auto value = parseValue();
            if (!value)
                return tl::unexpected(value.error());
            requirement.values.push_back(std::move(*value));
            return requirement;
        }

        const std::size_t operatorPosition = m_position;
        const std::string_view word = readWord();
        if (word != "in" && word != "notin") {
            m_position = operatorPosition;
            return expected("'=', '==', '!=', 'in', 'notin' or ','");
        }
        requirement.comparison = word == "in" ? selector_operator::in : selector_operator::notIn;
        auto values = parseValueList();
        if (!values)
            return tl::unexpected(values.error());
        requirement.values = std::move(*values);
        return requirement;
    }

    result<std::string> selector_parser::parseKey()
    {
        skipSpaces();
        const std::string_view word = readWord();
        if (word.empty())
            return expected("a label key");
        return std::string(word);
    }

    // Accepts an empty value, because label values may be empty.
    result<std::string> selector_parser::parseValue()
    {
        skipSpaces();
        return std::string(readWord());
    }

    result<std::vector<std::string>> selector_parser::parseValueList()
    {
        skipSpaces();
        if (!consume("("))
            return expected("'('");
        std::vector<std::string> values;
        while (true) {
            skipSpaces();
            const std::string_view word = readWord();
            if (word.empty())
                return expected("a label value");
            values.emplace_back(word);
            skipSpaces();
            if (consume(")"))
                return values;
            if (!consume(","))
                return expected("',' or ')'");
        }
    }

    std::string_view selector_parser::readWord()
    {
        const std::size_t start = m_position;
        while (!isAtEnd() && isWordCharacter(m_text[m_position]))
            ++m_position;
        return m_text.substr(start, m_position - start);
    }

    void selector_parser::skipSpaces()
    {
        while (!isAtEnd() && isSpace(m_text[m_position]))
            ++m_position;
    }

    bool selector_parser::consume(std::string_view token)
    {
        if (!m_text.substr(m_position).starts_with(token))
            return false;
        m_position += token.size();
        return true;
    }

    tl::unexpected<error> selector_parser::expected(std::string_view what) const
    {
        return makeError(error_kind::invalidArgument,
            "selector is invalid at position " + std::to_string(m_position + 1) + ": expected " + std::string(what));
    }

    std::string joined(const std::vector<std::string>& values)
    {
        std::string text;
        for (const auto& value : values) {
            if (!text.empty())
                text += ',';
            text += value;
        }
        return text;
    }

    std::string requirementText(const label_requirement& requirement)
    {
        switch (requirement.comparison) {
        case selector_operator::equals:
            return requirement.key + '=' + requirement.values.front();
        case selector_operator::differs:
            return requirement.key + "!=" + requirement.values.front();
        case selector_operator::in:
            return requirement.key + " in (" + joined(requirement.values) + ')';
        case selector_operator::notIn:
            return requirement.key + " notin (" + joined(requirement.values) + ')';
        case selector_operator::exists:
            return requirement.key;
        case selector_operator::absent:
            return '!' + requirement.key;
        }
        return {};
    }

    bool isSatisfied(const label_requirement& requirement, const label_map& labels)
    {
        const auto found = labels.find(requirement.key);
        const bool isPresent = found != labels.end();
        const auto isListed = [&] {
            return std::find(requirement.values.begin(), requirement.values.end(), found->second)
                != requirement.values.end();
        };
        switch (requirement.comparison) {
        case selector_operator::equals:
        case selector_operator::in:
            return isPresent && isListed();
        case selector_operator::differs:
        case selector_operator::notIn:
            return !isPresent || !isListed();
        case selector_operator::exists:
            return isPresent;
        case selector_operator::absent:
            return !isPresent;
        }
        return false;
    }

    [[maybe_unused]] bool hasValidValueCount(const label_requirement& requirement)
    {
        switch (requirement.comparison) {
        case selector_operator::equals:
        case selector_operator::differs:
            return requirement.values.size() == 1;
        case selector_operator::in:
        case selector_operator::notIn:
            return !requirement.values.empty();
        case selector_operator::exists:
        case selector_operator::absent:
            return requirement.values.empty();
        }
        return false;
    }

}

selector::selector(std::vector<label_requirement> requirements)
    : m_requirements(std::move(requirements))
{
    assert(std::all_of(m_requirements.begin(), m_requirements.end(), hasValidValueCount)
        && "each requirement has the number of values that its operator needs");
}

result<selector> selector::parse(std::string_view text)
{
    if (text.size() > maxTextBytes)
        return makeError(error_kind::invalidArgument,
            "selector is longer than " + std::to_string(maxTextBytes) + " bytes; shorten it");
    auto requirements = selector_parser(text).parse();
    if (!requirements)
        return tl::unexpected(requirements.error());
    return selector(std::move(*requirements));
}

std::string selector::text() const
{
    std::string text;
    for (const auto& requirement : m_requirements) {
        if (!text.empty())
            text += ',';
        text += requirementText(requirement);
    }
    return text;
}

bool selector::matches(const label_map& labels) const
{
    return std::all_of(m_requirements.begin(), m_requirements.end(),
        [&](const label_requirement& requirement) { return isSatisfied(requirement, labels); });
}

}
