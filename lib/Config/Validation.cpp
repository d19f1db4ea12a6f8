#include "pimentoladder/Config/Validation.h"

#include <algorithm>
#include <map>
#include <sstream>

#include "pimentoladder/Config/Access.h"
#include "pimentoladder/Config/Rows.h"

namespace pimentoladder {

namespace {

    constexpr std::size_t maxNameBytes = 63;
    constexpr std::size_t maxLabelDomainBytes = 253;
    constexpr std::size_t keyDigestBytes = 64;

    bool isDigit(char c) { return c >= '0' && c <= '9'; }
    bool isLower(char c) { return c >= 'a' && c <= 'z'; }
    bool isLetterOrDigit(char c) { return isDigit(c) || isLower(c) || (c >= 'A' && c <= 'Z'); }
    bool isHexDigit(char c) { return isDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }
    bool isLabelNameCharacter(char c) { return isLetterOrDigit(c) || c == '-' || c == '_' || c == '.'; }
    bool isIdCharacter(char c) { return isLower(c) || isDigit(c) || c == '-' || c == '.'; }

    bool isBoundedName(std::string_view name, std::size_t maxBytes, bool (*isAllowed)(char))
    {
        return !name.empty() && name.size() <= maxBytes && std::all_of(name.begin(), name.end(), isAllowed)
            && isLetterOrDigit(name.front()) && isLetterOrDigit(name.back());
    }

    // Returns whether `check` returns true for every part between separators.
    template <typename Check>
    bool allParts(std::string_view text, char separator, Check check)
    {
        while (true) {
            const std::size_t end = text.find(separator);
            if (!check(text.substr(0, end)))
                return false;
            if (end == std::string_view::npos)
                return true;
            text.remove_prefix(end + 1);
        }
    }

    bool isIpv4Address(std::string_view address)
    {
        std::size_t parts = 0;
        return allParts(address, '.', [&](std::string_view part) {
            ++parts;
            if (part.empty() || part.size() > 3 || !std::all_of(part.begin(), part.end(), isDigit))
                return false;
            const bool hasLeadingZero = part.size() > 1 && part.front() == '0';
            return !hasLeadingZero && std::stoi(std::string(part)) <= 255;
        }) && parts == 4;
    }

    bool isIpv6Group(std::string_view group)
    {
        return !group.empty() && group.size() <= 4 && std::all_of(group.begin(), group.end(), isHexDigit);
    }

    // Counts the groups on one side of "::" in an IPv6 address; none if a group is
    // invalid.
    std::optional<std::size_t> countIpv6Groups(std::string_view side)
    {
        if (side.empty())
            return 0;
        std::size_t groups = 0;
        const bool isValid = allParts(side, ':', [&](std::string_view group) {
            ++groups;
            return isIpv6Group(group);
        });
        return isValid ? std::optional(groups) : std::nullopt;
    }

    bool isIpv6Address(std::string_view address)
    {
        const std::size_t gap = address.find("::");
        if (gap == std::string_view::npos)
            return countIpv6Groups(address) == 8;
        const auto left = countIpv6Groups(address.substr(0, gap));
        const auto right = countIpv6Groups(address.substr(gap + 2));
        return left && right && *left + *right < 8;
    }

    bool isPathCharacter(char c) { return c > ' ' && c < 0x7f && c != '?' && c != '#' && c != '%'; }

    bool isPathPrefix(std::string_view prefix)
    {
        if (!prefix.starts_with('/') || !std::all_of(prefix.begin(), prefix.end(), isPathCharacter))
            return false;
        const std::string_view segments = normalisedPathPrefix(prefix);
        if (segments.empty())
            return prefix == "/";
        return prefix.size() - segments.size() <= 1 && allParts(segments.substr(1), '/', [](std::string_view segment) {
            return !segment.empty() && segment != "." && segment != "..";
        });
    }

    bool isKeyDigest(std::string_view digest)
    {
        return digest.size() == keyDigestBytes
            && std::all_of(digest.begin(), digest.end(), [](char c) { return isDigit(c) || (c >= 'a' && c <= 'f'); });
    }

    template <typename... Parts>
    std::string joined(const Parts&... parts)
    {
        std::ostringstream text;
        (text << ... << parts);
        return text.str();
    }

    // Validates one document and collects its errors.
    class document_validator {
    public:
        document_validator(const document& source, const document_limits& limits)
            : m_source(source)
            , m_limits(limits)
        {
        }

        std::vector<validation_error> run();

    private:
        void checkCounts();
        void checkWorkspaces();
        void checkPools();
        void checkServers();
        void checkDataCentres();
        void checkAccessRules();
        void checkServiceRules();

