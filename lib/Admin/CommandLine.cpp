#include "pimentoladder/Admin/CommandLine.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>

#include <nlohmann/json.hpp>

#include "CommandOutput.h"
#include "ObjectKinds.h"
#include "pimentoladder/Codec/RowJson.h"
#include "pimentoladder/Net/UriText.h"

namespace pimentoladder {

namespace {

    using nlohmann::json;

    constexpr std::string_view usageText = R"(usage: pimentoladder admin COMMAND [ARGUMENT...] [--output=json|table]

Kinds: workspaces, pools, servers, data-centres, access-rules, service-rules.

  list KIND [--selector=SELECTOR] [--limit=N] [--after=ID]
  get KIND ID
  create KIND ID [FIELD=VALUE...] [--file=PATH]
  replace KIND ID [FIELD=VALUE...] [--file=PATH] --if-revision=REVISION|any
  update KIND ID FIELD=VALUE...     reads the object, changes fields, replaces it
  label KIND ID KEY=VALUE... KEY-   sets labels, and removes those with '-'
  delete KIND ID
  routers
  history [--limit=N] [--before=REVISION]
  change CHANGE-ID                  outcome of an earlier change

Labels are given as labels.KEY=VALUE, or in the JSON object in the file (- is
standard input). All changes take --dry-run and --change-id=ID; label and
delete take --if-revision=REVISION.

Exit codes: 0 done, 1 refused, 2 wrong usage, 3 conflict with another change,
4 outcome unknown, 5 router not reached.
)";

    using option_map = std::map<std::string, std::string>;

    // A command line, split into command name, operands and options.
    struct parsed_command {
        std::string name;
        std::vector<std::string> operands;
        option_map options;

        std::string option(const std::string& key) const
        {
            const auto found = options.find(key);
            return found == options.end() ? std::string() : found->second;
        }
        bool has(const std::string& key) const { return options.contains(key); }
    };

    // A usage error as a value; its message is printed to standard error.
    using usage_error = tl::unexpected<std::string>;
    template <typename T>
    using usage_result = tl::expected<T, std::string>;

    usage_result<parsed_command> parseArguments(const std::vector<std::string>& arguments)
    {
        parsed_command command;
        for (const auto& argument : arguments) {
            if (!argument.starts_with("--")) {
                command.operands.push_back(argument);
                continue;
            }
            const std::size_t equals = argument.find('=');
            const std::string key = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
            const std::string value = equals == std::string::npos ? "" : argument.substr(equals + 1);
            if (!command.options.emplace(key, value).second)
                return usage_error("option --" + key + " is given twice; give it once");
        }
        if (command.operands.empty())
            return usage_error("a command is missing");
        command.name = command.operands.front();
        command.operands.erase(command.operands.begin());
        return command;
    }

    // Parses a value as the type of the field's default value.
    usage_result<json> parseFieldValue(const std::string& field, const std::string& text, const json& defaultValue)
    {
        if (defaultValue.is_string())
            return text;
        const json value = json::parse(text, nullptr, false);
        const bool hasExpectedType = defaultValue.is_boolean() ? value.is_boolean() : value.is_number();
        if (!hasExpectedType)
            return usage_error("field " + field + " takes " + (defaultValue.is_boolean() ? "true or false" : "a number"));
        return value;
    }

    usage_result<void> setField(json& object, const std::string& assignment, const json& defaults)
    {
        constexpr std::string_view labelPrefix = "labels.";
        const std::size_t equals = assignment.find('=');
        if (equals == std::string::npos)
            return usage_error('"' + assignment + "\" is not of the form FIELD=VALUE");
        const std::string field = assignment.substr(0, equals);
        const std::string text = assignment.substr(equals + 1);
        if (defaults.contains("labels") && field.starts_with(labelPrefix)) {
            object["labels"][field.substr(labelPrefix.size())] = text;
            return {};
        }
        if (!defaults.contains(field) || defaults[field].is_object())
            return usage_error("field " + field + " does not exist; see docs/api.md");
        auto value = parseFieldValue(field, text, defaults[field]);
        if (!value)
            return usage_error(value.error());
        object[field] = std::move(*value);
        return {};
    }

    // Returns the entries of `items` in a response body that are objects.
    json itemsOf(const json& body)
    {
        json objects = json::array();
        for (const auto& item : body.value("items", json::array())) {
            if (item.is_object())
                objects.push_back(item);
        }
        return objects;
    }

    // An object of the kind with default fields; the id "x" is a placeholder.
    json defaultObject(const object_kind& kind) { return json::parse(formatRowJson(*defaultRowValue(std::string(kind.rowPrefix) + "x"))); }

