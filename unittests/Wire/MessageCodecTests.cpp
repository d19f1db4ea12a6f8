#include "pimentoladder/Wire/MessageCodec.h"

#include <limits>
#include <random>

#include <doctest/doctest.h>

#include "pimentoladder/Wire/Frame.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

// One typical message of each kind.
std::vector<message> samples()
{
    const shard_id shard("summaries#0");
    const fencing_token token(81234);
    const member_ref peer { vm_id("router-0007"), incarnation(1764834859000000000) };
    const member row { peer.vm, peer.start, data_centre_id("bratislava"), { "127.0.0.1", 7400 } };
    heartbeat beat;
    beat.sequence = 0x3fedcba987654321;
    beat.sentAt = time_point(123456789123456789ns);
    beat.echoSequence = 0x2edcba9876543210;
    beat.applied = revision(81234);
    beat.basisAge = 412ms;
    beat.suspensionAge = 430ms;
    return { beat, revision_announce { revision(81235) }, config_request { revision(81234) },
        config_update { revision(81234), revision(81235),
            { { "member/router-0007", row, revision(81235) }, { "member/router-0008", std::nullopt, revision(81235) } } },
        suspend { { peer }, { peer }, revision(81234) },
        acquire { shard, token, { { request_number(42), workspace_id("uv-alerts"), 120, {}, 0x1122334455667788, model_id("bulletin") } },
            { request_number(41) }, 2 },
        grant { shard, token,
            { { grant_number(977), server_id("engine-3"), request_number(42), time_point(123456790123456789ns) } } },
        grant_report { shard, token, 19,
            { { grant_number(977), token, grant_event::finished, workspace_id("uv-alerts"), 133, 41ms } } },
        recall { shard, token },
        in_flight_report { shard, token, 20,
            { { grant_number(977), fencing_token(81000), server_id("engine-3"), workspace_id("uv-alerts"), 120, 40 } } },
        shard_release { shard, token }, service_counters { { { peer, workspace_id("uv-alerts"), 1e6, 2e4 } }, { { shard, workspace_id("uv-alerts"), 10 } } },
        crash_report { server_id("engine-3"), incarnation(3), { fingerprint(0x99aabbccddeeff00) } }, shard_owner { shard, token },
        follow_rows { 7, { { 1, { store_era(2), revision(81234) } }, { 2, { {}, revision(3) }, false } } },
        rows_update { 7, 20ms, { { 1, { store_era(3), revision(1) }, { store_era(3), revision(2) }, false, { { "i-1", "{}", { store_era(3), revision(2) }, false } } } }, 30ms, store_era(3), {} },
        usage_report { { { workspace_id("uv-alerts"), 10, 5 } }, { { server_id("i-1"), 20ms, 3, 1, 500 } } },
        usage_totals { 8, { { workspace_id("uv-alerts"), 10, 5 } }, { { server_id("i-1"), 20ms, 3, 1, 500 } } },
        server_losses { { { server_id("i-1"), incarnation(3), 20ms, true,
            { { { trait_kind::promptPart, 0x99aabbccddeeff00 }, 1, true, { peer.vm }, { fingerprint(7) } } } } } },
        server_rate_limits { { { server_id("i-1"), true, 2.5, 20ms } }, { { server_id("i-2"), incarnation(3), true, 5s } } },
        stream_origins { { { pool_id("llm"), "1.2", { fingerprint(7), fingerprint(8) } } }, { { pool_id("llm"), "1.2", 20ms } }, 30s },
        rollout_report { { { pool_id("llm"), revision(12), 100, 3, { { "bulletin", true, 9, 8, 2, 1, 5, 4 } } } } },
        rollout_permits { { { pool_id("llm"), revision(12), fencing_token(3), 4, rollout_state::inProgress, 0.25, 20ms } } } };
}

std::optional<message> decodeKnown(std::string_view payload)
{
    const auto decoded = decodeMessage(payload);
    if (!decoded || !std::holds_alternative<message>(*decoded))
        return std::nullopt;
    return std::get<message>(*decoded);
}

}

