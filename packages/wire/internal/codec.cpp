#include "wire/codec.hpp"

#include "wire/generated/messages_generated.h"

#include <algorithm>
#include <cmath>
#include <type_traits>

namespace endiveward::wire
{

namespace
{

using builder = flatbuffers::FlatBufferBuilder;
template <typename T>
using offset = flatbuffers::Offset<T>;

using std::chrono::milliseconds;

std::string text(flatbuffers::String const* str)
{
    return str == nullptr ? std::string() : str->str();
}

std::string bytes_of(flatbuffers::Vector<std::uint8_t> const* vec)
{
    if (vec == nullptr)
        return {};
    return std::string(reinterpret_cast<char const*>(vec->data()), vec->size());
}

offset<flatbuffers::Vector<std::uint8_t>> put_bytes(builder& fbb,
                                                    std::string const& bytes)
{
    return fbb.CreateVector(reinterpret_cast<std::uint8_t const*>(bytes.data()),
                            bytes.size());
}

std::uint32_t to_ms(milliseconds duration)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(duration.count(), 0, UINT32_MAX));
}

fbs::hash128 put(kernel::hash128 const& hash)
{
    return fbs::hash128(hash.high, hash.low);
}

kernel::hash128 get(fbs::hash128 const* hash)
{
    if (hash == nullptr)
        return {};
    return kernel::hash128{hash->high(), hash->low()};
}

std::vector<offset<fbs::prefix_level>>
put(builder& fbb, std::vector<prefix_level> const& levels)
{
    std::vector<offset<fbs::prefix_level>> out;
    out.reserve(levels.size());
    for (auto const& it : levels)
    {
        auto const hash = put(it.hash);
        out.push_back(fbs::Createprefix_level(fbb, &hash, it.bytes));
    }
    return out;
}

std::vector<prefix_level>
get(flatbuffers::Vector<offset<fbs::prefix_level>> const* in)
{
    std::vector<prefix_level> out;
    if (in == nullptr)
        return out;
    out.reserve(in->size());
    for (auto const* it : *in)
        out.push_back({get(it->hash()), it->bytes()});
    return out;
}

offset<fbs::load_report> put(builder& fbb, load_report const& load)
{
    std::vector<offset<fbs::loaded_model>> models;
    models.reserve(load.models.size());
    for (auto const& it : load.models)
        models.push_back(fbs::Createloaded_modelDirect(
            fbb, it.model.str().c_str(), it.version.str().c_str()));
    auto const recent_levels = put(fbb, load.recent_levels);
    return fbs::Createload_reportDirect(
        fbb, load.agent_incarnation, load.engine_incarnation, load.running,
        load.queued, load.capacity, to_ms(load.queue_wait), load.draining,
        &models, &recent_levels);
}

load_report get(fbs::load_report const* in)
{
    load_report out;
    if (in == nullptr)
        return out;
    out.agent_incarnation = in->agent_incarnation();
    out.engine_incarnation = in->engine_incarnation();
    out.running = in->running();
    out.queued = in->queued();
    out.capacity = in->capacity();
    out.queue_wait = milliseconds(in->queue_wait_ms());
    out.draining = in->draining();
    out.recent_levels = get(in->recent_levels());
    if (in->models() == nullptr)
        return out;
    out.models.reserve(in->models()->size());
    for (auto const* it : *in->models())
        out.models.push_back({kernel::model_id(text(it->model())),
                              kernel::model_version(text(it->version()))});
    return out;
}

constexpr std::int64_t no_retry_after = -1;

offset<fbs::error_info> put(builder& fbb,
                            std::optional<kernel::error> const& err)
{
    if (!err)
        return 0;
    return fbs::Createerror_infoDirect(
        fbb, static_cast<std::uint8_t>(err->kind), err->message.c_str(),
        static_cast<fbs::run_state>(err->run),
        err->retry_after ? err->retry_after->count() : no_retry_after);
}

