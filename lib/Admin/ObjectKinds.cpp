#include "ObjectKinds.h"

#include <algorithm>
#include <type_traits>

#include "pimentoladder/Codec/RowJson.h"

namespace pimentoladder {

namespace {

    using nlohmann::json;

    template <auto Map, typename Id>
    void visitMap(const document& source, const std::string& after, const object_visitor& visitor)
    {
        const auto& objects = source.*Map;
        for (auto entry = objects.upper_bound(Id(after)); entry != objects.end(); ++entry) {
            if (!visitor(entry->second))
                return;
        }
    }

    struct labels_visitor {
        template <typename Object>
        auto operator()(Object& object) const
        {
            using labels_pointer = std::conditional_t<std::is_const_v<Object>, const label_map*, label_map*>;
            if constexpr (requires { object.labels; })
                return labels_pointer(&object.labels);
            else
                return labels_pointer(nullptr);
        }
    };

    tl::unexpected<error> invalidFieldError(std::string_view field, std::string_view remedy)
    {
        return makeError(error_kind::invalidArgument, "field \"" + std::string(field) + "\" " + std::string(remedy));
    }

    result<void> checkFields(const object_kind& kind, const std::string& id, const json& body, const json& defaults)
    {
        for (const auto& [field, value] : body.items()) {
            if (!defaults.contains(field) && field != "revision")
                return invalidFieldError(field, "is unknown; check its spelling or leave it out");
        }
        for (const auto field : kind.requiredFields) {
            if (!body.contains(field))
                return invalidFieldError(field, "is missing; add it");
        }
        const auto named = body.find("id");
        if (named != body.end() && *named != id)
            return invalidFieldError("id", "differs from the id in the path; make them equal");
        return {};
    }

}

const std::vector<object_kind>& objectKinds()
{
    static const std::vector<object_kind> kinds {
        { "workspaces", "config/workspace/", true, { "keyDigest" }, visitMap<&document::workspaces, workspace_id> },
        { "pools", "config/pool/", true, { "kind", "pathPrefix" }, visitMap<&document::pools, pool_id> },
        { "servers", "config/server/", true, { "pool", "dataCentre", "address", "port" },
            visitMap<&document::servers, server_id> },
        { "data-centres", "config/data-centre/", true, {}, visitMap<&document::dataCentres, data_centre_id> },
        { "access-rules", "config/access-rule/", false, { "workspaces", "servers" },
            visitMap<&document::accessRules, rule_id> },
        { "service-rules", "config/service-rule/", false, { "dataCentresOut" },
            visitMap<&document::serviceRules, rule_id> },
    };
    return kinds;
}

const object_kind* findObjectKind(std::string_view collection)
{
    for (const auto& kind : objectKinds()) {
        if (kind.collection == collection)
            return &kind;
    }
    return nullptr;
}

std::string objectId(const object_kind& kind, const document_value& value)
{
    return rowKey(value).substr(kind.rowPrefix.size());
}

const label_map* labelsOf(const document_value& value) { return std::visit(labels_visitor {}, value); }

label_map* labelsOf(document_value& value) { return std::visit(labels_visitor {}, value); }

json objectJson(const document_value& value, revision at)
{
    json object = json::parse(formatRowJson(value));
    object["revision"] = at.value();
    return object;
}

result<document_value> parseObject(const object_kind& kind, const std::string& id, const json& body)
{
    if (!body.is_object())
        return makeError(error_kind::invalidArgument, "the body must be a JSON object; correct it");
    const std::string key = std::string(kind.rowPrefix) + id;
    const auto defaults = defaultRowValue(key);
    if (!defaults)
        return invalidFieldError("id", "must not be empty; choose one");
    json merged = json::parse(formatRowJson(*defaults));
    if (auto checked = checkFields(kind, id, body, merged); !checked)
        return tl::unexpected(checked.error());
    merged.update(body);
    auto value = parseRowJson(key, merged.dump(-1, ' ', false, json::error_handler_t::replace));
    if (!value)
        return makeError(error_kind::invalidArgument, value.error().message);
    return value;
}

}