    class command_runner {
    public:
        command_runner(parsed_command command, const admin_client_inputs& environment, admin_transport& transport)
            : m_command(std::move(command))
            , m_environment(environment)
            , m_transport(transport)
        {
        }

        admin_command_result run();

    private:
        struct command_entry {
            std::string_view name;
            std::size_t minOperands;
            std::size_t maxOperands;
            std::string_view options; // Accepted options, each followed by a space; --output is always accepted.
            admin_command_result (command_runner::*handle)();
        };

        admin_command_result list();
        admin_command_result get();
        admin_command_result create();
        admin_command_result replace();
        admin_command_result update();
        admin_command_result label();
        admin_command_result remove();
        admin_command_result routers();
        admin_command_result history();
        admin_command_result change();

        std::optional<std::string> checkUsage(const command_entry& entry) const;
        admin_request makeRequest(std::string method, std::string path) const;
        usage_result<json> readObject(std::size_t firstField) const;
        std::string objectPath() const;
        std::string queryOf(std::initializer_list<std::pair<const char*, const char*>> parameters) const;
        usage_result<void> addCondition(admin_request& request) const;

        // Sends a read request and formats the response body with `render`.
        template <typename Render>
        admin_command_result sendRead(const admin_request& request, Render render);
        admin_command_result sendChange(admin_request request);
        admin_command_result transportFailure(const error& problem, bool isChange) const;
        admin_command_result errorResponse(const admin_response& response, const json& body, bool isChange) const;
        static admin_command_result usageFailure(const std::string& message);
        bool wantsJson() const { return m_command.option("output") == "json"; }
        const std::string& changeId() const { return m_changeId; }

        static const std::array<command_entry, 10> entries;

        parsed_command m_command;
        const admin_client_inputs& m_environment;
        admin_transport& m_transport;
        const object_kind* m_kind = nullptr;
        std::string m_changeId;
    };

    constexpr std::size_t maxFieldOperands = 1000;

    const std::array<command_runner::command_entry, 10> command_runner::entries { {
        { "list", 1, 1, "selector limit after ", &command_runner::list },
        { "get", 2, 2, "", &command_runner::get },
        { "create", 2, maxFieldOperands, "file dry-run change-id ", &command_runner::create },
        { "replace", 2, maxFieldOperands, "file dry-run change-id if-revision ", &command_runner::replace },
        { "update", 3, maxFieldOperands, "dry-run change-id ", &command_runner::update },
        { "label", 3, maxFieldOperands, "dry-run change-id if-revision ", &command_runner::label },
        { "delete", 2, 2, "dry-run change-id if-revision ", &command_runner::remove },
        { "routers", 0, 0, "", &command_runner::routers },
        { "history", 0, 0, "limit before ", &command_runner::history },
        { "change", 1, 1, "", &command_runner::change },
    } };

    admin_command_result command_runner::run()
    {
        const auto entry = std::find_if(
            entries.begin(), entries.end(), [this](const auto& candidate) { return candidate.name == m_command.name; });
        if (entry == entries.end())
            return usageFailure("command \"" + m_command.name + "\" does not exist");
        if (const auto fault = checkUsage(*entry))
            return usageFailure(*fault);
        const bool takesKind = entry->minOperands > 0 && entry->handle != &command_runner::change;
        if (takesKind) {
            m_kind = findObjectKind(m_command.operands[0]);
            if (!m_kind)
                return usageFailure("kind \"" + m_command.operands[0] + "\" does not exist");
        }
        m_changeId = m_command.has("change-id") ? m_command.option("change-id") : m_environment.changeId;
        return (this->*entry->handle)();
    }

    std::optional<std::string> command_runner::checkUsage(const command_entry& entry) const
    {
        if (m_command.operands.size() < entry.minOperands)
            return "arguments of " + m_command.name + " are missing";
        if (m_command.operands.size() > entry.maxOperands)
            return m_command.name + " takes fewer arguments";
        for (const auto& [key, value] : m_command.options) {
            const bool isKnown = key == "output" || (' ' + std::string(entry.options)).find(' ' + key + ' ') != std::string::npos;
            if (!isKnown || key.empty())
                return m_command.name + " has no option --" + key;
            if (key == "dry-run" && !value.empty())
                return std::string("option --dry-run takes no value");
            if (key != "dry-run" && value.empty())
                return "option --" + key + " needs a value";
        }
        const std::string output = m_command.option("output");
        if (!output.empty() && output != "json" && output != "table")
            return std::string("option --output takes json or table");
        return std::nullopt;
    }