        template <typename Object>
        void checkIdentity(const Object& object);
        void checkLabels(const label_map& labels);
        void checkSelector(std::string_view field, const selector& chosen);
        void checkReferences(const backend_server& server);
        void checkCapacity(const backend_server& server);
        void checkCount(std::string_view objects, std::size_t count, std::size_t limit);
        void checkUnique(std::map<std::string, std::string>& seen, std::string value, std::string_view what);
        void checkRange(std::string_view field, double value, double lowest, double highest);
        void addError(error_kind kind, std::string message);

        static constexpr void (document_validator::*checks[])() = {
            &document_validator::checkCounts,
            &document_validator::checkWorkspaces,
            &document_validator::checkPools,
            &document_validator::checkServers,
            &document_validator::checkDataCentres,
            &document_validator::checkAccessRules,
            &document_validator::checkServiceRules,
        };

        const document& m_source;
        const document_limits& m_limits;
        std::string m_key; // Row key of the object being checked.
        std::vector<validation_error> m_errors;
    };

    std::vector<validation_error> document_validator::run()
    {
        for (const auto check : checks)
            (this->*check)();
        return std::move(m_errors);
    }

    void document_validator::checkCounts()
    {
        m_key.clear();
        checkCount("workspaces", m_source.workspaces.size(), m_limits.workspaces);
        checkCount("pools", m_source.pools.size(), m_limits.pools);
        checkCount("servers", m_source.servers.size(), m_limits.servers);
        checkCount("data centres", m_source.dataCentres.size(), m_limits.dataCentres);
        checkCount("access rules", m_source.accessRules.size(), m_limits.accessRules);
        checkCount("service rules", m_source.serviceRules.size(), m_limits.serviceRules);
    }

    void document_validator::checkWorkspaces()
    {
        std::map<std::string, std::string> digests;
        for (const auto& [id, workspace] : m_source.workspaces) {
            checkIdentity(workspace);
            checkLabels(workspace.labels);
            checkRange("weight", workspace.weight, 1 / m_limits.weight, m_limits.weight);
            checkRange("queueLimit", workspace.queueLimit, 1, m_limits.waitingRequests);
            checkRange("connectionLimit", workspace.connectionLimit, 1, m_limits.waitingRequests);
            if (!isKeyDigest(workspace.keyDigest))
                addError(error_kind::invalidArgument, "keyDigest must be the SHA-256 of the key as 64 lower-case hexadecimal digits");
            checkUnique(digests, workspace.keyDigest, "keyDigest");
        }
    }

    void document_validator::checkPools()
    {
        std::map<std::string, std::string> prefixes;
        for (const auto& [id, entry] : m_source.pools) {
            checkIdentity(entry);
            checkLabels(entry.labels);
            checkRange("defaultCost", entry.defaultCost, 1 / m_limits.defaultCost, m_limits.defaultCost);
            if (entry.pathPrefix.size() > m_limits.pathPrefixBytes)
                addError(error_kind::resourceExhausted, joined("pathPrefix must have at most ", m_limits.pathPrefixBytes, " bytes"));
            if (!isPathPrefix(entry.pathPrefix))
                addError(error_kind::invalidArgument,
                    "pathPrefix must begin with '/' and hold no empty, '.' or '..' segment, space, '?', '#' or '%'");
            checkUnique(prefixes, std::string(normalisedPathPrefix(entry.pathPrefix)), "pathPrefix");
        }
    }

    void document_validator::checkServers()
    {
        std::map<std::string, std::string> locations;
        for (const auto& [id, server] : m_source.servers) {
            checkIdentity(server);
            checkLabels(server.labels);
            checkReferences(server);
            checkCapacity(server);
            if (!isNumericAddress(server.location.address))
                addError(error_kind::invalidArgument, "address must be a numeric IPv4 or IPv6 address");
            checkRange("port", server.location.port, 1, 65535);
            checkUnique(locations, joined(server.location.address, ' ', server.location.port), "address and port");
        }
    }

    void document_validator::checkDataCentres()
    {
        for (const auto& [id, dataCentre] : m_source.dataCentres) {
            checkIdentity(dataCentre);
            checkLabels(dataCentre.labels);
        }
    }

    void document_validator::checkAccessRules()
    {
        for (const auto& [id, rule] : m_source.accessRules) {
            checkIdentity(rule);
            checkSelector("workspaces", rule.workspaces);
            checkSelector("servers", rule.servers);
        }
    }

    void document_validator::checkServiceRules()
    {
        for (const auto& [id, rule] : m_source.serviceRules) {
            checkIdentity(rule);
            checkSelector("dataCentresOut", rule.dataCentresOut);
        }
    }