std::optional<kernel::error> get(fbs::error_info const* in)
{
    if (in == nullptr)
        return std::nullopt;
    kernel::error out;
    // A kind or state from a newer peer must not be trusted to be harmless.
    out.kind =
        in->kind() <= static_cast<std::uint8_t>(kernel::error_kind::internal)
            ? static_cast<kernel::error_kind>(in->kind())
            : kernel::error_kind::internal;
    out.run = in->run() <= fbs::run_state::MAX
                  ? static_cast<kernel::run_state>(in->run())
                  : kernel::run_state::unknown;
    out.message = text(in->message());
    if (in->retry_after_ms() >= 0)
        out.retry_after = milliseconds(in->retry_after_ms());
    return out;
}

offset<fbs::hello> put(builder& fbb, hello const& msg)
{
    auto const load = put(fbb, msg.load);
    return fbs::CreatehelloDirect(
        fbb, msg.protocol, static_cast<fbs::role>(msg.role),
        msg.process.str().c_str(), msg.incarnation, msg.region.str().c_str(),
        msg.zone.str().c_str(), msg.endpoint.str().c_str(), msg.config_version,
        &msg.nonce, load, msg.accepts_part_reports, msg.accepts_limit_reports,
        msg.accepts_stream_origins, msg.accepts_facts);
}

hello get(fbs::hello const& in)
{
    hello out;
    out.protocol = in.protocol();
    out.role = static_cast<process_role>(in.role());
    out.process = kernel::process_id(text(in.process()));
    out.incarnation = in.incarnation();
    out.region = kernel::region_id(text(in.region()));
    out.zone = kernel::zone_id(text(in.zone()));
    out.endpoint = kernel::endpoint_id(text(in.endpoint()));
    out.config_version = in.config_version();
    if (in.nonce() != nullptr)
        out.nonce.assign(in.nonce()->begin(), in.nonce()->end());
    out.load = get(in.load());
    out.accepts_part_reports = in.accepts_part_reports();
    out.accepts_limit_reports = in.accepts_limit_reports();
    out.accepts_stream_origins = in.accepts_stream_origins();
    out.accepts_facts = in.accepts_facts();
    return out;
}

offset<fbs::heartbeat> put(builder& fbb, heartbeat const& msg)
{
    auto const load = put(fbb, msg.load);
    return fbs::Createheartbeat(fbb, msg.config_version, load, msg.probe);
}

heartbeat get(fbs::heartbeat const& in)
{
    return heartbeat{in.config_version(), get(in.load()), in.probe()};
}

offset<fbs::invoke> put(builder& fbb, invoke const& msg)
{
    std::vector<offset<fbs::header>> headers;
    headers.reserve(msg.headers.size());
    for (auto const& it : msg.headers)
        headers.push_back(
            fbs::CreateheaderDirect(fbb, it.name.c_str(), it.value.c_str()));
    auto const levels = put(fbb, msg.prefix_levels);
    auto const stream_id = put(msg.stream_id);
    auto const workspace = fbb.CreateString(msg.workspace.str());
    auto const model = fbb.CreateString(msg.model.str());
    auto const version = fbb.CreateString(msg.version.str());
    auto const service = fbb.CreateString(msg.service.str());
    auto const method = fbb.CreateString(msg.method);
    auto const path = fbb.CreateString(msg.path);
    auto const headers_vec = fbb.CreateVector(headers);
    auto const body = put_bytes(fbb, msg.body);
    auto const key = fbb.CreateString(msg.idempotency_key);
    auto const levels_vec = fbb.CreateVector(levels);
    auto const request_id = fbb.CreateString(msg.request_id);
    return fbs::Createinvoke(
        fbb, msg.call_id, &stream_id, workspace, model, version, service,
        static_cast<fbs::target_kind>(msg.target), method, path, headers_vec,
        body, msg.streaming, msg.idempotent, key, to_ms(msg.deadline),
        msg.priority, msg.config_version, levels_vec, request_id);
}