    admin_command_result command_runner::list()
    {
        admin_request request = makeRequest("GET", "/v1/" + m_command.operands[0]);
        request.query = queryOf({ { "selector", "selector" }, { "limit", "limit" }, { "after", "after" } });
        return sendRead(request, [](const json& body) {
            std::string text = formatTable(itemsOf(body));
            if (body.contains("next") && body["next"].is_string())
                text += "more objects follow; continue with --after=" + body["next"].get<std::string>() + '\n';
            return text;
        });
    }

    admin_command_result command_runner::get()
    {
        return sendRead(makeRequest("GET", objectPath()), formatFields);
    }

    admin_command_result command_runner::create()
    {
        auto object = readObject(2);
        if (!object)
            return usageFailure(object.error());
        (*object)["id"] = m_command.operands[1];
        admin_request request = makeRequest("POST", "/v1/" + m_command.operands[0]);
        request.body = object->dump();
        return sendChange(std::move(request));
    }

    admin_command_result command_runner::replace()
    {
        const auto object = readObject(2);
        if (!object)
            return usageFailure(object.error());
        if (!m_command.has("if-revision"))
            return usageFailure("replace needs --if-revision=REVISION as read, or --if-revision=any");
        admin_request request = makeRequest("PUT", objectPath());
        request.body = object->dump();
        if (auto added = addCondition(request); !added)
            return usageFailure(added.error());
        return sendChange(std::move(request));
    }

    admin_command_result command_runner::update()
    {
        const auto response = m_transport.send(makeRequest("GET", objectPath()));
        if (!response)
            return transportFailure(response.error(), false);
        json object = json::parse(response->body, nullptr, false);
        if (response->status != 200 || !object.is_object() || !object.contains("revision"))
            return errorResponse(*response, object, false);
        const json defaults = defaultObject(*m_kind);
        for (std::size_t i = 2; i < m_command.operands.size(); ++i) {
            if (auto set = setField(object, m_command.operands[i], defaults); !set)
                return usageFailure(set.error());
        }
        admin_request request = makeRequest("PUT", objectPath());
        request.headers.push_back({ "If-Match", '"' + object["revision"].dump() + '"' });
        request.body = object.dump();
        return sendChange(std::move(request));
    }

    admin_command_result command_runner::label()
    {
        json patch = json::object();
        for (std::size_t i = 2; i < m_command.operands.size(); ++i) {
            const std::string& operand = m_command.operands[i];
            const std::size_t equals = operand.find('=');
            if (equals != std::string::npos)
                patch[operand.substr(0, equals)] = operand.substr(equals + 1);
            else if (operand.ends_with('-'))
                patch[operand.substr(0, operand.size() - 1)] = nullptr;
            else
                return usageFailure('"' + operand + "\" is neither KEY=VALUE nor KEY-");
        }
        admin_request request = makeRequest("PATCH", objectPath() + "/labels");
        request.body = patch.dump(-1, ' ', false, json::error_handler_t::replace);
        if (auto added = addCondition(request); !added)
            return usageFailure(added.error());
        return sendChange(std::move(request));
    }

    admin_command_result command_runner::remove()
    {
        admin_request request = makeRequest("DELETE", objectPath());
        if (auto added = addCondition(request); !added)
            return usageFailure(added.error());
        return sendChange(std::move(request));
    }

    admin_command_result command_runner::routers()
    {
        return sendRead(makeRequest("GET", "/v1/routers"), [](const json& body) {
            return formatTable(itemsOf(body), { "vm", "dataCentre", "state", "revision", "basisAgeMs", "incarnation" });
        });
    }

    admin_command_result command_runner::history()
    {
        admin_request request = makeRequest("GET", "/v1/history");
        request.query = queryOf({ { "limit", "limit" }, { "before", "before" } });
        return sendRead(request, [](const json& body) {
            return formatTable(itemsOf(body), { "revision", "at", "operator", "action", "object", "basedOn", "changeId" });
        });
    }

    admin_command_result command_runner::change()
    {
        return sendRead(makeRequest("GET", "/v1/changes/" + percentEncoded(m_command.operands[0])), formatFields);
    }

    admin_request command_runner::makeRequest(std::string method, std::string path) const
    {
        admin_request request;
        request.method = std::move(method);
        request.path = std::move(path);
        request.headers.push_back({ "Authorization", "Bearer " + m_environment.token });
        return request;
    }

    usage_result<json> command_runner::readObject(std::size_t firstField) const
    {
        json object = json::object();
        if (m_command.has("file")) {
            const auto text = m_environment.readFile(m_command.option("file"));
            if (!text)
                return usage_error(text.error().message);
            object = json::parse(*text, nullptr, false);
            if (!object.is_object())
                return usage_error("file " + m_command.option("file") + " must hold a JSON object");
        }
        const json defaults = defaultObject(*m_kind);
        for (std::size_t i = firstField; i < m_command.operands.size(); ++i) {
            if (auto set = setField(object, m_command.operands[i], defaults); !set)
                return usage_error(set.error());
        }
        return object;
    }

