#include "pimentoladder/Config/Rows.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace pimentoladder;

namespace {

document sampleDocument()
{
    document sample;
    sample.at = revision(9);
    sample.workspaces[workspace_id("w")].id = workspace_id("w");
    sample.pools[pool_id("p")].id = pool_id("p");
    sample.servers[server_id("s")].id = server_id("s");
    sample.dataCentres[data_centre_id("d")].id = data_centre_id("d");
    sample.accessRules[rule_id("r")].id = rule_id("r");
    sample.serviceRules[rule_id("r")].id = rule_id("r");
    sample.members[vm_id("v")].vm = vm_id("v");
    sample.roster.witnesses.push_back({ vm_id("v"), incarnation(3) });
    return sample;
}

}

// Guards against rows lost when a document is sent as a full snapshot.
TEST_CASE("a document is rebuilt from its rows")
{
    const document sample = sampleDocument();
    const auto rows = allRows(sample);
    CHECK(rows.size() == 8);
    CHECK(std::is_sorted(rows.begin(), rows.end(), [](const auto& a, const auto& b) { return a.key < b.key; }));

    document copy;
    copy.at = sample.at;
    for (const auto& row : rows) {
        CHECK(row.changedAt == sample.at);
        CHECK(isDocumentKey(row.key));
        REQUIRE(applyRow(copy, row));
    }
    CHECK(copy == sample);

    for (const auto& row : rows)
        REQUIRE(applyRow(copy, { row.key, std::nullopt, revision(10) }));
    document empty;
    empty.at = sample.at;
    CHECK(copy == empty);
}

// Guards against table rows that do not belong to the document being applied to
// it.
TEST_CASE("keys outside the document are rejected")
{
    document target;
    for (const char* key : { "", "change/1", "claim/w/1", "config/", "config/workspace/", "config/unknown/a", "member/",
             "roster/", "rosters", "member" }) {
        CHECK_FALSE(isDocumentKey(key));
        CHECK_FALSE(applyRow(target, { key, std::nullopt, revision(1) }));
    }
    workspace other;
    other.id = workspace_id("b");
    CHECK_FALSE(applyRow(target, { "config/workspace/a", other, revision(1) }));
    CHECK_FALSE(applyRow(target, { "config/pool/b", other, revision(1) }));
    CHECK(target == document());
}

// Guards against a precondition on a revision that passes although the row
// changed, or fails because another row did.
TEST_CASE("each row keeps the revision that wrote it")
{
    document target;
    target.at = revision(7);
    workspace sampleWorkspace;
    sampleWorkspace.id = workspace_id("a");
    REQUIRE(applyRow(target, { "config/workspace/a", sampleWorkspace, revision(3) }));
    CHECK(rowRevision(target, "config/workspace/a") == revision(3));
    CHECK(rowRevision(target, "config/workspace/b") == revision(7));
    CHECK(allRows(target).front().changedAt == revision(3));
    CHECK(findRow(target, "config/workspace/a") == document_value(sampleWorkspace));
    REQUIRE(applyRow(target, { "config/workspace/a", std::nullopt, revision(8) }));
    CHECK_FALSE(findRow(target, "config/workspace/a"));
    CHECK_FALSE(findRow(target, "roster"));
}
