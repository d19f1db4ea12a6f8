#include "pimentoladder/Codec/RowJson.h"

#include <cmath>
#include <limits>
#include <type_traits>

#include <nlohmann/json.hpp>

namespace pimentoladder {

namespace {

    using nlohmann::json;

    // Reads fields of a JSON object. After the first fault, further reads do nothing.
    class field_reader {
    public:
        field_reader(const json& object, std::string& fault)
            : m_object(object)
            , m_fault(fault)
        {
        }

        template <typename Value>
        void field(const char* name, Value& value)
        {
            if (const json* found = find(name))
                read(name, *found, value);
        }

        void positiveField(const char* name, double& value)
        {
            field(name, value);
            if (m_fault.empty() && !(value > 0))
                fail(name, "must be above 0");
        }

    private:
        const json* find(const char* name)
        {
            if (!m_fault.empty())
                return nullptr;
            const auto found = m_object.find(name);
            if (found != m_object.end())
                return &*found;
            fail(name, "is missing");
            return nullptr;
        }

        void fail(const char* name, std::string_view what)
        {
            m_fault = "field \"" + std::string(name) + "\" " + std::string(what);
        }

        void read(const char* name, const json& from, std::string& value)
        {
            if (!from.is_string())
                return fail(name, "must be a string");
            value = from.get<std::string>();
        }

        template <typename Tag>
        void read(const char* name, const json& from, strong_name<Tag>& value)
        {
            std::string text;
            read(name, from, text);
            value = strong_name<Tag>(std::move(text));
        }

        template <typename Tag>
        void read(const char* name, const json& from, strong_number<Tag>& value)
        {
            std::uint64_t number = 0;
            read(name, from, number);
            value = strong_number<Tag>(number);
        }

        template <typename Integer>
        requires std::is_unsigned_v<Integer>
        void read(const char* name, const json& from, Integer& value)
        {
            if (!from.is_number_unsigned() || from.get<std::uint64_t>() > std::numeric_limits<Integer>::max())
                return fail(name, "must be a whole number from 0 to " + std::to_string(std::numeric_limits<Integer>::max()));
            value = from.get<Integer>();
        }

        void read(const char* name, const json& from, bool& value)
        {
            if (!from.is_boolean())
                return fail(name, "must be true or false");
            value = from.get<bool>();
        }

        void read(const char* name, const json& from, double& value)
        {
            if (!from.is_number() || !std::isfinite(from.get<double>()))
                return fail(name, "must be a number");
            value = from.get<double>();
        }

        void read(const char* name, const json& from, pool_kind& value)
        {
            if (from == "model")
                value = pool_kind::model;
            else if (from == "service")
                value = pool_kind::service;
            else
                fail(name, "must be \"model\" or \"service\"");
        }

        void read(const char* name, const json& from, label_map& value)
        {
            if (!from.is_object())
                return fail(name, "must be an object of strings");
            for (const auto& [key, text] : from.items()) {
                if (!text.is_string())
                    return fail(name, "must hold strings only");
                value[key] = text.get<std::string>();
            }
        }

        void read(const char* name, const json& from, selector& value)
        {
            if (!from.is_string())
                return fail(name, "must be a selector");
            auto parsed = selector::parse(from.get_ref<const std::string&>());
            if (!parsed)
                return fail(name, parsed.error().message);
            value = std::move(*parsed);
        }

        void read(const char* name, const json& from, std::vector<member_ref>& value)
        {
            if (!from.is_array())
                return fail(name, "must be an array");
            for (const auto& entry : from) {
                if (!entry.is_object())
                    return fail(name, "must hold objects");
                member_ref member;
                field_reader nested(entry, m_fault);
                nested.field("vm", member.vm);
                nested.field("incarnation", member.start);
                value.push_back(std::move(member));
            }
        }

        const json& m_object;
        std::string& m_fault;
    };

    // Writes fields to a JSON object.
    class field_writer {
    public:
        explicit field_writer(json& object)
            : m_object(object)
        {
        }

        template <typename Value>
        void field(const char* name, const Value& value)
        {
            m_object[name] = toJson(value);
        }

        void positiveField(const char* name, double value) { field(name, value); }

