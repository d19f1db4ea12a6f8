#include "pimentoladder/Config/Rows.h"

#include <utility>

namespace pimentoladder {

namespace {

    constexpr std::string_view workspacePrefix = "config/workspace/";
    constexpr std::string_view poolPrefix = "config/pool/";
    constexpr std::string_view serverPrefix = "config/server/";
    constexpr std::string_view dataCentrePrefix = "config/data-centre/";
    constexpr std::string_view accessRulePrefix = "config/access-rule/";
    constexpr std::string_view serviceRulePrefix = "config/service-rule/";
    constexpr std::string_view memberPrefix = "member/";
    constexpr std::string_view rosterKey = "roster";

    struct key_visitor {
        std::string operator()(const workspace& value) const { return keyOf(workspacePrefix, value.id.value()); }
        std::string operator()(const pool& value) const { return keyOf(poolPrefix, value.id.value()); }
        std::string operator()(const backend_server& value) const { return keyOf(serverPrefix, value.id.value()); }
        std::string operator()(const data_centre& value) const { return keyOf(dataCentrePrefix, value.id.value()); }
        std::string operator()(const access_rule& value) const { return keyOf(accessRulePrefix, value.id.value()); }
        std::string operator()(const service_rule& value) const { return keyOf(serviceRulePrefix, value.id.value()); }
        std::string operator()(const member& value) const { return keyOf(memberPrefix, value.vm.value()); }
        std::string operator()(const witness_roster&) const { return std::string(rosterKey); }

        static std::string keyOf(std::string_view prefix, const std::string& name)
        {
            return std::string(prefix) + name;
        }
    };

    // Key prefix and operations of one kind of row. `name` is the part of the key
    // after the prefix.
    struct row_kind {
        std::string_view prefix;
        document_value (*make)(std::string name);
        std::optional<document_value> (*find)(const document&, std::string name);
        void (*erase)(document&, std::string name);
        void (*list)(const document&, std::vector<row_change>&);
    };

    template <auto Id>
    struct object_factory;

    template <typename Object, typename Name, Name Object::*Member>
    struct object_factory<Member> {
        static document_value make(std::string name)
        {
            Object object;
            object.*Member = Name(std::move(name));
            return object;
        }
    };

    template <auto Map, typename Id>
    std::optional<document_value> findIn(const document& source, std::string name)
    {
        const auto found = (source.*Map).find(Id(std::move(name)));
        if (found == (source.*Map).end())
            return std::nullopt;
        return found->second;
    }

    template <auto Map, typename Id>
    void eraseFrom(document& target, std::string name)
    {
        (target.*Map).erase(Id(std::move(name)));
    }

    void appendRow(
        const document& source, std::string key, const document_value& value, std::vector<row_change>& rows)
    {
        const revision changedAt = rowRevision(source, key);
        rows.push_back({ std::move(key), value, changedAt });
    }

    template <auto Map>
    void listFrom(const document& source, std::vector<row_change>& rows)
    {
        for (const auto& [id, value] : source.*Map)
            appendRow(source, rowKey(value), value, rows);
    }

    // Sorted by prefix, because allRows returns rows in order of key.
    constexpr row_kind rowKinds[] = {
        { accessRulePrefix, object_factory<&access_rule::id>::make, findIn<&document::accessRules, rule_id>, eraseFrom<&document::accessRules, rule_id>, listFrom<&document::accessRules> },
        { dataCentrePrefix, object_factory<&data_centre::id>::make, findIn<&document::dataCentres, data_centre_id>, eraseFrom<&document::dataCentres, data_centre_id>, listFrom<&document::dataCentres> },
        { poolPrefix, object_factory<&pool::id>::make, findIn<&document::pools, pool_id>, eraseFrom<&document::pools, pool_id>, listFrom<&document::pools> },
        { serverPrefix, object_factory<&backend_server::id>::make, findIn<&document::servers, server_id>, eraseFrom<&document::servers, server_id>, listFrom<&document::servers> },
        { serviceRulePrefix, object_factory<&service_rule::id>::make, findIn<&document::serviceRules, rule_id>, eraseFrom<&document::serviceRules, rule_id>, listFrom<&document::serviceRules> },
        { workspacePrefix, object_factory<&workspace::id>::make, findIn<&document::workspaces, workspace_id>, eraseFrom<&document::workspaces, workspace_id>, listFrom<&document::workspaces> },
        { memberPrefix, object_factory<&member::vm>::make, findIn<&document::members, vm_id>, eraseFrom<&document::members, vm_id>, listFrom<&document::members> },
    };