    std::string command_runner::objectPath() const
    {
        return "/v1/" + m_command.operands[0] + '/' + percentEncoded(m_command.operands[1]);
    }

    std::string command_runner::queryOf(std::initializer_list<std::pair<const char*, const char*>> parameters) const
    {
        std::string query;
        for (const auto& [option, parameter] : parameters) {
            if (m_command.has(option))
                query += (query.empty() ? "" : "&") + std::string(parameter) + '=' + percentEncoded(m_command.option(option));
        }
        return query;
    }

    usage_result<void> command_runner::addCondition(admin_request& request) const
    {
        if (!m_command.has("if-revision"))
            return {};
        const std::string expected = m_command.option("if-revision");
        const bool isNumber = std::all_of(expected.begin(), expected.end(), [](char c) { return c >= '0' && c <= '9'; });
        if (!isNumber && expected != "any")
            return usage_error("option --if-revision takes a revision or any");
        request.headers.push_back({ "If-Match", isNumber ? '"' + expected + '"' : "*" });
        return {};
    }

    template <typename Render>
    admin_command_result command_runner::sendRead(const admin_request& request, Render render)
    {
        const auto response = m_transport.send(request);
        if (!response)
            return transportFailure(response.error(), false);
        const json body = json::parse(response->body, nullptr, false);
        if (response->status / 100 != 2 || !body.is_object())
            return errorResponse(*response, body, false);
        if (wantsJson())
            return { admin_exit_code::ok, response->body, {} };
        return { admin_exit_code::ok, render(body), {} };
    }

    admin_command_result command_runner::sendChange(admin_request request)
    {
        request.headers.push_back({ "X-Change-Id", changeId() });
        const bool isDryRun = m_command.has("dry-run");
        if (isDryRun)
            request.query = "dryRun=true";
        const auto response = m_transport.send(request);
        if (!response)
            return transportFailure(response.error(), !isDryRun);
        const json body = json::parse(response->body, nullptr, false);
        if (response->status / 100 != 2 || !body.is_object())
            return errorResponse(*response, body, !isDryRun);
        if (wantsJson())
            return { admin_exit_code::ok, response->body, {} };
        return { admin_exit_code::ok, isDryRun ? formatPreview(body) : formatOutcome(body), {} };
    }

    admin_command_result command_runner::transportFailure(const error& problem, bool isChange) const
    {
        if (isChange && problem.kind == error_kind::outcomeUnknown)
            return { admin_exit_code::unknownOutcome, {},
                problem.message + "; the change may have been committed; look up its outcome with: admin change " + changeId() + '\n' };
        return { admin_exit_code::unreachable, {}, problem.message + '\n' };
    }

    admin_command_result command_runner::errorResponse(const admin_response& response, const json& body, bool isChange) const
    {
        const bool isRouterResponse = body.is_object() && body.value("kind", json()).is_string() && body.value("message", json()).is_string();
        if (!isRouterResponse) {
            const std::string text = "the response with status " + std::to_string(response.status) + " did not come from a router";
            return transportFailure({ error_kind::outcomeUnknown, text + "; check the address" }, isChange);
        }
        admin_command_result result { admin_exit_code::refused, {}, {} };
        if (body["kind"] == "conflict")
            result.exit = admin_exit_code::conflict;
        if (body["kind"] == "outcome_unknown")
            result.exit = admin_exit_code::unknownOutcome;
        (wantsJson() ? result.output : result.errors)
            = wantsJson() ? response.body : formatFields({ { body["kind"].get<std::string>(), body["message"] } });
        return result;
    }

    admin_command_result command_runner::usageFailure(const std::string& message)
    {
        return { admin_exit_code::usage, {}, message + "; see pimentoladder admin help\n" };
    }

}

admin_command_result runAdminCommand(
    const std::vector<std::string>& arguments, const admin_client_inputs& environment, admin_transport& transport)
{
    if (!arguments.empty() && (arguments[0] == "help" || arguments[0] == "--help"))
        return { admin_exit_code::ok, std::string(adminUsage()), {} };
    auto command = parseArguments(arguments);
    if (!command)
        return { admin_exit_code::usage, {}, command.error() + "; see pimentoladder admin help\n" };
    return command_runner(std::move(*command), environment, transport).run();
}

std::string_view adminUsage() { return usageText; }

}