invoke get(fbs::invoke const& in)
{
    invoke out;
    out.call_id = in.call_id();
    out.stream_id = get(in.stream_id());
    out.workspace = kernel::workspace_id(text(in.workspace()));
    out.model = kernel::model_id(text(in.model()));
    out.version = kernel::model_version(text(in.model_version()));
    out.service = kernel::service_id(text(in.service()));
    out.target = static_cast<target_kind>(in.target());
    out.method = text(in.method());
    out.path = text(in.path());
    if (in.headers() != nullptr)
    {
        for (auto const* it : *in.headers())
            out.headers.push_back({text(it->name()), text(it->value())});
    }
    out.body = bytes_of(in.body());
    out.streaming = in.streaming();
    out.idempotent = in.idempotent();
    out.idempotency_key = text(in.idempotency_key());
    out.deadline = milliseconds(in.deadline_ms());
    out.priority = in.priority();
    out.config_version = in.config_version();
    out.prefix_levels = get(in.prefix_levels());
    out.request_id = text(in.request_id());
    return out;
}

offset<fbs::verdict> put(builder& fbb, verdict const& msg)
{
    auto const refusal = put(fbb, msg.refusal);
    auto const load = put(fbb, msg.load);
    return fbs::Createverdict(fbb, msg.call_id, refusal, msg.hit_bytes, load,
                              msg.config_version);
}

verdict get(fbs::verdict const& in)
{
    return verdict{in.call_id(), get(in.failure()), in.hit_bytes(),
                   get(in.load()), in.config_version()};
}

offset<fbs::chunk> put(builder& fbb, chunk const& msg)
{
    auto const bytes = put_bytes(fbb, msg.bytes);
    return fbs::Createchunk(fbb, msg.call_id, msg.number, bytes);
}

chunk get(fbs::chunk const& in)
{
    return chunk{in.call_id(), in.number(), bytes_of(in.bytes())};
}

offset<fbs::call_end> put(builder& fbb, call_end const& msg)
{
    auto const failure = put(fbb, msg.failure);
    auto const load = put(fbb, msg.load);
    auto const content_type = fbb.CreateString(msg.content_type);
    return fbs::Createcall_end(fbb, msg.call_id, msg.chunks,
                               static_cast<fbs::call_outcome>(msg.outcome),
                               static_cast<std::uint16_t>(msg.http_status),
                               content_type, failure, msg.prompt_bytes,
                               msg.cached_bytes, load, msg.endpoint_ended);
}

call_end get(fbs::call_end const& in)
{
    call_end out;
    out.call_id = in.call_id();
    out.chunks = in.chunks();
    out.outcome = static_cast<call_outcome>(in.outcome());
    out.http_status = in.http_status();
    out.content_type = text(in.content_type());
    out.failure = get(in.failure());
    out.prompt_bytes = in.prompt_bytes();
    out.cached_bytes = in.cached_bytes();
    out.load = get(in.load());
    out.endpoint_ended = in.endpoint_ended();
    return out;
}

offset<fbs::chunk_ack> put(builder& fbb, chunk_ack const& msg)
{
    return fbs::Createchunk_ack(fbb, msg.call_id, msg.next);
}

chunk_ack get(fbs::chunk_ack const& in)
{
    return chunk_ack{in.call_id(), in.next()};
}

offset<fbs::cancel> put(builder& fbb, cancel const& msg)
{
    return fbs::Createcancel(fbb, msg.call_id);
}

cancel get(fbs::cancel const& in)
{
    return cancel{in.call_id()};
}

offset<fbs::resume> put(builder& fbb, resume const& msg)
{
    auto const stream_id = put(msg.stream_id);
    return fbs::Createresume(fbb, msg.call_id, &stream_id, msg.next);
}

resume get(fbs::resume const& in)
{
    return resume{in.call_id(), get(in.stream_id()), in.next()};
}

offset<fbs::config_request> put(builder& fbb, config_request const& msg)
{
    return fbs::Createconfig_request(fbb, msg.known_version);
}