    private:
        template <typename Tag>
        static json toJson(const strong_name<Tag>& value)
        {
            return value.value();
        }
        template <typename Tag>
        static json toJson(strong_number<Tag> value)
        {
            return value.value();
        }
        template <typename Number>
        requires std::is_arithmetic_v<Number>
        static json toJson(Number value)
        {
            return value;
        }
        static json toJson(const std::string& value) { return value; }
        static json toJson(pool_kind value) { return value == pool_kind::model ? "model" : "service"; }
        static json toJson(const label_map& value)
        {
            json object = json::object();
            for (const auto& [key, text] : value)
                object[key] = text;
            return object;
        }
        static json toJson(const selector& value) { return value.text(); }
        static json toJson(const std::vector<member_ref>& value)
        {
            json array = json::array();
            for (const auto& entry : value)
                array.push_back({ { "vm", entry.vm.value() }, { "incarnation", entry.start.value() } });
            return array;
        }

        json& m_object;
    };

    // The fields of each kind of row, shared by reading and writing.

    template <typename Fields>
    void visitFields(Fields& fields, workspace& value)
    {
        fields.field("id", value.id);
        fields.field("labels", value.labels);
        fields.positiveField("weight", value.weight);
        fields.field("keyDigest", value.keyDigest);
        fields.field("queueLimit", value.queueLimit);
        fields.field("connectionLimit", value.connectionLimit);
    }

    template <typename Fields>
    void visitFields(Fields& fields, pool& value)
    {
        fields.field("id", value.id);
        fields.field("labels", value.labels);
        fields.field("kind", value.kind);
        fields.field("pathPrefix", value.pathPrefix);
        fields.positiveField("defaultCost", value.defaultCost);
    }

    template <typename Fields>
    void visitFields(Fields& fields, endpoint& value)
    {
        fields.field("address", value.address);
        fields.field("port", value.port);
    }

    template <typename Fields>
    void visitFields(Fields& fields, backend_server& value)
    {
        fields.field("id", value.id);
        fields.field("pool", value.pool);
        fields.field("dataCentre", value.dataCentre);
        fields.field("vm", value.vm);
        fields.field("labels", value.labels);
        visitFields(fields, value.location);
        fields.field("floor", value.floor);
        fields.field("ceiling", value.ceiling);
        fields.field("isLeaving", value.isLeaving);
        fields.field("isFenced", value.isFenced);
    }

    template <typename Fields>
    void visitFields(Fields& fields, data_centre& value)
    {
        fields.field("id", value.id);
        fields.field("labels", value.labels);
    }

    template <typename Fields>
    void visitFields(Fields& fields, access_rule& value)
    {
        fields.field("id", value.id);
        fields.field("workspaces", value.workspaces);
        fields.field("servers", value.servers);
    }

    template <typename Fields>
    void visitFields(Fields& fields, service_rule& value)
    {
        fields.field("id", value.id);
        fields.field("dataCentresOut", value.dataCentresOut);
    }

    template <typename Fields>
    void visitFields(Fields& fields, member& value)
    {
        fields.field("vm", value.vm);
        fields.field("incarnation", value.start);
        fields.field("dataCentre", value.dataCentre);
        visitFields(fields, value.peerLocation);
    }

    template <typename Fields>
    void visitFields(Fields& fields, witness_roster& value)
    {
        fields.field("witnesses", value.witnesses);
        fields.field("previous", value.previous);
    }

    tl::unexpected<error> corruptRow(std::string_view key, const std::string& what)
    {
        return makeError(error_kind::corruptData, "row \"" + std::string(key) + "\": " + what);
    }

}

result<document_value> parseRowJson(std::string_view key, std::string_view text)
{
    auto value = defaultRowValue(key);
    if (!value)
        return corruptRow(key, "the key names no kind of row; check it");
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return corruptRow(key, "the text is no JSON object; write it again");

    std::string fault;
    field_reader reader(object, fault);
    std::visit([&](auto& row) { visitFields(reader, row); }, *value);
    if (!fault.empty())
        return corruptRow(key, fault);
    if (rowKey(*value) != key)
        return corruptRow(key, "the object has another id than the key; make them equal");
    return value;
}

std::string formatRowJson(const document_value& value)
{
    json object = json::object();
    field_writer writer(object);
    std::visit([&](auto row) { visitFields(writer, row); }, value);
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

}
