#include <array>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>

#include <Messages_generated.h>

#include "MessageTables.h"
#include "pimentoladder/Codec/RowJson.h"
#include "pimentoladder/Wire/Frame.h"
#include "pimentoladder/Wire/MessageCodec.h"

namespace pimentoladder {

namespace {

    using flatbuffers::Offset;
    using flatbuffers::Vector;

    // Maximum total size of the decoded strings of one message, in bytes. Several
    // fields may refer to one string, so without a limit a small frame could expand
    // without bound.
    constexpr std::size_t maxDecodedTextSize = 8 * maxFrameSize;

    // Validates fields and records the first fault, so that the `read` functions
    // need not check for errors after every field.
    class field_reader {
    public:
        void fail(error fault)
        {
            if (!m_fault)
                m_fault = std::move(fault);
        }

        void failField(std::string_view field, std::string_view reason)
        {
            fail({ error_kind::corruptData, "field \"" + std::string(field) + "\" " + std::string(reason) });
        }

        std::string text(const flatbuffers::String* field, std::string_view name)
        {
            if (!field)
                return {};
            m_decodedTextSize += field->size();
            if (m_decodedTextSize > maxDecodedTextSize) {
                failField(name, "exceeds the limit of the decoded message; send less text");
                return {};
            }
            return field->str();
        }

        template <typename Name>
        Name optionalName(const flatbuffers::String* field, std::string_view name)
        {
            return Name(text(field, name));
        }

        template <typename Name>
        Name requiredName(const flatbuffers::String* field, std::string_view name)
        {
            Name value(text(field, name));
            if (value.isEmpty())
                failField(name, "is missing");
            return value;
        }

        template <typename Number>
        Number requiredNumber(std::uint64_t field, std::string_view name)
        {
            if (field == 0)
                failField(name, "is missing");
            return Number(field);
        }

        double nonNegative(double field, std::string_view name)
        {
            if (!std::isfinite(field) || field < 0)
                failField(name, "must be a finite number of at least 0");
            return field;
        }

        bool hasFailed() const { return m_fault.has_value(); }
        error takeFault() { return std::move(*m_fault); }

    private:
        std::optional<error> m_fault;
        std::size_t m_decodedTextSize = 0;
    };

    time_point timeOf(std::int64_t nanoseconds)
    {
        return time_point(duration(nanoseconds));
    }

    std::optional<duration> optionalDuration(const flatbuffers::Optional<std::uint32_t>& microseconds)
    {
        if (!microseconds)
            return std::nullopt;
        return std::chrono::microseconds(*microseconds);
    }

    template <typename Number>
    std::vector<Number> readNumbers(const Vector<std::uint64_t>* field)
    {
        std::vector<Number> numbers;
        if (!field)
            return numbers;
        numbers.reserve(field->size());
        for (const std::uint64_t value : *field)
            numbers.emplace_back(value);
        return numbers;
    }

    member_ref read(const wire::Member& source, field_reader& fields)
    {
        return { fields.requiredName<vm_id>(source.vm(), "vm"),
            fields.requiredNumber<incarnation>(source.start(), "start") };
    }

    row_change read(const wire::Row& source, field_reader& fields)
    {
        row_change row { fields.text(source.key(), "key"), std::nullopt, revision(source.changed_at()) };
        if (!isDocumentKey(row.key)) {
            fields.failField("key", "does not name a row of the document");
            return row;
        }
        if (!source.value())
            return row;
        result<document_value> value = parseRowJson(row.key, fields.text(source.value(), "value"));
        if (!value) {
            fields.fail(std::move(value.error()));
            return row;
        }
        row.value = std::move(*value);
        return row;
    }

    demand_entry read(const wire::Demand& source, field_reader& fields)
    {
        return { fields.requiredNumber<request_number>(source.request(), "request"),
            fields.requiredName<workspace_id>(source.workspace(), "workspace"),
            fields.nonNegative(source.cost_hint(), "cost_hint"), fingerprint(source.print()), source.prefix_hash(),
            model_id(source.model() ? source.model()->str() : std::string()) };
    }