config_request get(fbs::config_request const& in)
{
    return config_request{in.known_version()};
}

offset<fbs::config_update> put(builder& fbb, config_update const& msg)
{
    auto const body = put_bytes(fbb, msg.body);
    return fbs::Createconfig_update(fbb, msg.from_version, msg.to_version,
                                    msg.snapshot, body);
}

config_update get(fbs::config_update const& in)
{
    return config_update{in.from_version(), in.to_version(), in.snapshot(),
                         bytes_of(in.body())};
}

offset<fbs::draining> put(builder& fbb, draining const&)
{
    return fbs::Createdraining(fbb);
}

draining get(fbs::draining const&)
{
    return draining{};
}

offset<fbs::gossip> put(builder& fbb, gossip const& msg)
{
    std::vector<offset<fbs::member>> members;
    members.reserve(msg.members.size());
    for (auto const& it : msg.members)
        members.push_back(fbs::CreatememberDirect(
            fbb, it.process.str().c_str(), static_cast<fbs::role>(it.role),
            it.address.c_str(), it.port, it.region.str().c_str(),
            it.zone.str().c_str(), it.incarnation, it.leaving));
    return fbs::CreategossipDirect(fbb, msg.config_version, &members);
}

gossip get(fbs::gossip const& in)
{
    gossip out;
    out.config_version = in.config_version();
    if (in.members() == nullptr)
        return out;
    for (auto const* it : *in.members())
        out.members.push_back({kernel::process_id(text(it->process())),
                               static_cast<process_role>(it->role()),
                               text(it->address()), it->port(),
                               kernel::region_id(text(it->region())),
                               kernel::zone_id(text(it->zone())),
                               it->incarnation(), it->leaving()});
    return out;
}

/// A number that is none, or below zero, would block an endpoint for good.
double limit_of(double per_second)
{
    return std::isfinite(per_second) ? std::max(per_second, 0.0) : 0;
}

offset<fbs::engine_state> put(builder& fbb, engine_state const& msg)
{
    std::vector<offset<fbs::model_weights>> weights;
    weights.reserve(msg.weights.size());
    for (auto const& it : msg.weights)
        weights.push_back(fbs::Createmodel_weightsDirect(
            fbb, it.model.str().c_str(), it.version));
    return fbs::Createengine_stateDirect(
        fbb, msg.endpoint_incarnation, &weights, msg.reloading, msg.running,
        msg.waiting, msg.memory_used, msg.memory_total, msg.unanswered,
        msg.routers, msg.unreachable, msg.progress, msg.leaving,
        msg.request_limit.has_value(), msg.request_limit.value_or(0));
}

engine_state get(fbs::engine_state const& in)
{
    engine_state out;
    out.endpoint_incarnation = in.endpoint_incarnation();
    out.reloading = in.reloading();
    out.running = in.running();
    out.waiting = in.waiting();
    out.memory_used = in.memory_used();
    out.memory_total = in.memory_total();
    out.unanswered = in.unanswered();
    out.routers = in.routers();
    out.unreachable = in.unreachable();
    out.progress = in.progress();
    out.leaving = in.leaving();
    if (in.limited())
        out.request_limit = limit_of(in.request_limit());
    if (in.weights() == nullptr)
        return out;
    for (auto const* it : *in.weights())
        out.weights.push_back(
            {kernel::model_id(text(it->model())), it->version()});
    return out;
}

offset<fbs::cache_change> put(builder& fbb, cache_change const& msg)
{
    std::vector<fbs::cached_part> parts;
    parts.reserve(msg.parts.size());
    for (auto const& it : msg.parts)
        parts.emplace_back(it.key, it.tokens);
    return fbs::Createcache_changeDirect(fbb, msg.reset, &parts);
}

