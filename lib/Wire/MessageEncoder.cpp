#include <algorithm>
#include <limits>

#include <Messages_generated.h>

#include "MessageTables.h"
#include "pimentoladder/Codec/RowJson.h"

namespace pimentoladder {

namespace {

    using flatbuffers::FlatBufferBuilder;
    using flatbuffers::Offset;
    using flatbuffers::Vector;

    // Rounds up, because an age must not be understated.
    std::uint32_t roundedUpMicroseconds(duration value)
    {
        const auto count = std::chrono::ceil<std::chrono::microseconds>(value).count();
        constexpr std::int64_t greatest = std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, greatest));
    }

    // Rounds down, because a time held must not be overstated.
    std::uint32_t roundedDownMicroseconds(duration value)
    {
        const auto count = std::chrono::floor<std::chrono::microseconds>(value).count();
        constexpr std::int64_t greatest = std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, greatest));
    }

    flatbuffers::Optional<std::uint32_t> optionalMicroseconds(const std::optional<duration>& value)
    {
        return value ? flatbuffers::Optional<std::uint32_t>(roundedUpMicroseconds(*value)) : flatbuffers::nullopt;
    }

    // Names often repeat within a message, so equal strings are stored once.
    template <typename Name>
    Offset<flatbuffers::String> writeName(FlatBufferBuilder& builder, const Name& name)
    {
        if (name.isEmpty())
            return 0;
        return builder.CreateSharedString(name.value());
    }

    template <typename Number>
    Offset<Vector<std::uint64_t>> writeNumbers(FlatBufferBuilder& builder, const std::vector<Number>& numbers)
    {
        if (numbers.empty())
            return 0;
        std::vector<std::uint64_t> values;
        values.reserve(numbers.size());
        for (const Number& number : numbers)
            values.push_back(number.value());
        return builder.CreateVector(values);
    }

    Offset<wire::Member> write(FlatBufferBuilder& builder, const member_ref& source)
    {
        return wire::CreateMember(builder, writeName(builder, source.vm), source.start.value());
    }

    Offset<wire::Row> write(FlatBufferBuilder& builder, const row_change& source)
    {
        const auto key = builder.CreateString(source.key);
        const Offset<flatbuffers::String> value = source.value ? builder.CreateString(formatRowJson(*source.value)) : 0;
        return wire::CreateRow(builder, key, value, source.changedAt.value());
    }

    Offset<wire::Demand> write(FlatBufferBuilder& builder, const demand_entry& source)
    {
        const auto workspace = writeName(builder, source.workspace);
        const Offset<flatbuffers::String> model = source.model.isEmpty() ? 0 : writeName(builder, source.model);
        return wire::CreateDemand(builder, source.request.value(), workspace, source.costHint, source.requestFingerprint.value(),
            source.prefixHash, model);
    }

    Offset<wire::GrantEntry> write(FlatBufferBuilder& builder, const grant_entry& source)
    {
        return wire::CreateGrantEntry(builder, source.number.value(), writeName(builder, source.server),
            source.request.value(), source.expiresAt.time_since_epoch().count());
    }

    Offset<wire::ReportEntry> write(FlatBufferBuilder& builder, const grant_report_entry& source)
    {
        return wire::CreateReportEntry(builder, source.number.value(), source.issuedUnder.value(), static_cast<std::uint8_t>(source.event),
            writeName(builder, source.workspace), source.cost, roundedUpMicroseconds(source.firstByteLatency));
    }

    Offset<wire::InFlight> write(FlatBufferBuilder& builder, const in_flight_entry& source)
    {
        return wire::CreateInFlight(builder, source.number.value(), source.issuedUnder.value(),
            writeName(builder, source.server), writeName(builder, source.workspace), source.costHint, source.cost);
    }

    Offset<wire::Counter> write(FlatBufferBuilder& builder, const service_counter& source)
    {
        return wire::CreateCounter(builder, writeName(builder, source.owner.vm), source.owner.start.value(),
            writeName(builder, source.workspace), source.charged, source.credited);
    }

    Offset<wire::Lift> write(FlatBufferBuilder& builder, const service_lift& source)
    {
        return wire::CreateLift(builder, writeName(builder, source.shard), writeName(builder, source.workspace), source.lift);
    }

    Offset<wire::TablePosition> write(FlatBufferBuilder& builder, const table_position& source)
    {
        return wire::CreateTablePosition(builder, source.table, source.position.at.value(), source.hasEra ? flatbuffers::Optional<std::uint64_t>(source.position.era.value()) : flatbuffers::nullopt);
    }

    Offset<wire::PublishedRow> write(FlatBufferBuilder& builder, const published_row& source)
    {
        const auto key = builder.CreateString(source.key);
        const auto value = builder.CreateString(source.value);
        return wire::CreatePublishedRow(builder, key, value, source.position.at.value(), source.isDeleted, source.position.era.value());
    }

    Offset<wire::StreamGroup> write(FlatBufferBuilder& builder, const stream_group& source)
    {
        const auto pool = writeName(builder, source.pool);
        const auto version = builder.CreateSharedString(source.version);
        return wire::CreateStreamGroup(builder, pool, version, writeNumbers(builder, source.streams));
    }

    Offset<wire::VersionUse> write(FlatBufferBuilder& builder, const version_use& source)
    {
        const auto pool = writeName(builder, source.pool);
        const auto version = builder.CreateSharedString(source.version);
        return wire::CreateVersionUse(builder, pool, version, optionalMicroseconds(source.age).value_or(0));
    }

    Offset<wire::Usage> write(FlatBufferBuilder& builder, const usage_entry& source)
    {
        return wire::CreateUsage(builder, writeName(builder, source.workspace), source.asked, source.admitted);
    }

    Offset<wire::Observation> write(FlatBufferBuilder& builder, const server_observation& source)
    {
        return wire::CreateObservation(builder, writeName(builder, source.server), roundedUpMicroseconds(source.delay), source.running, source.waiting,
            source.pendingTokens, optionalMicroseconds(source.loadAge), source.learnt ? flatbuffers::Optional<float>(static_cast<float>(source.learnt->slowness)) : flatbuffers::nullopt,
            source.learnt ? source.learnt->start.value() : 0);
    }

    Offset<wire::PoolLateness> write(FlatBufferBuilder& builder, const pool_lateness& source)
    {
        const auto count = std::chrono::floor<std::chrono::microseconds>(source.late).count();
        using limits = std::numeric_limits<std::int32_t>;
        return wire::CreatePoolLateness(builder, writeName(builder, source.pool), static_cast<std::int32_t>(std::clamp<std::int64_t>(count, limits::min(), limits::max())));
    }

    Offset<wire::SpeedSample> write(FlatBufferBuilder& builder, const speed_sample& source)
    {
        const auto pool = writeName(builder, source.pool);
        return wire::CreateSpeedSample(builder, writeName(builder, source.server), source.start.value(), pool, static_cast<float>(source.tokens),
            static_cast<float>(source.running), static_cast<float>(source.plainInProgress), roundedUpMicroseconds(source.taken));
    }

    Offset<wire::PoolSpeed> write(FlatBufferBuilder& builder, const pool_speed_entry& source)
    {
        const auto pool = writeName(builder, source.pool);
        return wire::CreatePoolSpeed(builder, pool, builder.CreateVector(source.milliseconds));
    }

    Offset<wire::Suspect> write(FlatBufferBuilder& builder, const crash_suspect& source)
    {
        std::vector<Offset<flatbuffers::String>> reporters;
        reporters.reserve(source.reporters.size());
        for (const vm_id& each : source.reporters)
            reporters.push_back(builder.CreateSharedString(each.value()));
        const auto reporterVector = builder.CreateVector(reporters);
        const auto requests = writeNumbers(builder, source.requests);
        return wire::CreateSuspect(builder, static_cast<std::uint8_t>(source.trait.kind), source.trait.id, source.depth, source.isCleared, reporterVector, requests);
    }

    Offset<wire::ServerRateLimit> write(FlatBufferBuilder& builder, const server_rate_limit& source)
    {
        return wire::CreateServerRateLimit(builder, writeName(builder, source.server), source.isLimited, source.perSecond, roundedUpMicroseconds(source.age));
    }

    // The era of a row in a table's update is that of the update.
    published_row withoutEra(published_row row)
    {
        row.position.era = store_era();
        return row;
    }

    Offset<wire::ServerHold> write(FlatBufferBuilder& builder, const server_hold& source)
    {
        return wire::CreateServerHold(builder, writeName(builder, source.server), source.start.value(), source.isLeaving, roundedUpMicroseconds(source.left));
    }

    Offset<wire::RolloutTally> write(FlatBufferBuilder& builder, const rollout_tally& source)
    {
        const auto route = builder.CreateSharedString(source.route);
        return wire::CreateRolloutTally(builder, route, source.isTarget, source.sent, source.answers, source.failures, source.slow, source.servers, source.faultyServers);
    }

    Offset<wire::RolloutPermit> write(FlatBufferBuilder& builder, const rollout_permit& source)
    {
        return wire::CreateRolloutPermit(builder, writeName(builder, source.pool), source.order.value(), source.token.value(), source.sequence,
            static_cast<std::uint8_t>(source.state), source.share, roundedUpMicroseconds(source.age));
    }

    // Defined below, because they contain a list and so need `writeList`.
    Offset<wire::RetainedRows> write(FlatBufferBuilder& builder, const retained_rows& source);
    Offset<wire::TableUpdate> write(FlatBufferBuilder& builder, const table_update& source);
    Offset<wire::ServerLoss> write(FlatBufferBuilder& builder, const server_loss& source);
    Offset<wire::RolloutEvidence> write(FlatBufferBuilder& builder, const rollout_evidence& source);

    template <typename Entry>
    auto writeList(FlatBufferBuilder& builder, const std::vector<Entry>& entries)
    {
        using table = decltype(write(builder, std::declval<const Entry&>()));
        if (entries.empty())
            return Offset<Vector<table>>(0);
        std::vector<table> tables;
        tables.reserve(entries.size());
        for (const Entry& entry : entries)
            tables.push_back(write(builder, entry));
        return builder.CreateVector(tables);
    }

    Offset<wire::Heartbeat> write(FlatBufferBuilder& builder, const heartbeat& source)
    {
        return wire::CreateHeartbeat(builder, source.sequence, source.sentAt.time_since_epoch().count(),
            source.echoSequence, source.applied.value(), source.suspendedDigest, optionalMicroseconds(source.basisAge),
            optionalMicroseconds(source.suspensionAge), roundedDownMicroseconds(source.echoHeld));
    }

    Offset<wire::RevisionAnnounce> write(FlatBufferBuilder& builder, const revision_announce& source)
    {
        return wire::CreateRevisionAnnounce(builder, source.at.value());
    }

    Offset<wire::ConfigRequest> write(FlatBufferBuilder& builder, const config_request& source)
    {
        return wire::CreateConfigRequest(builder, source.have.value());
    }

    Offset<wire::ConfigUpdate> write(FlatBufferBuilder& builder, const config_update& source)
    {
        return wire::CreateConfigUpdate(
            builder, source.from.value(), source.to.value(), writeList(builder, source.rows));
    }

    Offset<wire::Suspend> write(FlatBufferBuilder& builder, const suspend& source)
    {
        const auto proposed = writeList(builder, source.proposed);
        const auto suspended = writeList(builder, source.suspended);
        return wire::CreateSuspend(builder, proposed, suspended, source.listedBy.value());
    }

    Offset<wire::Acquire> write(FlatBufferBuilder& builder, const acquire& source)
    {
        const auto shard = writeName(builder, source.shard);
        const auto waiting = writeList(builder, source.waiting);
        const auto withdrawn = writeNumbers(builder, source.withdrawn);
        return wire::CreateAcquire(builder, shard, source.token.value(), waiting, withdrawn, source.advanceWanted);
    }

    Offset<wire::Grant> write(FlatBufferBuilder& builder, const grant& source)
    {
        const auto shard = writeName(builder, source.shard);
        return wire::CreateGrant(builder, shard, source.token.value(), writeList(builder, source.entries));
    }

    Offset<wire::GrantReport> write(FlatBufferBuilder& builder, const grant_report& source)
    {
        const auto shard = writeName(builder, source.shard);
        return wire::CreateGrantReport(builder, shard, source.token.value(), source.sequence, writeList(builder, source.entries));
    }

    Offset<wire::Recall> write(FlatBufferBuilder& builder, const recall& source)
    {
        return wire::CreateRecall(builder, writeName(builder, source.shard), source.token.value());
    }

    Offset<wire::InFlightReport> write(FlatBufferBuilder& builder, const in_flight_report& source)
    {
        const auto shard = writeName(builder, source.shard);
        return wire::CreateInFlightReport(builder, shard, source.token.value(), source.sequence, writeList(builder, source.entries));
    }

    Offset<wire::ShardRelease> write(FlatBufferBuilder& builder, const shard_release& source)
    {
        return wire::CreateShardRelease(builder, writeName(builder, source.shard), source.token.value());
    }

    Offset<wire::ServiceCounters> write(FlatBufferBuilder& builder, const service_counters& source)
    {
        const auto entries = writeList(builder, source.entries);
        return wire::CreateServiceCounters(builder, entries, writeList(builder, source.lifts));
    }

    Offset<wire::ShardOwner> write(FlatBufferBuilder& builder, const shard_owner& source)
    {
        return wire::CreateShardOwner(builder, writeName(builder, source.shard), source.token.value());
    }

    Offset<wire::TableUpdate> write(FlatBufferBuilder& builder, const table_update& source)
    {
        std::vector<published_row> plain;
        std::transform(source.rows.begin(), source.rows.end(), std::back_inserter(plain), withoutEra);
        const auto rows = writeList(builder, plain);
        return wire::CreateTableUpdate(builder, source.table, source.from.at.value(), source.to.at.value(), source.isWhole, rows, source.to.era.value());
    }

    Offset<wire::RetainedRows> write(FlatBufferBuilder& builder, const retained_rows& source)
    {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(source.remaining).count();
        return wire::CreateRetainedRows(builder, source.table, source.position.at.value(), source.position.era.value(),
            static_cast<std::uint32_t>(remaining), writeList(builder, source.rows));
    }

    Offset<wire::FollowRows> write(FlatBufferBuilder& builder, const follow_rows& source)
    {
        return wire::CreateFollowRows(builder, source.sequence, writeList(builder, source.have));
    }

    Offset<wire::RowsUpdate> write(FlatBufferBuilder& builder, const rows_update& source)
    {
        const auto tables = writeList(builder, source.tables);
        const auto retained = source.retained.empty() ? 0 : writeList(builder, source.retained);
        return wire::CreateRowsUpdate(builder, source.echoSequence, optionalMicroseconds(source.basisAge), tables,
            optionalMicroseconds(source.returnedAge), source.era.value(), retained,
            source.servedAge ? flatbuffers::Optional<std::uint32_t>(roundedDownMicroseconds(*source.servedAge)) : flatbuffers::nullopt);
    }

    Offset<wire::StreamOrigins> write(FlatBufferBuilder& builder, const stream_origins& source)
    {
        const auto groups = writeList(builder, source.groups);
        const auto uses = writeList(builder, source.uses);
        return wire::CreateStreamOrigins(builder, groups, uses, optionalMicroseconds(source.knownFor));
    }

    Offset<wire::RolloutEvidence> write(FlatBufferBuilder& builder, const rollout_evidence& source)
    {
        const auto pool = writeName(builder, source.pool);
        const auto tallies = writeList(builder, source.tallies);
        return wire::CreateRolloutEvidence(builder, pool, source.order.value(), source.requests, source.inProgress, tallies);
    }

    Offset<wire::RolloutReport> write(FlatBufferBuilder& builder, const rollout_report& source)
    {
        return wire::CreateRolloutReport(builder, writeList(builder, source.rollouts));
    }

    Offset<wire::RolloutPermits> write(FlatBufferBuilder& builder, const rollout_permits& source)
    {
        return wire::CreateRolloutPermits(builder, writeList(builder, source.entries));
    }

    Offset<wire::UsageReport> write(FlatBufferBuilder& builder, const usage_report& source)
    {
        const auto entries = writeList(builder, source.entries);
        const auto observed = writeList(builder, source.observed);
        const auto samples = writeList(builder, source.samples);
        return wire::CreateUsageReport(builder, entries, observed, samples, writeList(builder, source.lateness));
    }

    Offset<wire::UsageTotals> write(FlatBufferBuilder& builder, const usage_totals& source)
    {
        const auto entries = writeList(builder, source.entries);
        const auto observed = writeList(builder, source.observed);
        const auto speeds = writeList(builder, source.speeds);
        return wire::CreateUsageTotals(builder, source.routers, entries, observed, speeds, writeList(builder, source.lateness));
    }

    Offset<wire::ServerLoss> write(FlatBufferBuilder& builder, const server_loss& source)
    {
        const auto server = writeName(builder, source.server);
        const auto suspects = writeList(builder, source.suspects);
        const auto age = std::chrono::floor<std::chrono::milliseconds>(source.age).count();
        return wire::CreateServerLoss(builder, server, source.serverStart.value(),
            static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max())), source.isRefuted, suspects);
    }

    Offset<wire::ServerLosses> write(FlatBufferBuilder& builder, const server_losses& source)
    {
        return wire::CreateServerLosses(builder, writeList(builder, source.entries));
    }

    Offset<wire::ServerRateLimits> write(FlatBufferBuilder& builder, const server_rate_limits& source)
    {
        const auto entries = writeList(builder, source.entries);
        return wire::CreateServerRateLimits(builder, entries, writeList(builder, source.holds));
    }

    Offset<wire::CrashReport> write(FlatBufferBuilder& builder, const crash_report& source)
    {
        const auto server = writeName(builder, source.server);
        const auto running = writeNumbers(builder, source.running);
        return wire::CreateCrashReport(builder, server, source.serverStart.value(), running);
    }

}

std::string encodeTable(const message& source)
{
    FlatBufferBuilder builder;
    std::visit([&builder](const auto& content) { builder.Finish(write(builder, content)); }, source);
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

}