    grant_entry read(const wire::GrantEntry& source, field_reader& fields)
    {
        return { grant_number(source.number()), fields.requiredName<server_id>(source.server(), "server"),
            request_number(source.request()), timeOf(source.expires_at()) };
    }

    grant_report_entry read(const wire::ReportEntry& source, field_reader& fields)
    {
        if (source.event() > static_cast<std::uint8_t>(grant_event::cancelled))
            fields.failField("event", "is out of range");
        return { grant_number(source.number()), fencing_token(source.issued_under()), static_cast<grant_event>(source.event()),
            fields.optionalName<workspace_id>(source.workspace(), "workspace"), fields.nonNegative(source.cost(), "cost"),
            std::chrono::microseconds(source.first_byte()) };
    }

    in_flight_entry read(const wire::InFlight& source, field_reader& fields)
    {
        return { grant_number(source.number()), fencing_token(source.issued_under()),
            fields.requiredName<server_id>(source.server(), "server"),
            fields.optionalName<workspace_id>(source.workspace(), "workspace"),
            fields.nonNegative(source.cost_hint(), "cost_hint"), fields.nonNegative(source.cost(), "cost") };
    }

    service_counter read(const wire::Counter& source, field_reader& fields)
    {
        return { { fields.requiredName<vm_id>(source.owner(), "owner"), incarnation(source.owner_start()) },
            fields.requiredName<workspace_id>(source.workspace(), "workspace"),
            fields.nonNegative(source.charged(), "charged"), fields.nonNegative(source.credited(), "credited") };
    }

    service_lift read(const wire::Lift& source, field_reader& fields)
    {
        return { fields.requiredName<shard_id>(source.shard(), "shard"), fields.optionalName<workspace_id>(source.workspace(), "workspace"), fields.nonNegative(source.lift(), "lift") };
    }

    table_position read(const wire::TablePosition& source, field_reader&)
    {
        return { source.table(), { store_era(source.era().value_or(0)), revision(source.at()) }, source.era().has_value() };
    }

    published_row read(const wire::PublishedRow& source, field_reader& fields)
    {
        return { fields.text(source.key(), "key"), fields.text(source.value(), "value"), { store_era(source.era()), revision(source.at()) }, source.is_deleted() };
    }

    usage_entry read(const wire::Usage& source, field_reader& fields)
    {
        return { fields.requiredName<workspace_id>(source.workspace(), "workspace"), fields.nonNegative(source.asked(), "asked"),
            fields.nonNegative(source.admitted(), "admitted") };
    }

    server_observation read(const wire::Observation& source, field_reader& fields)
    {
        return { fields.requiredName<server_id>(source.server(), "server"), std::chrono::microseconds(source.delay()), source.running(), source.waiting(),
            fields.nonNegative(source.pending_tokens(), "pending_tokens"), optionalDuration(source.load_age()),
            source.slowness() ? std::optional<learnt_slowness>({ incarnation(source.start()), fields.nonNegative(*source.slowness(), "slowness") }) : std::nullopt };
    }

    pool_lateness read(const wire::PoolLateness& source, field_reader& fields)
    {
        return { fields.requiredName<pool_id>(source.pool(), "pool"), std::chrono::microseconds(source.late()) };
    }

    speed_sample read(const wire::SpeedSample& source, field_reader& fields)
    {
        return { fields.requiredName<server_id>(source.server(), "server"), incarnation(source.start()), fields.requiredName<pool_id>(source.pool(), "pool"),
            fields.nonNegative(source.tokens(), "tokens"), fields.nonNegative(source.running(), "running"),
            fields.nonNegative(source.plain_in_progress(), "plain_in_progress"), std::chrono::microseconds(source.taken()) };
    }