cache_change get(fbs::cache_change const& in)
{
    cache_change out;
    out.reset = in.reset();
    if (in.parts() == nullptr)
        return out;
    out.parts.reserve(in.parts()->size());
    for (auto const* it : *in.parts())
        out.parts.push_back({it->key(), it->tokens()});
    return out;
}

offset<fbs::table_request> put(builder& fbb, table_request const& msg)
{
    return fbs::Createtable_request(fbb, msg.after.version, msg.after.era);
}

table_request get(fbs::table_request const& in)
{
    return {{in.era(), in.after()}};
}

offset<fbs::table_rows> put(builder& fbb, table_rows const& msg)
{
    std::vector<offset<fbs::table_row>> rows;
    rows.reserve(msg.rows.size());
    for (auto const& it : msg.rows)
    {
        auto const value = put_bytes(fbb, it.value);
        auto const key = fbb.CreateString(it.key);
        rows.push_back(fbs::Createtable_row(
            fbb, key, value, it.position.version, it.position.era));
    }
    return fbs::Createtable_rowsDirect(fbb, &rows);
}

table_rows get(fbs::table_rows const& in)
{
    table_rows out;
    if (in.rows() == nullptr)
        return out;
    out.rows.reserve(in.rows()->size());
    for (auto const* it : *in.rows())
        out.rows.push_back({text(it->key()),
                            bytes_of(it->value()),
                            {it->era(), it->version()}});
    return out;
}

offset<fbs::part_report> put(builder& fbb, part_report const& msg)
{
    std::vector<fbs::part_crash> crashes;
    crashes.reserve(msg.crashes.size());
    for (auto const& it : msg.crashes)
        crashes.emplace_back(it.part, it.crash, it.depth, to_ms(it.age));
    return fbs::Createpart_reportDirect(fbb, &crashes, &msg.served_parts,
                                        &msg.refuted_crashes, &msg.tried_parts);
}

part_report get(fbs::part_report const& in)
{
    part_report out;
    if (in.crashes() != nullptr)
    {
        for (auto const* it : *in.crashes())
            out.crashes.push_back({it->part(), it->crash(), it->depth(),
                                   milliseconds(it->age_ms())});
    }
    if (in.served_parts() != nullptr)
        out.served_parts.assign(in.served_parts()->begin(),
                                in.served_parts()->end());
    if (in.refuted_crashes() != nullptr)
        out.refuted_crashes.assign(in.refuted_crashes()->begin(),
                                   in.refuted_crashes()->end());
    if (in.tried_parts() != nullptr)
        out.tried_parts.assign(in.tried_parts()->begin(),
                               in.tried_parts()->end());
    return out;
}

offset<fbs::limit_report> put(builder& fbb, limit_report const& msg)
{
    std::vector<fbs::limit_change> changes;
    changes.reserve(msg.changes.size());
    for (auto const& it : msg.changes)
        changes.emplace_back(it.endpoint, it.rate, it.ended);
    std::vector<fbs::limited_request> requests;
    requests.reserve(msg.requests.size());
    for (auto const& it : msg.requests)
        requests.emplace_back(it.endpoint, it.request);
    return fbs::Createlimit_reportDirect(fbb, &changes, &requests);
}

limit_report get(fbs::limit_report const& in)
{
    limit_report out;
    if (in.changes() != nullptr)
    {
        for (auto const* it : *in.changes())
            out.changes.push_back(
                {it->endpoint(), limit_of(it->rate()), it->ended()});
    }
    if (in.requests() != nullptr)
    {
        for (auto const* it : *in.requests())
            out.requests.push_back({it->endpoint(), it->request()});
    }
    return out;
}

offset<fbs::stream_origin> put(builder& fbb, stream_origin const& msg)
{
    // A report has many streams of few services and versions.
    auto const service = fbb.CreateSharedString(msg.service.str());
    auto const software = fbb.CreateSharedString(msg.software.str());
    return fbs::Createstream_origin(
        fbb, msg.stream, service, software,
        static_cast<std::uint32_t>(msg.lifetime.count()));
}