    const row_kind* rowKindOf(std::string_view key)
    {
        for (const auto& kind : rowKinds) {
            if (key.size() > kind.prefix.size() && key.starts_with(kind.prefix))
                return &kind;
        }
        return nullptr;
    }

    struct store_visitor {
        document& target;

        void operator()(const workspace& value) const { target.workspaces.insert_or_assign(value.id, value); }
        void operator()(const pool& value) const { target.pools.insert_or_assign(value.id, value); }
        void operator()(const backend_server& value) const { target.servers.insert_or_assign(value.id, value); }
        void operator()(const data_centre& value) const { target.dataCentres.insert_or_assign(value.id, value); }
        void operator()(const access_rule& value) const { target.accessRules.insert_or_assign(value.id, value); }
        void operator()(const service_rule& value) const { target.serviceRules.insert_or_assign(value.id, value); }
        void operator()(const member& value) const { target.members.insert_or_assign(value.vm, value); }
        void operator()(const witness_roster& value) const { target.roster = value; }
    };

    void eraseRow(document& target, std::string_view key)
    {
        if (key == rosterKey) {
            target.roster = {};
            return;
        }
        const row_kind* kind = rowKindOf(key);
        kind->erase(target, std::string(key.substr(kind->prefix.size())));
    }

}

bool document::operator==(const document& other) const
{
    return at == other.at && workspaces == other.workspaces && pools == other.pools && servers == other.servers
        && dataCentres == other.dataCentres && accessRules == other.accessRules && serviceRules == other.serviceRules
        && members == other.members && roster == other.roster;
}

std::string rowKey(const document_value& value)
{
    return std::visit(key_visitor {}, value);
}

bool isDocumentKey(std::string_view key)
{
    return key == rosterKey || rowKindOf(key) != nullptr;
}

result<document_value> defaultRowValue(std::string_view key)
{
    if (key == rosterKey)
        return witness_roster {};
    const row_kind* kind = rowKindOf(key);
    if (!kind)
        return makeError(error_kind::invalidArgument,
            "row \"" + std::string(key) + "\" does not belong to the document; check its key");
    return kind->make(std::string(key.substr(kind->prefix.size())));
}

revision rowRevision(const document& source, std::string_view key)
{
    const auto found = source.rowRevisions.find(key);
    return found == source.rowRevisions.end() ? source.at : found->second;
}

std::optional<document_value> findRow(const document& source, std::string_view key)
{
    if (key == rosterKey && source.roster != witness_roster {})
        return source.roster;
    const row_kind* kind = rowKindOf(key);
    return kind ? kind->find(source, std::string(key.substr(kind->prefix.size()))) : std::nullopt;
}

result<void> applyRow(document& target, const row_change& change)
{
    if (!isDocumentKey(change.key))
        return makeError(error_kind::invalidArgument,
            "row \"" + change.key + "\" does not belong to the document; leave it out");
    if (!change.value) {
        eraseRow(target, change.key);
        target.rowRevisions.erase(change.key);
        return {};
    }
    if (rowKey(*change.value) != change.key)
        return makeError(error_kind::invalidArgument,
            "row \"" + change.key + "\" holds the object of row \"" + rowKey(*change.value)
                + "\"; store each object under its own key");
    std::visit(store_visitor { target }, *change.value);
    target.rowRevisions.insert_or_assign(change.key, change.changedAt);
    return {};
}

std::vector<row_change> allRows(const document& source)
{
    std::vector<row_change> rows;
    for (const auto& kind : rowKinds)
        kind.list(source, rows);
    if (source.roster != witness_roster {})
        appendRow(source, std::string(rosterKey), source.roster, rows);
    return rows;
}

}