    pool_speed_entry read(const wire::PoolSpeed& source, field_reader& fields)
    {
        pool_speed_entry entry { fields.requiredName<pool_id>(source.pool(), "pool"), {} };
        if (!source.milliseconds())
            return entry;
        for (const double each : *source.milliseconds())
            entry.milliseconds.push_back(fields.nonNegative(each, "milliseconds"));
        return entry;
    }

    server_rate_limit read(const wire::ServerRateLimit& source, field_reader& fields)
    {
        return { fields.requiredName<server_id>(source.server(), "server"), source.is_limited(),
            fields.nonNegative(source.per_second(), "per_second"), std::chrono::microseconds(source.age()) };
    }

    server_hold read(const wire::ServerHold& source, field_reader& fields)
    {
        return { fields.requiredName<server_id>(source.server(), "server"), incarnation(source.start()), source.is_leaving(), std::chrono::microseconds(source.left()) };
    }

    std::string textOf(const flatbuffers::String* field)
    {
        return field ? field->str() : std::string();
    }

    stream_group read(const wire::StreamGroup& source, field_reader& fields)
    {
        return { fields.requiredName<pool_id>(source.pool(), "pool"), textOf(source.version()), readNumbers<fingerprint>(source.streams()) };
    }

    version_use read(const wire::VersionUse& source, field_reader& fields)
    {
        return { fields.requiredName<pool_id>(source.pool(), "pool"), textOf(source.version()), std::chrono::microseconds(source.age()) };
    }

    rollout_tally read(const wire::RolloutTally& source, field_reader& fields)
    {
        return { fields.text(source.route(), "route"), source.target(), source.sent(), source.answers(), source.failures(), source.slow(), source.servers(), source.faulty_servers() };
    }

    rollout_permit read(const wire::RolloutPermit& source, field_reader& fields)
    {
        rollout_permit decoded;
        decoded.pool = fields.requiredName<pool_id>(source.pool(), "pool");
        decoded.order = revision(source.order());
        decoded.token = fencing_token(source.token());
        decoded.sequence = source.sequence();
        if (source.state() > static_cast<std::uint8_t>(rollout_state::reverted))
            fields.failField("state", "must be 0, 1 or 2");
        decoded.state = static_cast<rollout_state>(source.state());
        decoded.share = fields.nonNegative(source.share(), "share");
        if (decoded.share > 1)
            fields.failField("share", "must be 1 at most");
        decoded.age = std::chrono::microseconds(source.age());
        return decoded;
    }

    crash_suspect read(const wire::Suspect& source, field_reader& fields)
    {
        crash_suspect decoded;
        const auto kind = static_cast<trait_kind>(source.kind());
        if (kind != trait_kind::request && kind != trait_kind::promptPart)
            fields.failField("kind", "must be 1 or 2");
        decoded.trait = { kind, source.id() };
        decoded.depth = source.depth();
        decoded.isCleared = source.is_cleared();
        if (source.reporters()) {
            for (const flatbuffers::String* each : *source.reporters())
                decoded.reporters.push_back(fields.requiredName<vm_id>(each, "reporters"));
        }
        decoded.requests = readNumbers<fingerprint>(source.requests());
        return decoded;
    }

    template <typename Table>
    auto readList(const Vector<Offset<Table>>* field, field_reader& fields)
    {
        std::vector<decltype(read(std::declval<const Table&>(), fields))> entries;
        if (!field)
            return entries;
        entries.reserve(field->size());
        for (const Table* entry : *field) {
            if (fields.hasFailed())
                break;
            entries.push_back(read(*entry, fields));
        }
        return entries;
    }

    message read(const wire::Heartbeat& source, field_reader& fields)
    {
        return heartbeat { fields.requiredNumber<strong_number<heartbeat>>(source.sequence(), "sequence").value(),
            timeOf(source.sent_at()), source.echo(), revision(source.applied()), source.digest(),
            optionalDuration(source.basis_age()), optionalDuration(source.suspension_age()), std::chrono::microseconds(source.echo_held()) };
    }