stream_origin get(fbs::stream_origin const& in)
{
    stream_origin out;
    out.stream = in.stream();
    out.service = kernel::service_id(text(in.service()));
    out.software = kernel::software_version(text(in.software()));
    out.lifetime = milliseconds(in.lifetime_ms());
    return out;
}

offset<fbs::stream_origins> put(builder& fbb, stream_origins const& msg)
{
    std::vector<offset<fbs::stream_origin>> origins;
    origins.reserve(msg.origins.size());
    for (auto const& it : msg.origins)
        origins.push_back(put(fbb, it));
    return fbs::Createstream_originsDirect(fbb, &origins);
}

stream_origins get(fbs::stream_origins const& in)
{
    stream_origins out;
    if (in.origins() == nullptr)
        return out;
    for (auto const* it : *in.origins())
        out.origins.push_back(get(*it));
    return out;
}

offset<fbs::fact_report> put(builder& fbb, fact_report const& msg)
{
    std::vector<fbs::fact> facts;
    facts.reserve(msg.facts.size());
    for (auto const& it : msg.facts)
        facts.emplace_back(it.key, it.source, it.value, it.revision,
                           static_cast<std::uint32_t>(it.age.count()),
                           static_cast<std::uint8_t>(it.kind));
    return fbs::Createfact_reportDirect(fbb, &facts);
}

/// Kinds of later versions are kept: agents pass them on.
fact_report get(fbs::fact_report const& in)
{
    fact_report out;
    if (in.facts() == nullptr)
        return out;
    for (auto const* it : *in.facts())
    {
        if (std::isfinite(it->value()))
            out.facts.push_back({static_cast<fact_kind>(it->kind()), it->key(),
                                 it->source(), it->value(), it->revision(),
                                 milliseconds(it->age_ms())});
    }
    return out;
}

offset<fbs::origin_query> put(builder& fbb, origin_query const& msg)
{
    return fbs::Createorigin_queryDirect(fbb, msg.id, msg.stream,
                                         msg.service.str().c_str());
}

origin_query get(fbs::origin_query const& in)
{
    return {in.id(), in.stream(), kernel::service_id(text(in.service()))};
}

offset<fbs::origin_answer> put(builder& fbb, origin_answer const& msg)
{
    offset<fbs::stream_origin> origin;
    if (msg.origin)
        origin = put(fbb, *msg.origin);
    std::vector<offset<flatbuffers::String>> versions;
    versions.reserve(msg.versions.size());
    for (auto const& it : msg.versions)
        versions.push_back(fbb.CreateString(it.str()));
    return fbs::Createorigin_answerDirect(fbb, msg.id, origin, &versions);
}

origin_answer get(fbs::origin_answer const& in)
{
    origin_answer out;
    out.id = in.id();
    if (in.origin() != nullptr)
        out.origin = get(*in.origin());
    if (in.versions() == nullptr)
        return out;
    for (auto const* it : *in.versions())
        out.versions.emplace_back(text(it));
    return out;
}

template <typename Table>
message get_body(fbs::envelope const& envelope)
{
    return get(*envelope.body_as<Table>());
}

kernel::error malformed(char const* what)
{
    return kernel::error{kernel::error_kind::protocol_violation,
                         std::string(what) +
                             "; run the same endiveward version on both sides",
                         kernel::run_state::unknown,
                         {}};
}

/// Values outside an enumeration would be undefined behaviour later on.
bool enums_valid(message const& msg)
{
    return std::visit(
        kernel::overloaded{
            [](hello const& it)
            { return it.role <= process_role::operator_client; },
            [](invoke const& it) { return it.target <= target_kind::service; },
            [](call_end const& it)
            { return it.outcome <= call_outcome::cancelled; },
            [](gossip const& it)
            {
                return std::all_of(
                    it.members.begin(), it.members.end(),
                    [](member const& m)
                    { return m.role <= process_role::operator_client; });
            },
            [](auto const&) { return true; }},
        msg);
}