// Guards against fields that are lost or swapped on the wire, and against
// frames that grow beyond the budget for control traffic.
TEST_CASE("every kind round-trips and stays within its size budget")
{
    const std::vector<message> sent = samples();
    REQUIRE(sent.size() == messageKindCount);
    for (std::size_t kind = 0; kind < sent.size(); ++kind) {
        CHECK(sent[kind].index() == kind);
        const std::string payload = encodeMessage(sent[kind]);
        const auto received = decodeKnown(payload);
        REQUIRE(received);
        CHECK(received->index() == kind);
        // The encoding is deterministic.
        CHECK(encodeMessage(*received) == payload);
        MESSAGE(messageKindName(kind) << ": " << payload.size() + frameHeaderSize << " bytes");
        CHECK(payload.size() + frameHeaderSize < (kind == 3 ? 400 : 200));
    }
    CHECK(encodeMessage(sent[0]).size() + frameHeaderSize < 90);
}

// Guards against matching errors in the encoder and decoder, which the round trip
// above would not detect.
TEST_CASE("decoded fields have the values that were sent")
{
    const std::vector<message> sent = samples();
    const auto beat = std::get<heartbeat>(*decodeKnown(encodeMessage(sent[0])));
    CHECK(beat.sequence == 0x3fedcba987654321);
    CHECK(beat.echoSequence == 0x2edcba9876543210);
    CHECK(beat.sentAt == time_point(123456789123456789ns));
    CHECK(beat.basisAge == 412ms);
    CHECK(std::get<config_update>(*decodeKnown(encodeMessage(sent[3]))).rows == std::get<config_update>(sent[3]).rows);
    const auto acquired = std::get<acquire>(*decodeKnown(encodeMessage(sent[5])));
    CHECK(acquired.waiting.at(0).prefixHash == 0x1122334455667788);
    CHECK(acquired.waiting.at(0).model == model_id("bulletin"));
    CHECK(acquired.withdrawn == std::vector { request_number(41) });
    CHECK(acquired.advanceWanted == 2);
    const auto reported = std::get<grant_report>(*decodeKnown(encodeMessage(sent[7])));
    CHECK(reported.entries.at(0).event == grant_event::finished);
    CHECK(reported.entries.at(0).firstByteLatency == 41ms);
}

// Guards against a lateness that loses its sign or its pool on the wire.
TEST_CASE("the lateness of first events keeps its fields")
{
    usage_report report;
    report.lateness = { { pool_id("llm"), -20ms }, { pool_id("other"), 1500ms } };
    usage_totals totals;
    totals.lateness = report.lateness;
    for (const auto& received : { std::get<usage_report>(*decodeKnown(encodeMessage(report))).lateness, std::get<usage_totals>(*decodeKnown(encodeMessage(totals))).lateness }) {
        REQUIRE(received.size() == 2);
        CHECK(received[0].pool == pool_id("llm"));
        CHECK(received[0].late == -20ms);
        CHECK(received[1].late == 1500ms);
    }
    report.lateness.at(0).pool = {};
    CHECK_FALSE(decodeKnown(encodeMessage(report)));
}

// Guards against speeds that are lost or swapped on the wire, or that are no numbers.
TEST_CASE("samples of servers' speeds and what was learnt from them keep their fields")
{
    const usage_report report { {}, {}, { { server_id("i-1"), incarnation(3), pool_id("llm"), 1500, 7, 2, 160ms } } };
    const auto samples = std::get<usage_report>(*decodeKnown(encodeMessage(report))).samples;
    REQUIRE(samples.size() == 1);
    CHECK(samples[0].server == server_id("i-1"));
    CHECK(samples[0].start == incarnation(3));
    CHECK(samples[0].pool == pool_id("llm"));
    CHECK(samples[0].tokens == 1500);
    CHECK(samples[0].running == 7);
    CHECK(samples[0].plainInProgress == 2);
    CHECK(samples[0].taken == 160ms);
    usage_totals totals { 8, {}, { { server_id("i-1"), 20ms, 3, 1, 500, {}, learnt_slowness { incarnation(3), 1.5 } }, { server_id("i-2"), 20ms } }, { { pool_id("llm"), { 20.5, 17, 0, 0.3, 15 } } } };
    const auto received = std::get<usage_totals>(*decodeKnown(encodeMessage(totals)));
    REQUIRE(received.observed.at(0).learnt);
    CHECK(received.observed.at(0).learnt->slowness == 1.5);
    CHECK(received.observed.at(0).learnt->start == incarnation(3));
    CHECK_FALSE(received.observed.at(1).learnt);
    CHECK(received.speeds.at(0).pool == pool_id("llm"));
    CHECK(received.speeds.at(0).milliseconds == totals.speeds.at(0).milliseconds);
    totals.speeds.at(0).milliseconds.at(1) = std::numeric_limits<double>::quiet_NaN();
    CHECK_FALSE(decodeKnown(encodeMessage(totals)));
}