    message read(const wire::RevisionAnnounce& source, field_reader& fields)
    {
        return revision_announce { fields.requiredNumber<revision>(source.at(), "at") };
    }

    message read(const wire::ConfigRequest& source, field_reader&)
    {
        return config_request { revision(source.have()) };
    }

    message read(const wire::ConfigUpdate& source, field_reader& fields)
    {
        if (source.to() < source.from())
            fields.failField("to", "must not be below \"from\"");
        return config_update { revision(source.from()), revision(source.to()), readList(source.rows(), fields) };
    }

    message read(const wire::Suspend& source, field_reader& fields)
    {
        return suspend { readList(source.proposed(), fields), readList(source.suspended(), fields),
            revision(source.listed_by()) };
    }

    message read(const wire::Acquire& source, field_reader& fields)
    {
        return acquire { fields.requiredName<shard_id>(source.shard(), "shard"), fencing_token(source.token()),
            readList(source.waiting(), fields), readNumbers<request_number>(source.withdrawn()),
            source.advance_wanted() };
    }

    message read(const wire::Grant& source, field_reader& fields)
    {
        return grant { fields.requiredName<shard_id>(source.shard(), "shard"), fencing_token(source.token()),
            readList(source.entries(), fields) };
    }

    message read(const wire::GrantReport& source, field_reader& fields)
    {
        return grant_report { fields.requiredName<shard_id>(source.shard(), "shard"), fencing_token(source.token()),
            source.sequence(), readList(source.entries(), fields) };
    }

    message read(const wire::Recall& source, field_reader& fields)
    {
        return recall { fields.requiredName<shard_id>(source.shard(), "shard"), fencing_token(source.token()) };
    }

    message read(const wire::InFlightReport& source, field_reader& fields)
    {
        return in_flight_report { fields.requiredName<shard_id>(source.shard(), "shard"),
            fencing_token(source.token()), source.sequence(), readList(source.entries(), fields) };
    }

    message read(const wire::ShardRelease& source, field_reader& fields)
    {
        return shard_release { fields.requiredName<shard_id>(source.shard(), "shard"), fencing_token(source.token()) };
    }

    message read(const wire::ServiceCounters& source, field_reader& fields)
    {
        return service_counters { readList(source.entries(), fields), readList(source.lifts(), fields) };
    }

    message read(const wire::ShardOwner& source, field_reader& fields)
    {
        return shard_owner { fields.requiredName<shard_id>(source.shard(), "shard"), fencing_token(source.token()) };
    }

    message read(const wire::CrashReport& source, field_reader& fields)
    {
        return crash_report { fields.requiredName<server_id>(source.server(), "server"),
            incarnation(source.server_start()), readNumbers<fingerprint>(source.running()) };
    }

    table_update read(const wire::TableUpdate& source, field_reader& fields)
    {
        if (source.to() < source.from())
            fields.failField("to", "must not be below \"from\"");
        const store_era era(source.era());
        table_update update { source.table(), { era, revision(source.from()) }, { era, revision(source.to()) }, source.is_whole(), readList(source.rows(), fields) };
        for (published_row& row : update.rows)
            row.position.era = era;
        return update;
    }

    retained_rows read(const wire::RetainedRows& source, field_reader& fields)
    {
        return { source.table(), { store_era(source.era()), revision(source.at()) }, std::chrono::milliseconds(source.remaining()), readList(source.rows(), fields) };
    }

    server_loss read(const wire::ServerLoss& source, field_reader& fields)
    {
        return { fields.requiredName<server_id>(source.server(), "server"), incarnation(source.server_start()),
            std::chrono::milliseconds(source.age()), source.is_refuted(), readList(source.suspects(), fields) };
    }

    message read(const wire::ServerLosses& source, field_reader& fields)
    {
        return server_losses { readList(source.entries(), fields) };
    }