kernel::result<message> decode_body(fbs::envelope const& envelope)
{
    switch (envelope.body_type())
    {
    case fbs::message_body::hello:
        return get_body<fbs::hello>(envelope);
    case fbs::message_body::heartbeat:
        return get_body<fbs::heartbeat>(envelope);
    case fbs::message_body::invoke:
        return get_body<fbs::invoke>(envelope);
    case fbs::message_body::verdict:
        return get_body<fbs::verdict>(envelope);
    case fbs::message_body::chunk:
        return get_body<fbs::chunk>(envelope);
    case fbs::message_body::call_end:
        return get_body<fbs::call_end>(envelope);
    case fbs::message_body::chunk_ack:
        return get_body<fbs::chunk_ack>(envelope);
    case fbs::message_body::cancel:
        return get_body<fbs::cancel>(envelope);
    case fbs::message_body::resume:
        return get_body<fbs::resume>(envelope);
    case fbs::message_body::config_request:
        return get_body<fbs::config_request>(envelope);
    case fbs::message_body::config_update:
        return get_body<fbs::config_update>(envelope);
    case fbs::message_body::draining:
        return get_body<fbs::draining>(envelope);
    case fbs::message_body::gossip:
        return get_body<fbs::gossip>(envelope);
    case fbs::message_body::engine_state:
        return get_body<fbs::engine_state>(envelope);
    case fbs::message_body::cache_change:
        return get_body<fbs::cache_change>(envelope);
    case fbs::message_body::table_request:
        return get_body<fbs::table_request>(envelope);
    case fbs::message_body::table_rows:
        return get_body<fbs::table_rows>(envelope);
    case fbs::message_body::part_report:
        return get_body<fbs::part_report>(envelope);
    case fbs::message_body::limit_report:
        return get_body<fbs::limit_report>(envelope);
    case fbs::message_body::stream_origins:
        return get_body<fbs::stream_origins>(envelope);
    case fbs::message_body::origin_query:
        return get_body<fbs::origin_query>(envelope);
    case fbs::message_body::origin_answer:
        return get_body<fbs::origin_answer>(envelope);
    case fbs::message_body::fact_report:
        return get_body<fbs::fact_report>(envelope);
    case fbs::message_body::NONE:
        break;
    }
    return malformed("the frame holds no known message");
}

} // namespace

std::vector<std::uint8_t> encode(message const& msg)
{
    builder fbb;
    auto const body = std::visit(
        [&fbb](auto const& it) { return put(fbb, it).Union(); }, msg);
    // The union lists the messages in the order of the variant, after NONE.
    auto const type = static_cast<fbs::message_body>(msg.index() + 1);
    static_assert(std::variant_size_v<message> ==
                  static_cast<std::size_t>(fbs::message_body::MAX));
    fbb.Finish(fbs::Createenvelope(fbb, type, body));
    auto const span = fbb.GetBufferSpan();
    return {span.begin(), span.end()};
}

kernel::result<message> decode(std::span<std::uint8_t const> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!fbs::VerifyenvelopeBuffer(verifier))
        return malformed("the frame is not a valid FlatBuffers envelope");
    auto const* envelope = fbs::Getenvelope(bytes.data());
    if (envelope->body() == nullptr)
        return malformed("the frame holds no message");
    auto res = decode_body(*envelope);
    if (kernel::ok(res) && !enums_valid(kernel::value(res)))
        return malformed("the message holds an unknown enumeration value");
    return res;
}

bool is_call_message(message const& msg)
{
    return std::visit(
        []<typename T>(T const&)
        {
            return std::is_same_v<T, invoke> || std::is_same_v<T, verdict> ||
                   std::is_same_v<T, chunk> || std::is_same_v<T, call_end> ||
                   std::is_same_v<T, chunk_ack> || std::is_same_v<T, cancel> ||
                   std::is_same_v<T, resume>;
        },
        msg);
}

} // namespace endiveward::wire
