#include "pimentoladder/Config/Changes.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include "pimentoladder/Config/Access.h"

namespace pimentoladder {

namespace {

    // Further validation errors are only counted, to keep the message readable.
    constexpr std::size_t maxListedErrors = 5;
    constexpr std::string_view configPrefix = "config/";

    std::string revisionText(revision at) { return std::to_string(at.value()); }

    result<void> checkPresence(const proposed_change& change, bool exists)
    {
        if (change.action == change_action::create && exists)
            return makeError(error_kind::alreadyExists, '"' + change.key + "\" exists; replace it or use another id");
        if (change.action != change_action::create && !exists)
            return makeError(error_kind::notFound, '"' + change.key + "\" does not exist; create it or check the id");
        return {};
    }

    result<void> checkExpected(const document& current, const proposed_change& change)
    {
        const revision written = rowRevision(current, change.key);
        if (!change.expected || *change.expected == written)
            return {};
        return makeError(error_kind::conflict,
            '"' + change.key + "\" was changed at revision " + revisionText(written) + ", after revision "
                + revisionText(*change.expected) + " that the change is based on; read it again and repeat the change");
    }

    // Errors that the document already had are ignored, so that an invalid
    // document can be repaired step by step.
    result<void> checkNewErrors(const document& before, const document& after, const document_limits& limits)
    {
        const auto errors = validateDocument(after, limits);
        if (errors.empty())
            return {};
        std::set<std::pair<std::string, std::string>> known;
        for (const auto& entry : validateDocument(before, limits))
            known.emplace(entry.key, entry.problem.message);

        error combined;
        std::size_t count = 0;
        for (const auto& entry : errors) {
            if (known.contains({ entry.key, entry.problem.message }) || ++count > maxListedErrors)
                continue;
            if (count == 1)
                combined.kind = entry.problem.kind;
            else
                combined.message += "; ";
            if (!entry.key.empty())
                combined.message += '"' + entry.key + "\": ";
            combined.message += entry.problem.message;
        }
        if (count == 0)
            return {};
        if (count > maxListedErrors)
            combined.message += "; and " + std::to_string(count - maxListedErrors) + " more";
        return tl::unexpected(std::move(combined));
    }

    std::vector<object_change> compareObjects(const document& before, const document& after)
    {
        const auto oldRows = allRows(before);
        const auto newRows = allRows(after);
        std::vector<object_change> changes;
        auto oldRow = oldRows.begin();
        auto newRow = newRows.begin();
        while (oldRow != oldRows.end() || newRow != newRows.end()) {
            if (newRow == newRows.end() || (oldRow != oldRows.end() && oldRow->key < newRow->key)) {
                changes.push_back({ change_action::remove, (oldRow++)->key });
            } else if (oldRow == oldRows.end() || newRow->key < oldRow->key) {
                changes.push_back({ change_action::create, (newRow++)->key });
            } else {
                if (oldRow->value != newRow->value)
                    changes.push_back({ change_action::replace, newRow->key });
                ++oldRow;
                ++newRow;
            }
        }
        return changes;
    }

    template <typename Map>
    auto idsOfBoth(const Map& before, const Map& after)
    {
        std::set<typename Map::key_type> ids;
        for (const auto& [id, object] : before)
            ids.insert(id);
        for (const auto& [id, object] : after)
            ids.insert(id);
        return ids;
    }

    void compareService(const access_index& before, const access_index& after, change_preview& preview)
    {
        for (const auto& id : idsOfBoth(before.source().dataCentres, after.source().dataCentres)) {
            if (before.isInService(id) != after.isInService(id))
                preview.service.push_back({ id, after.isInService(id) });
        }
    }

    void compareReach(const access_index& before, const access_index& after, change_preview& preview)
    {
        const auto servers = idsOfBoth(before.source().servers, after.source().servers);
        for (const auto& workspace : idsOfBoth(before.source().workspaces, after.source().workspaces)) {
            for (const auto& server : servers) {
                const bool isReachable = after.mayReach(workspace, server);
                if (before.mayReach(workspace, server) == isReachable)
                    continue;
                ++(isReachable ? preview.reachGained : preview.reachLost);
                if (preview.reach.size() < maxListedReach)
                    preview.reach.push_back({ workspace, server, isReachable });
            }
        }
    }

    // Whether everything that determines reachability is equal in both documents;
    // if so, the costly comparison of all workspaces and servers is skipped.
    bool hasSameReach(const document& before, const document& after)
    {
        const auto isSameLabelled = [](const auto& a, const auto& b) { return a.first == b.first && a.second.labels == b.second.labels; };
        return before.accessRules == after.accessRules
            && std::equal(before.workspaces.begin(), before.workspaces.end(), after.workspaces.begin(), after.workspaces.end(), isSameLabelled)
            && std::equal(before.servers.begin(), before.servers.end(), after.servers.begin(), after.servers.end(), isSameLabelled);
    }

    // access_index takes shared ownership, but here the caller owns the document
    // and outlives the index.
    std::shared_ptr<const document> nonOwningPointer(const document& source)
    {
        return { std::shared_ptr<const document>(), &source };
    }

}

std::string_view changeActionName(change_action action)
{
    switch (action) {
    case change_action::create:
        return "create";
    case change_action::replace:
        return "replace";
    case change_action::remove:
        return "remove";
    }
    return "unknown";
}

result<change_plan> planChange(const document& current, const proposed_change& change, const document_limits& limits)
{
    if (!isDocumentKey(change.key) || !change.key.starts_with(configPrefix))
        return makeError(error_kind::invalidArgument,
            '"' + change.key + "\" is not an object that operators change; check the kind and the id");
    if (change.value.has_value() == (change.action == change_action::remove))
        return makeError(error_kind::invalidArgument, "give an object to create or replace, and none to remove");

    change_plan plan { change.action, current.at, { change.key, change.value, {} }, findRow(current, change.key), {} };
    if (auto present = checkPresence(change, plan.before.has_value()); !present)
        return tl::unexpected(present.error());
    if (auto expected = checkExpected(current, change); !expected)
        return tl::unexpected(expected.error());

    plan.after = current;
    if (auto applied = applyRow(plan.after, plan.row); !applied)
        return tl::unexpected(applied.error());
    if (auto checked = checkNewErrors(current, plan.after, limits); !checked)
        return tl::unexpected(checked.error());
    return plan;
}

change_preview previewChange(const document& before, const document& after)
{
    change_preview preview;
    preview.objects = compareObjects(before, after);
    const access_index oldIndex(nonOwningPointer(before));
    const access_index newIndex(nonOwningPointer(after));
    compareService(oldIndex, newIndex, preview);
    if (!hasSameReach(before, after))
        compareReach(oldIndex, newIndex, preview);
    return preview;
}

}
