#include "pimentoladder/Admin/AdminService.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "ChangeRecord.h"
#include "ChangeSubmitter.h"
#include "ObjectKinds.h"
#include "Replies.h"
#include "UrlText.h"
#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Config/Changes.h"

namespace pimentoladder {

namespace {

    using nlohmann::json;

    constexpr std::size_t defaultPageSize = 500;
    constexpr std::size_t maxPageSize = 1000;
    constexpr std::size_t changeIdDigits = 32;
    constexpr std::size_t minChangeIdBytes = 8;
    constexpr std::size_t maxChangeIdBytes = 64;

    template <typename Integer>
    std::optional<Integer> parseInteger(std::string_view text)
    {
        Integer number = 0;
        const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (problem != std::errc() || end != text.data() + text.size() || text.empty())
            return std::nullopt;
        return number;
    }

    bool isChangeId(std::string_view id)
    {
        return id.size() >= minChangeIdBytes && id.size() <= maxChangeIdBytes
            && std::all_of(id.begin(), id.end(), [](char c) {
                   return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
               });
    }

    // Accepts a single strong entity tag, or `*`, for which it returns none (any
    // revision).
    result<std::optional<revision>> parseIfMatch(std::string_view text)
    {
        if (text == "*")
            return std::optional<revision>();
        if (text.size() > 2 && text.starts_with('"') && text.ends_with('"')) {
            if (const auto number = parseInteger<std::uint64_t>(text.substr(1, text.size() - 2)))
                return std::optional(revision(*number));
        }
        return makeError(error_kind::invalidArgument, "If-Match must be * or the ETag of the object; read it again");
    }

    json previewJson(const change_plan& plan, const change_preview& preview)
    {
        json objects = json::array();
        for (const auto& change : preview.objects)
            objects.push_back({ { "action", changeActionName(change.action) }, { "object", change.key } });
        json service = json::array();
        for (const auto& change : preview.service)
            service.push_back({ { "dataCentre", change.dataCentre.value() }, { "isInService", change.isInService } });
        json reach = json::array();
        for (const auto& change : preview.reach)
            reach.push_back({ { "workspace", change.workspace.value() }, { "server", change.server.value() },
                { "isReachable", change.isReachable } });
        return {
            { "outcome", "dry_run" },
            { "basedOn", plan.basedOn.value() },
            { "objects", std::move(objects) },
            { "service", std::move(service) },
            { "reach", std::move(reach) },
            { "reachGained", preview.reachGained },
            { "reachLost", preview.reachLost },
        };
    }