// Guards against positions that lose their era on the wire, and against a peer of a version
// without eras whose position is taken for one of the first era.
TEST_CASE("positions of rows and tables keep their era")
{
    const published_row kept { "i-2", "{}", { store_era(2), revision(9) }, true };
    rows_update update { 7, 20ms, { { 1, { store_era(3), revision(1) }, { store_era(3), revision(2) }, false, { { "i-1", "{}", { store_era(3), revision(2) }, false } } } }, 30ms, store_era(3), {} };
    update.retained.push_back({ 1, { store_era(3), revision(2) }, 4s, { kept } });
    update.servedAge = 5s;
    const auto received = std::get<rows_update>(*decodeKnown(encodeMessage(update)));
    CHECK(received.era == store_era(3));
    CHECK(received.servedAge == 5s);
    CHECK(received.tables.at(0).to == store_position { store_era(3), revision(2) });
    CHECK(received.tables.at(0).rows == update.tables[0].rows);
    CHECK(received.retained.at(0).position == store_position { store_era(3), revision(2) });
    CHECK(received.retained.at(0).remaining == 4s);
    CHECK(received.retained.at(0).rows == std::vector { kept });
    const follow_rows asked { 7, { { 1, { store_era(2), revision(3) } }, { 2, { {}, revision(4) }, false } } };
    const auto positions = std::get<follow_rows>(*decodeKnown(encodeMessage(asked))).have;
    CHECK(positions.at(0).position == store_position { store_era(2), revision(3) });
    CHECK(positions.at(0).hasEra);
    CHECK_FALSE(positions.at(1).hasEra);
}

// Guards against an age that is understated on the wire.
TEST_CASE("ages are rounded up")
{
    heartbeat beat;
    beat.sequence = 1;
    beat.basisAge = 1001ns;
    const auto received = std::get<heartbeat>(*decodeKnown(encodeMessage(beat)));
    CHECK(received.basisAge == 2us);
    CHECK_FALSE(received.suspensionAge);
}

// Guards against closing the link because of a message kind of a newer version.
TEST_CASE("unknown kinds are distinguished from malformed messages")
{
    const auto decoded = decodeMessage("\x7fwhatever");
    REQUIRE(decoded);
    CHECK(std::get<unknown_message_kind>(*decoded).kind == 0x7f);
    CHECK(decodeMessage("").error().kind == error_kind::corruptData);
    CHECK(decodeMessage("\x01").error().kind == error_kind::corruptData);
}

// Guards against accepting messages without the fields that handlers require.
TEST_CASE("missing and out-of-range fields are reported by name")
{
    const auto faultOf = [](const message& faulty) { return decodeMessage(encodeMessage(faulty)).error().message; };
    CHECK(faultOf(heartbeat {}) == "heartbeat: field \"sequence\" is missing");
    CHECK(faultOf(recall {}) == "recall: field \"shard\" is missing");
    CHECK(faultOf(suspend { { {} }, {}, {} }) == "suspend: field \"vm\" is missing");
    service_counters faulty { { { { vm_id("a"), incarnation(1) }, workspace_id("w"), -1, 0 } }, {} };
    CHECK(faultOf(faulty) == "service_counters: field \"charged\" must be a finite number of at least 0");
    CHECK(faultOf(config_update { revision(2), revision(1), {} }) == "config_update: field \"to\" must not be below \"from\"");
}

// Guards against out-of-bounds reads, which the sanitizers report.
TEST_CASE("random and mutated payloads are decoded or refused")
{
    std::mt19937_64 random(404);
    const std::vector<message> sent = samples();
    std::size_t refused = 0;
    for (int round = 0; round < 20000; ++round) {
        std::string payload = encodeMessage(sent[random() % sent.size()]);
        if (round % 4 == 0)
            payload.resize(random() % payload.size());
        if (round % 5 == 0 && payload.size() > 1) {
            for (std::size_t at = 1; at < payload.size(); ++at)
                payload[at] = static_cast<char>(random());
        }
        for (std::uint64_t change = 0; !payload.empty() && change < random() % 4; ++change)
            payload[random() % payload.size()] = static_cast<char>(random());
        refused += decodeMessage(payload) ? 0 : 1;
    }
    CHECK(refused > 5000);
}
