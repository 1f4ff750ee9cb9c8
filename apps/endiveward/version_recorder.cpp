#include "endiveward/version_recorder.hpp"

#include "gateway/types/routing_config.hpp"
#include "observe/decision_log.hpp"
#include "platform/store_rows.hpp"
#include "storage/types/table_transaction.hpp"

#include <xxhash.h>

#include <array>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace endiveward::app
{

namespace
{

using resumption::version_table;

constexpr std::chrono::milliseconds call_timeout{1000};

std::uint64_t hash_of(kernel::process_id const& name)
{
    return XXH3_64bits(name.str().data(), name.str().size());
}

double share_of(kernel::process_id const& name)
{
    return static_cast<double>(hash_of(name)) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

/// The time tells starts of the process apart.
std::uint64_t source_of(kernel::process_id const& name, kernel::steady_time now)
{
    std::array const words{hash_of(name), static_cast<std::uint64_t>(
                                              now.time_since_epoch().count())};
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace

version_recorder::version_recorder(kernel::i_clock const& clock,
                                   platform::store_rows& store,
                                   observe::decision_log& log,
                                   kernel::process_id const& name,
                                   bool first_start, handlers handlers)
    : clock_(clock)
    , store_(store)
    , log_(log)
    , handlers_(std::move(handlers))
    , source_(source_of(name, clock.now()))
    , history_(first_start, share_of(name))
{
}

version_recorder::~version_recorder() = default;

void version_recorder::on_configuration(gateway::routing_config const& config)
{
    std::set<kernel::service_id> services;
    for (auto const& route : config.routes)
    {
        if (route.kind != gateway::route_kind::resumable_stream)
            continue;
        for (auto const& it : route.shares)
            services.insert(it.service);
    }
    history_.set_services(std::move(services));
    configured_ = true;
    if (update_withheld())
        handlers_.on_endpoints(list_);
}

void version_recorder::on_endpoints(endpoints list)
{
    list_ = std::move(list);
    listed_ = true;
    resumption::version_history::listing current;
    for (auto const& it : list_)
        current.emplace(it.service, it.software);
    std::erase_if(in_use_,
                  [&](auto const& it) { return !current.contains(it); });
    history_.on_listed(current, clock_.now());
    update_withheld();
    handlers_.on_endpoints(list_);
    proceed();
}

void version_recorder::on_report(wire::fact_report const& report)
{
    for (auto const& it : report.facts)
    {
        if (it.kind == wire::fact_kind::software_version &&
            it.source != source_)
            history_.on_notice({it.key, it.value}, clock_.now());
    }
}

void version_recorder::on_tick(std::uint64_t era)
{
    history_.on_era(era, clock_.now());
    proceed();
}

void version_recorder::on_out_of_step(char const* reason)
{
    if (!published_versions_.known_until)
        log_.write("versions_unconfirmed", "reason={}", reason);
    history_.on_out_of_step(clock_.now());
    proceed();
}

bool version_recorder::confirm()
{
    auto const res = history_.confirm(clock_.now());
    if (res)
        proceed();
    return res;
}

void version_recorder::proceed()
{
    auto const now = clock_.now();
    if (!calling_ && history_.needs_read(now))
        read();
    if (!calling_)
    {
        if (auto const next = history_.next(now))
            write(*next);
    }
    if (update_withheld())
        handlers_.on_endpoints(list_);
    auto versions = history_.snapshot(now);
    if (versions == published_versions_)
        return;
    published_versions_ = std::move(versions);
    handlers_.on_versions(published_versions_);
}

/// Requests may be sent to versions that are in use already: a service whose
/// streams become resumable must not stop serving.
bool version_recorder::update_withheld()
{
    auto const now = clock_.now();
    bool changed = false;
    bool withheld = false;
    for (auto& it : list_)
    {
        auto const next = configured_ &&
                          !in_use_.contains({it.service, it.software}) &&
                          !history_.may_send(it.service, it.software, now);
        changed = changed || next != it.withheld;
        withheld = withheld || next;
        it.withheld = next;
        if (configured_ && !next)
            in_use_.emplace(it.service, it.software);
    }
    settled_ = settled_ || (configured_ && listed_ && !withheld);
    return changed;
}

template <typename Result, typename Apply>
auto version_recorder::on_result(char const* what, Apply apply)
{
    calling_ = true;
    return [this, what, apply = std::move(apply),
            alive = std::weak_ptr(alive_)](Result res)
    {
        if (alive.expired())
            return;
        calling_ = false;
        if (auto const* const error = std::get_if<storage::feed_error>(&res))
        {
            log_.write("versions_call_failed", "call={} {}", what,
                       error->message);
            history_.on_failed(clock_.now());
        }
        else
            apply(std::get<0>(res));
        proceed();
    };
}

void version_recorder::read()
{
    history_.on_read_begun(clock_.now());
    store_.read_all(version_table, call_timeout,
                    on_result<storage::i_row_feed::batch_result>(
                        "read",
                        [this](storage::row_batch const& batch)
                        {
                            history_.on_read(batch, clock_.now());
                            log_.write("versions_read", "rows={} era={}",
                                       batch.rows.size(), batch.position.era);
                        }));
}

void version_recorder::write(storage::table_transaction const& transaction)
{
    std::string keys;
    for (auto const& it : transaction.writes)
        keys += (keys.empty() ? "" : ",") + it.key;
    store_.commit(
        version_table, transaction, call_timeout,
        on_result<platform::store_rows::commit_result>(
            "write",
            [this, keys](storage::row_commit const& res)
            {
                if (res.committed)
                    history_.on_committed(res.rows.position, clock_.now());
                else
                    history_.on_conflict(res.rows.rows, clock_.now());
                log_.write("versions_written", "rows=\"{}\" committed={}", keys,
                           res.committed);
                send_notices();
            }));
}

void version_recorder::send_notices()
{
    wire::fact_report report;
    for (auto const& it : history_.take_notices())
        report.facts.push_back({wire::fact_kind::software_version,
                                it.key,
                                source_,
                                it.row_version,
                                ++revision_,
                                {}});
    if (!report.facts.empty())
        handlers_.on_news(std::move(report));
}

} // namespace endiveward::app