    message read(const wire::ServerRateLimits& source, field_reader& fields)
    {
        return server_rate_limits { readList(source.entries(), fields), readList(source.holds(), fields) };
    }

    message read(const wire::FollowRows& source, field_reader& fields)
    {
        return follow_rows { source.sequence(), readList(source.have(), fields) };
    }

    message read(const wire::RowsUpdate& source, field_reader& fields)
    {
        return rows_update { source.echo(), optionalDuration(source.basis_age()), readList(source.tables(), fields), optionalDuration(source.returned_age()),
            store_era(source.era()), readList(source.retained(), fields), optionalDuration(source.served_age()) };
    }

    message read(const wire::UsageReport& source, field_reader& fields)
    {
        return usage_report { readList(source.entries(), fields), readList(source.observed(), fields), readList(source.samples(), fields), readList(source.lateness(), fields) };
    }

    message read(const wire::UsageTotals& source, field_reader& fields)
    {
        return usage_totals { source.routers(), readList(source.entries(), fields), readList(source.observed(), fields), readList(source.speeds(), fields), readList(source.lateness(), fields) };
    }

    rollout_evidence read(const wire::RolloutEvidence& source, field_reader& fields)
    {
        return { fields.requiredName<pool_id>(source.pool(), "pool"), revision(source.order()), source.requests(), source.in_progress(), readList(source.tallies(), fields) };
    }

    message read(const wire::RolloutReport& source, field_reader& fields)
    {
        return rollout_report { readList(source.rollouts(), fields) };
    }

    message read(const wire::RolloutPermits& source, field_reader& fields)
    {
        return rollout_permits { readList(source.entries(), fields) };
    }

    message read(const wire::StreamOrigins& source, field_reader& fields)
    {
        return stream_origins { readList(source.groups(), fields), readList(source.uses(), fields), optionalDuration(source.known_for()) };
    }

    template <typename Table>
    result<message> decodeAs(const std::uint8_t* data, std::size_t size)
    {
        flatbuffers::Verifier verifier(data, size);
        if (!verifier.VerifyBuffer<Table>(nullptr))
            return makeError(error_kind::corruptData, "table is malformed; check that both routers run a compatible version");
        field_reader fields;
        message decoded = read(*flatbuffers::GetRoot<Table>(data), fields);
        if (fields.hasFailed())
            return tl::unexpected<error>(fields.takeFault());
        return decoded;
    }

    using decode_function = result<message> (*)(const std::uint8_t*, std::size_t);

    // Indexed by kind, in the order of the alternatives of `message`.
    constexpr std::array<decode_function, messageKindCount> decoders { &decodeAs<wire::Heartbeat>,
        &decodeAs<wire::RevisionAnnounce>, &decodeAs<wire::ConfigRequest>, &decodeAs<wire::ConfigUpdate>,
        &decodeAs<wire::Suspend>, &decodeAs<wire::Acquire>, &decodeAs<wire::Grant>, &decodeAs<wire::GrantReport>,
        &decodeAs<wire::Recall>, &decodeAs<wire::InFlightReport>, &decodeAs<wire::ShardRelease>,
        &decodeAs<wire::ServiceCounters>, &decodeAs<wire::CrashReport>, &decodeAs<wire::ShardOwner>,
        &decodeAs<wire::FollowRows>, &decodeAs<wire::RowsUpdate>, &decodeAs<wire::UsageReport>, &decodeAs<wire::UsageTotals>,
        &decodeAs<wire::ServerLosses>, &decodeAs<wire::ServerRateLimits>, &decodeAs<wire::StreamOrigins>,
        &decodeAs<wire::RolloutReport>, &decodeAs<wire::RolloutPermits> };

}

result<message> decodeTable(std::size_t index, const std::vector<std::uint64_t>& words, std::size_t size)
{
    return decoders.at(index)(reinterpret_cast<const std::uint8_t*>(words.data()), size);
}

}
