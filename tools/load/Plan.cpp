#include "load/Plan.h"

#include <algorithm>
#include <cmath>

#include <yaml-cpp/yaml.h>

namespace pimentoladder::load {

namespace {

    template <typename Value>
    void read(const YAML::Node& source, const char* name, Value& target)
    {
        if (source[name])
            target = source[name].as<Value>();
    }

    void readSeconds(const YAML::Node& source, const char* name, duration& target)
    {
        if (!source[name])
            return;
        target = std::chrono::duration_cast<duration>(std::chrono::duration<double>(source[name].as<double>()));
    }

    /// Throws `YAML::RepresentationException` if the map has a field that is not in
    /// \p known.
    void rejectUnknownFields(const YAML::Node& source, std::initializer_list<std::string_view> known)
    {
        for (const auto& field : source) {
            const auto name = field.first.as<std::string>();
            if (std::find(known.begin(), known.end(), name) == known.end())
                throw YAML::RepresentationException(field.first.Mark(), "unknown field " + name);
        }
    }

    workspace_load readWorkspace(const YAML::Node& source)
    {
        rejectUnknownFields(source, { "name", "key", "rate", "concurrency", "method", "path", "bodyBytes", "sharedPrefixBytes", "minTokens", "maxTokens", "costHint", "streaming", "idempotencyKey", "repeats", "duplicateShare", "startSeconds", "stopSeconds" });
        workspace_load parsed;
        read(source, "name", parsed.name);
        read(source, "key", parsed.key);
        read(source, "rate", parsed.rate);
        read(source, "concurrency", parsed.concurrency);
        read(source, "method", parsed.method);
        read(source, "path", parsed.path);
        read(source, "bodyBytes", parsed.bodyBytes);
        read(source, "sharedPrefixBytes", parsed.sharedPrefixBytes);
        read(source, "minTokens", parsed.minTokens);
        read(source, "maxTokens", parsed.maxTokens);
        read(source, "costHint", parsed.costHint);
        read(source, "streaming", parsed.isStreaming);
        read(source, "idempotencyKey", parsed.hasIdempotencyKey);
        read(source, "repeats", parsed.repeats);
        read(source, "duplicateShare", parsed.duplicateShare);
        readSeconds(source, "startSeconds", parsed.startAfter);
        readSeconds(source, "stopSeconds", parsed.stopAfter);
        return parsed;
    }

}

result<plan> parsePlan(const std::string& text)
{
    try {
        const YAML::Node source = YAML::Load(text);
        rejectUnknownFields(source, { "seconds", "timeoutSeconds", "seed", "targets", "workspaces" });
        plan parsed;
        readSeconds(source, "seconds", parsed.length);
        readSeconds(source, "timeoutSeconds", parsed.timeout);
        read(source, "seed", parsed.seed);
        read(source, "targets", parsed.targets);
        for (const YAML::Node& entry : source["workspaces"])
            parsed.workspaces.push_back(readWorkspace(entry));
        return parsed;
    } catch (const YAML::Exception& failure) {
        return makeError(error_kind::invalidArgument,
            "the plan is wrong at line " + std::to_string(failure.mark.line + 1) + ", column " + std::to_string(failure.mark.column + 1) + ": " + failure.msg);
    }
}

result<void> checkPlan(const plan& checked)
{
    if (checked.targets.empty() || checked.workspaces.empty())
        return makeError(error_kind::invalidArgument, "the plan needs a target and a workspace");
    for (const workspace_load& workspace : checked.workspaces) {
        const bool isOpen = workspace.rate > 0 && std::isfinite(workspace.rate);
        if (isOpen == (workspace.concurrency > 0))
            return makeError(error_kind::invalidArgument, "workspace " + workspace.name + " needs either a rate or a concurrency");
        if (!workspace.path.starts_with('/'))
            return makeError(error_kind::invalidArgument, "workspace " + workspace.name + " needs a path that begins with /");
        if (workspace.minTokens > workspace.maxTokens)
            return makeError(error_kind::invalidArgument, "workspace " + workspace.name + " needs minTokens of at most maxTokens");
    }
    return {};
}

}