    json routerJson(const router_status& router)
    {
        json object {
            { "vm", router.vm.value() },
            { "incarnation", router.start.value() },
            { "dataCentre", router.dataCentre.value() },
            { "state", router.state },
            { "revision", nullptr },
            { "basisAgeMs", nullptr },
        };
        if (router.applied)
            object["revision"] = router.applied->value();
        if (router.basisAge)
            object["basisAgeMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(*router.basisAge).count();
        return object;
    }

    // A request being handled, with the parts parsed from it so far.
    struct admin_call {
        const admin_request& request;
        const admin_context& view;
        admin_responder respond;
        query_parameters query {};
        std::string operatorName {};
        const object_kind* kind = nullptr;
        std::string id {};

        std::string key() const { return std::string(kind->rowPrefix) + id; }
        void refuse(const error& problem) const { respond(refusalReply(problem)); }
        void refuse(admin_refusal reason, std::string_view message) const { respond(refusalReply(reason, message)); }
    };

    result<std::size_t> parsePageSize(const admin_call& call)
    {
        const auto limit = call.query.find("limit");
        if (limit == call.query.end())
            return defaultPageSize;
        const auto number = parseInteger<std::size_t>(limit->second);
        if (!number || *number == 0 || *number > maxPageSize)
            return makeError(
                error_kind::invalidArgument, "limit must be from 1 to " + std::to_string(maxPageSize) + "; correct it");
        return *number;
    }

    result<bool> parseDryRun(const admin_call& call)
    {
        const auto dryRun = call.query.find("dryRun");
        if (dryRun == call.query.end() || dryRun->second == "false")
            return false;
        if (dryRun->second == "true")
            return true;
        return makeError(error_kind::invalidArgument, "dryRun must be true or false; correct it");
    }

    result<json> parseBody(const admin_call& call)
    {
        json body = json::parse(call.request.body, nullptr, false);
        if (body.is_discarded())
            return makeError(error_kind::invalidArgument, "the body is no valid JSON; correct it");
        return body;
    }

    // Merges a patch into labels: a string sets a label, null removes it.
    result<void> patchLabels(label_map& labels, const json& patch)
    {
        if (!patch.is_object())
            return makeError(error_kind::invalidArgument, "the body must be a JSON object of labels; correct it");
        for (const auto& [key, value] : patch.items()) {
            if (value.is_null())
                labels.erase(key);
            else if (value.is_string())
                labels[key] = value.get<std::string>();
            else
                return makeError(error_kind::invalidArgument,
                    "label \"" + key + "\" must be a string, or null to remove the label; correct it");
        }
        return {};
    }

}

class admin_service::implementation {
public:
    implementation(admin_settings settings, operator_directory operators, change_store& store,
        std::function<void(revision)> onCommitted, std::uint64_t seed)
        : m_settings(settings)
        , m_operators(std::move(operators))
        , m_store(store)
        , m_changes(std::make_shared<change_submitter>(store, std::move(onCommitted), settings.changesInProgress))
        , m_random(seed)
    {
    }

    void handle(admin_call call);
    change_submitter& changes() { return *m_changes; }

private:
    using handler = void (implementation::*)(admin_call& call);
    using path_pattern = std::array<std::string_view, 3>;

    struct route {
        std::string_view method;
        path_pattern pattern; // Segments after /v1; `{kind}` and `{id}` are placeholders.
        std::string_view parameters; // Names of the accepted query parameters, each followed by a space.
        handler handle;
    };

    void listObjects(admin_call& call);
    void createObject(admin_call& call);
    void readObject(admin_call& call);
    void replaceObject(admin_call& call);
    void deleteObject(admin_call& call);
    void patchObjectLabels(admin_call& call);
    void listRouters(admin_call& call);
    void listHistory(admin_call& call);
    void readChange(admin_call& call);

    bool authenticate(admin_call& call) const;
    static bool matchPath(const path_pattern& pattern, admin_call& call);
    static bool checkParameters(const route& chosen, admin_call& call);
    void proposeChange(admin_call& call, change_action action, std::optional<document_value> value);
    result<std::string> chooseChangeId(const admin_call& call);
    static std::string requestDigest(const admin_request& request);

    static const std::array<route, 9> routes;