    template <typename Object>
    void document_validator::checkIdentity(const Object& object)
    {
        m_key = rowKey(object);
        if (!isObjectId(object.id.value()))
            addError(error_kind::invalidArgument,
                "id must have 1 to 63 lower-case letters, digits, '-' or '.', with a letter or digit at both ends");
    }

    void document_validator::checkLabels(const label_map& labels)
    {
        if (labels.size() > m_limits.labelsPerObject)
            addError(error_kind::resourceExhausted,
                joined("has ", labels.size(), " labels; remove some to have at most ", m_limits.labelsPerObject));
        for (const auto& [key, value] : labels) {
            if (!isLabelKey(key))
                addError(error_kind::invalidArgument,
                    joined("label key \"", key, "\" is invalid; use [domain/]name with a name of letters, digits, '-', '_' and '.'"));
            if (!isLabelValue(value))
                addError(error_kind::invalidArgument,
                    joined("value of label \"", key, "\" is invalid; use at most 63 letters, digits, '-', '_' and '.'"));
        }
    }

    void document_validator::checkSelector(std::string_view field, const selector& chosen)
    {
        if (chosen.text().size() > m_limits.selectorBytes)
            addError(error_kind::resourceExhausted,
                joined("selector in ", field, " must have at most ", m_limits.selectorBytes, " bytes; split the rule"));
        for (const auto& requirement : chosen.requirements()) {
            if (!isLabelKey(requirement.key))
                addError(error_kind::invalidArgument,
                    joined("selector in ", field, " names \"", requirement.key, "\", which no label can be; correct the key"));
            for (const auto& value : requirement.values) {
                if (!isLabelValue(value))
                    addError(error_kind::invalidArgument,
                        joined("selector in ", field, " names value \"", value, "\", which no label can have; correct it"));
            }
        }
    }

    void document_validator::checkReferences(const backend_server& server)
    {
        if (!m_source.pools.contains(server.pool))
            addError(error_kind::invalidArgument,
                joined("pool \"", server.pool, "\" does not exist; create it or name another"));
        if (!m_source.dataCentres.contains(server.dataCentre))
            addError(error_kind::invalidArgument,
                joined("data centre \"", server.dataCentre, "\" does not exist; create it or name another"));
        if (!server.vm.isEmpty() && !isLabelValue(server.vm.value()))
            addError(error_kind::invalidArgument, "vm must have at most 63 letters, digits, '-', '_' and '.'");
    }

    void document_validator::checkCapacity(const backend_server& server)
    {
        checkRange("ceiling", server.ceiling, 1, m_limits.requestsPerServer);
        checkRange("floor", server.floor, 1, m_limits.requestsPerServer);
        if (server.floor > server.ceiling)
            addError(error_kind::invalidArgument,
                joined("floor ", server.floor, " is above ceiling ", server.ceiling, "; lower the floor"));
    }

    void document_validator::checkCount(std::string_view objects, std::size_t count, std::size_t limit)
    {
        if (count > limit)
            addError(error_kind::resourceExhausted,
                joined("the document would have ", count, ' ', objects, "; delete some to have at most ", limit));
    }

    void document_validator::checkUnique(std::map<std::string, std::string>& seen, std::string value, std::string_view what)
    {
        const auto [first, isNew] = seen.emplace(std::move(value), m_key);
        if (!isNew)
            addError(error_kind::invalidArgument,
                joined(what, " is also that of \"", first->second, "\"; use a different one"));
    }

    void document_validator::checkRange(std::string_view field, double value, double lowest, double highest)
    {
        if (value >= lowest && value <= highest)
            return;
        addError(error_kind::invalidArgument, joined(field, " must be from ", lowest, " to ", highest));
    }

    void document_validator::addError(error_kind kind, std::string message)
    {
        m_errors.push_back({ m_key, { kind, std::move(message) } });
    }

}

bool isObjectId(std::string_view id) { return isBoundedName(id, maxNameBytes, isIdCharacter); }

bool isLabelKey(std::string_view key)
{
    const std::size_t slash = key.find('/');
    if (slash == std::string_view::npos)
        return isBoundedName(key, maxNameBytes, isLabelNameCharacter);
    const std::string_view domain = key.substr(0, slash);
    const bool isDomain = domain.size() <= maxLabelDomainBytes
        && allParts(domain, '.', [](std::string_view part) { return isObjectId(part); });
    return isDomain && isBoundedName(key.substr(slash + 1), maxNameBytes, isLabelNameCharacter);
}

bool isLabelValue(std::string_view value)
{
    return value.empty() || isBoundedName(value, maxNameBytes, isLabelNameCharacter);
}

bool isNumericAddress(std::string_view address) { return isIpv4Address(address) || isIpv6Address(address); }

std::vector<validation_error> validateDocument(const document& source, const document_limits& limits)
{
    return document_validator(source, limits).run();
}

}