    admin_settings m_settings;
    operator_directory m_operators;
    change_store& m_store;
    std::shared_ptr<change_submitter> m_changes;
    random_source m_random;
};

const std::array<admin_service::implementation::route, 9> admin_service::implementation::routes { {
    { "GET", { "routers" }, "", &implementation::listRouters },
    { "GET", { "history" }, "limit before ", &implementation::listHistory },
    { "GET", { "changes", "{id}" }, "", &implementation::readChange },
    { "GET", { "{kind}" }, "selector limit after ", &implementation::listObjects },
    { "POST", { "{kind}" }, "dryRun ", &implementation::createObject },
    { "GET", { "{kind}", "{id}" }, "", &implementation::readObject },
    { "PUT", { "{kind}", "{id}" }, "dryRun ", &implementation::replaceObject },
    { "DELETE", { "{kind}", "{id}" }, "dryRun ", &implementation::deleteObject },
    { "PATCH", { "{kind}", "{id}", "labels" }, "dryRun ", &implementation::patchObjectLabels },
} };

void admin_service::implementation::handle(admin_call call)
{
    m_changes->onAccepted(call.view.accepted);
    if (!authenticate(call))
        return call.refuse(admin_refusal::unauthenticated, "send the operator's token as a bearer token");
    if (call.request.body.size() > m_settings.bodyBytes)
        return call.refuse(admin_refusal::bodyTooLarge,
            "the body must have at most " + std::to_string(m_settings.bodyBytes) + " bytes; shorten it");
    auto query = parseQuery(call.request.query);
    if (!query)
        return call.refuse(query.error());
    call.query = std::move(*query);

    std::string allowed;
    for (const auto& candidate : routes) {
        if (!matchPath(candidate.pattern, call))
            continue;
        if (candidate.method == call.request.method) {
            if (checkParameters(candidate, call))
                (this->*candidate.handle)(call);
            return;
        }
        allowed += (allowed.empty() ? "" : ", ") + std::string(candidate.method);
    }
    if (allowed.empty())
        return call.refuse(admin_refusal::notFound, "no such path; see docs/api.md");
    admin_response response
        = refusalReply(admin_refusal::methodNotAllowed, "this path takes " + allowed + "; use one of these");
    response.headers.push_back({ "Allow", allowed });
    call.respond(response);
}

bool admin_service::implementation::authenticate(admin_call& call) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = findAdminHeader(call.request.headers, "Authorization");
    if (!header || !header->starts_with(scheme))
        return false;
    const auto name = m_operators.identify(header->substr(scheme.size()));
    call.operatorName = name.value_or("");
    return name.has_value();
}

bool admin_service::implementation::matchPath(const path_pattern& pattern, admin_call& call)
{
    const auto segments = pathSegments(call.request.path);
    const auto length = static_cast<std::size_t>(
        std::count_if(pattern.begin(), pattern.end(), [](std::string_view part) { return !part.empty(); }));
    if (segments.size() != length + 1 || segments[0] != "v1")
        return false;
    for (std::size_t i = 0; i < length; ++i) {
        const std::string_view segment = segments[i + 1];
        if (pattern[i] == "{kind}") {
            call.kind = findObjectKind(segment);
            if (!call.kind)
                return false;
        } else if (pattern[i] == "{id}") {
            call.id = segment;
        } else if (pattern[i] != segment) {
            return false;
        }
    }
    return true;
}

// Rejects unknown parameters, so that a misspelt dryRun does not execute the
// change.
bool admin_service::implementation::checkParameters(const route& chosen, admin_call& call)
{
    for (const auto& [name, value] : call.query) {
        const bool isKnown = !name.empty() && name.find(' ') == std::string::npos
            && (' ' + std::string(chosen.parameters)).find(' ' + name + ' ') != std::string::npos;
        if (isKnown)
            continue;
        call.refuse(admin_refusal::invalidArgument,
            "query parameter \"" + name + "\" is unknown; check its spelling or leave it out");
        return false;
    }
    return true;
}

void admin_service::implementation::listObjects(admin_call& call)
{
    const auto pageSize = parsePageSize(call);
    if (!pageSize)
        return call.refuse(pageSize.error());
    if (call.query.contains("selector") && !call.kind->hasLabels)
        return call.refuse(
            admin_refusal::invalidArgument, std::string(call.kind->collection) + " have no labels; leave the selector out");
    const auto chosen = selector::parse(call.query["selector"]);
    if (!chosen)
        return call.refuse(chosen.error());

    const document& current = call.view.current;
    json items = json::array();
    std::string last;
    bool hasMore = false;
    call.kind->visit(current, call.query["after"], [&](const document_value& value) {
        const label_map* labels = labelsOf(value);
        if (labels && !chosen->matches(*labels))
            return true;
        hasMore = items.size() == *pageSize;
        if (hasMore)
            return false;
        last = objectId(*call.kind, value);
        items.push_back(objectJson(value, rowRevision(current, rowKey(value))));
        return true;
    });
    json body { { "revision", current.at.value() }, { "items", std::move(items) } };
    if (hasMore)
        body["next"] = last;
    call.respond(jsonReply(200, body));
}

void admin_service::implementation::createObject(admin_call& call)
{
    const auto body = parseBody(call);
    if (!body)
        return call.refuse(body.error());
    const auto id = body->is_object() ? body->find("id") : body->end();
    if (id == body->end() || !id->is_string())
        return call.refuse(admin_refusal::invalidArgument, "the body must be a JSON object with a string \"id\"; add it");
    call.id = id->get<std::string>();
    auto value = parseObject(*call.kind, call.id, *body);
    if (!value)
        return call.refuse(value.error());
    proposeChange(call, change_action::create, std::move(*value));
}

void admin_service::implementation::readObject(admin_call& call)
{
    const auto value = findRow(call.view.current, call.key());
    if (!value)
        return call.refuse(
            admin_refusal::notFound, '"' + call.key() + "\" does not exist; create it or check the id");
    const revision at = rowRevision(call.view.current, call.key());
    admin_response response = jsonReply(200, objectJson(*value, at));
    setEntityTag(response, at);
    call.respond(response);
}

void admin_service::implementation::replaceObject(admin_call& call)
{
    if (!findAdminHeader(call.request.headers, "If-Match"))
        return call.refuse(admin_refusal::preconditionRequired,
            "send If-Match with the ETag of the object as read, or * to replace any state");
    const auto body = parseBody(call);
    if (!body)
        return call.refuse(body.error());
    auto value = parseObject(*call.kind, call.id, *body);
    if (!value)
        return call.refuse(value.error());
    proposeChange(call, change_action::replace, std::move(*value));
}

void admin_service::implementation::deleteObject(admin_call& call) { proposeChange(call, change_action::remove, {}); }

void admin_service::implementation::patchObjectLabels(admin_call& call)
{
    if (!call.kind->hasLabels)
        return call.refuse(admin_refusal::notFound, std::string(call.kind->collection) + " have no labels; replace the rule");
    auto value = findRow(call.view.current, call.key());
    if (!value)
        return call.refuse(
            admin_refusal::notFound, '"' + call.key() + "\" does not exist; create it or check the id");
    const auto body = parseBody(call);
    if (!body)
        return call.refuse(body.error());
    if (auto patched = patchLabels(*labelsOf(*value), *body); !patched)
        return call.refuse(patched.error());
    proposeChange(call, change_action::replace, std::move(*value));
}

void admin_service::implementation::proposeChange(admin_call& call, change_action action, std::optional<document_value> value)
{
    const auto dryRun = parseDryRun(call);
    if (!dryRun)
        return call.refuse(dryRun.error());
    const auto expected = parseIfMatch(findAdminHeader(call.request.headers, "If-Match").value_or("*"));
    if (!expected)
        return call.refuse(expected.error());
    const auto changeId = chooseChangeId(call);
    if (!changeId)
        return call.refuse(changeId.error());

    const document& current = call.view.current;
    const auto plan = planChange(current, { action, call.key(), std::move(value), *expected }, m_settings.limits);
    if (*dryRun) {
        call.respond(plan ? jsonReply(200, previewJson(*plan, previewChange(current, plan->after)))
                          : refusalReply(plan.error()));
        return;
    }

    submitted_change submitted;
    submitted.requestDigest = requestDigest(call.request);
    submitted.mayBeRepeat = findAdminHeader(call.request.headers, "X-Change-Id").has_value();
    submitted.acceptedStatus = action == change_action::create ? 201 : 200;
    submitted.deadline = call.view.now + m_settings.acceptanceTimeout;
    submitted.respond = call.respond;
    submitted.transaction.changeId = *changeId;
    if (plan) {
        submitted.transaction = makeChangeTransaction(
            *plan, { *changeId, call.operatorName, submitted.requestDigest, call.view.wallTime });
    } else if (plan.error().kind == error_kind::conflict) {
        submitted.refusal = refusalReply(admin_refusal::conflict, plan.error().message,
            { { "outcome", "conflict" }, { "revision", rowRevision(current, call.key()).value() } });
    } else {
        submitted.refusal = refusalReply(plan.error());
    }
    m_changes->submit(std::move(submitted));
}

result<std::string> admin_service::implementation::chooseChangeId(const admin_call& call)
{
    if (const auto chosen = findAdminHeader(call.request.headers, "X-Change-Id")) {
        if (!isChangeId(*chosen))
            return makeError(error_kind::invalidArgument,
                "X-Change-Id must have 8 to 64 letters, digits, '-' or '_'; choose another");
        return std::string(*chosen);
    }
    std::string id;
    for (std::size_t i = 0; i < changeIdDigits; ++i)
        id += "0123456789abcdef"[m_random.index(16)];
    return id;
}

std::string admin_service::implementation::requestDigest(const admin_request& request)
{
    std::string text = request.method;
    for (const std::string_view part : { std::string_view(request.path), std::string_view(request.query),
             findAdminHeader(request.headers, "If-Match").value_or(""), std::string_view(request.body) })
        text += '\n' + std::string(part);
    return sha256Hex(text);
}

void admin_service::implementation::listRouters(admin_call& call)
{
    json items = json::array();
    for (const auto& router : call.view.routers)
        items.push_back(routerJson(router));
    call.respond(jsonReply(200,
        { { "revision", call.view.current.at.value() }, { "accepted", m_changes->acceptedRevision().value() },
            { "items", std::move(items) } }));
}

void admin_service::implementation::listHistory(admin_call& call)
{
    const auto pageSize = parsePageSize(call);
    if (!pageSize)
        return call.refuse(pageSize.error());
    std::string beforeKey;
    if (const auto before = call.query.find("before"); before != call.query.end()) {
        const auto number = parseInteger<std::uint64_t>(before->second);
        if (!number)
            return call.refuse(admin_refusal::invalidArgument, "before must be a revision; correct it");
        beforeKey = historyKey(revision(*number));
    }
    m_store.readHistory(*pageSize, beforeKey, [respond = call.respond](const result<std::vector<stored_row>>& rows) {
        if (!rows)
            return respond(refusalReply(rows.error()));
        json items = json::array();
        for (const auto& row : *rows)
            items.push_back(recordJson(row));
        respond(jsonReply(200, { { "items", std::move(items) } }));
    });
}

void admin_service::implementation::readChange(admin_call& call)
{
    if (!isChangeId(call.id))
        return call.refuse(admin_refusal::notFound, "no change has this id; check it");
    m_store.readChange(call.id, [respond = call.respond, accepted = m_changes->acceptedRevision()](const result<change_lookup>& read) {
        if (!read)
            return respond(refusalReply(read.error()));
        if (!read->row)
            return respond(refusalReply(admin_refusal::notFound,
                "no change of this id is recorded; if it was sent in the last seconds, ask again",
                { { "tableRevision", read->tableAt.value() } }));
        json record = recordJson(*read->row);
        record["outcome"] = read->row->at <= accepted ? "accepted" : "committed";
        respond(jsonReply(200, record));
    });
}

admin_service::admin_service(admin_settings settings, operator_directory operators, change_store& store,
    std::function<void(revision)> onCommitted, std::uint64_t seed)
    : m_implementation(std::make_unique<implementation>(
        settings, std::move(operators), store, std::move(onCommitted), seed))
{
}

admin_service::~admin_service() = default;

void admin_service::handle(const admin_request& request, const admin_context& view, admin_responder respond)
{
    m_implementation->handle({ request, view, std::move(respond) });
}

void admin_service::onAccepted(revision upTo) { m_implementation->changes().onAccepted(upTo); }

void admin_service::tick(time_point now) { m_implementation->changes().tick(now); }

std::optional<time_point> admin_service::nextDeadline() const { return m_implementation->changes().nextDeadline(); }

}
