#include "gateway/endpoint_chooser.hpp"

#include "gateway/weights_view.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace endiveward::gateway
{

namespace
{

using ms = std::chrono::duration<double, std::milli>;

/// A plain call takes about this long on its slot; only the ratio to the other
/// costs matters.
constexpr double plain_call_ms = 40;
/// Transfers between zones take twice as long.
constexpr double cross_zone_transfer = 2;
/// Fewer tokens than this are not worth a transfer.
constexpr std::uint32_t least_fetched_tokens = 48;

std::uint64_t rank_of(kernel::endpoint_id const& id, std::uint64_t prefix)
{
    return XXH3_64bits_withSeed(id.str().data(), id.str().size(), prefix);
}

/// The level that requests of one session or file share: all but the last
/// part, which belongs to the request.
prefix_level const& shared_level(std::vector<prefix_level> const& levels)
{
    return levels.size() > 1 ? levels[levels.size() - 2] : levels.back();
}

bool has(std::vector<kernel::endpoint_id> const& list,
         kernel::endpoint_id const& id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// The endpoint that all processes agree on as the first for a prefix, among
/// those that serve the version.
endpoint_record const* home_of(endpoint_chooser::record_list endpoints,
                               std::uint64_t prefix,
                               kernel::model_id const& model,
                               weights::weight_version version,
                               kernel::steady_time now)
{
    endpoint_record const* res = nullptr;
    std::uint64_t best = 0;
    for (auto const& it : endpoints)
    {
        if (!it->available(now) || it->reloading() ||
            it->version_of(model) != version)
            continue;
        auto const rank = rank_of(it->entry().id, prefix);
        if (res == nullptr || rank > best)
        {
            res = it.get();
            best = rank;
        }
    }
    return res;
}

std::string address_of(endpoint_entry const& entry)
{
    return fmt::format("{}:{}", entry.host, entry.port);
}

} // namespace

std::string make_cache_salt(std::string const& cache_group,
                            kernel::model_id const& model,
                            weights::weight_version version)
{
    return fmt::format("{}/{}/{}", cache_group, model.str(), version);
}

struct endpoint_chooser::offer
{
    placement_choice choice;
    double cost = 0;
};

endpoint_chooser::endpoint_chooser(placement_settings settings,
                                   kernel::zone_id own_zone)
    : settings_(settings)
    , own_zone_(std::move(own_zone))
{
}

std::optional<placement_choice>
endpoint_chooser::choose(record_list endpoints, service const& target,
                         demand const& wanted, weights_view const& weights,
                         kernel::steady_time now) const
{
    std::optional<offer> best;
    for (auto const& it : endpoints)
    {
        auto made = offer_of(it, endpoints, target, wanted, weights, now);
        if (made && (!best || made->cost < best->cost))
            best = std::move(made);
    }
    if (!best)
        return std::nullopt;
    return std::move(best->choice);
}

std::optional<endpoint_chooser::offer>
endpoint_chooser::offer_of(std::shared_ptr<endpoint_record> const& it,
                           record_list endpoints, service const& target,
                           demand const& wanted, weights_view const& weights,
                           kernel::steady_time now) const
{
    if (!it->available(now) || has(wanted.excluded, it->entry().id))
        return std::nullopt;
    offer res;
    res.choice.endpoint = it;
    if (wanted.prompt)
    {
        auto const& model = wanted.prompt->model;
        auto const standing = weights.standing(*it, model, now);
        if (standing == weights_standing::reloading ||
            standing == weights_standing::expired)
            res.cost += ms(settings_.reloading).count();
        if (standing == weights_standing::old)
            res.cost += ms(settings_.old_weights).count();
        res.choice.version = weights.version_to_ask(*it, model, now);
        res.choice.cache_salt =
            make_cache_salt(wanted.cache_group, model, res.choice.version);
    }
    double pending = 0;
    double in_flight = 0;
    for (auto const& each : endpoints)
    {
        pending += static_cast<double>(each->pending_tokens());
        in_flight += each->in_flight();
    }
    auto const wait =
        wait_ms(*it, target, in_flight > 0 ? pending / in_flight : 0, now);
    res.cost += wait;
    res.choice.first_answer =
        std::chrono::milliseconds(static_cast<std::int64_t>(wait));
    if (wanted.prompt && target.engine)
        add_prompt(res, endpoints, target, wanted, now);
    if (it->entry().zone != own_zone_)
        res.cost += ms(settings_.cross_zone).count();
    res.cost += it->failure_share(now) * ms(settings_.failing).count();
    if (it->silent(now))
        res.cost += ms(settings_.failing).count();
    return res;
}

double endpoint_chooser::wait_ms(endpoint_record const& it,
                                 service const& target,
                                 double pending_per_request,
                                 kernel::steady_time now) const
{
    auto const others = it.others(now);
    auto const requests = it.in_flight() + others;
    if (!target.engine)
    {
        auto const slots = std::max<double>(it.entry().slots, 1);
        return plain_call_ms * requests / slots;
    }
    auto const pending =
        static_cast<double>(it.pending_tokens()) + others * pending_per_request;
    return pending / settings_.prefill_tokens_per_ms +
           requests * settings_.step_ms_per_request;
}

/// The endpoint to fetch the prefix from: the one that holds most of it.
endpoint_chooser::source endpoint_chooser::source_for(
    endpoint_record const& self, record_list endpoints,
    std::vector<prefix_level> const& levels, kernel::model_id const& model,
    weights::weight_version version, kernel::steady_time now) const
{
    source res;
    for (auto const& it : endpoints)
    {
        if (it.get() == &self || it->version_of(model) != version)
            continue;
        auto const held = it->cache().held(levels, now);
        auto const nearer = held == res.held && res.from != nullptr &&
                            it->entry().zone == self.entry().zone &&
                            res.from->entry().zone != self.entry().zone;
        if (held > res.held || (nearer && held > 0))
            res = {it.get(), held};
    }
    return res;
}

void endpoint_chooser::add_prompt(offer& made, record_list endpoints,
                                  service const& target, demand const& wanted,
                                  kernel::steady_time now) const
{
    auto const& prompt = *wanted.prompt;
    auto& choice = made.choice;
    auto const& self = *choice.endpoint;
    auto const levels = prefix_levels(prompt, choice.cache_salt);
    auto const total = std::max(prompt.prompt_tokens,
                                levels.empty() ? 0 : levels.back().tokens);
    auto const held = self.cache().held(levels, now);
    auto known = held;
    if (!levels.empty())
    {
        auto const& shared = shared_level(levels);
        auto const from = source_for(self, endpoints, levels, prompt.model,
                                     choice.version, now);
        // Named even if nothing is missing: what is believed of the endpoint
        // may be wrong, and a source that is not needed costs nothing.
        if (from.from != nullptr && from.held >= least_fetched_tokens)
            choice.kv.source = address_of(from.from->entry());
        if (from.held > held)
        {
            known = from.held;
            made.cost += fetch_ms(self, *from.from, from.held - held, target);
        }
        if (known < shared.tokens && wanted.kv_store)
        {
            // Another process may have had it saved; a miss costs a
            // millisecond.
            choice.kv.source = *wanted.kv_store;
            choice.kv.target = *wanted.kv_store;
        }
        // Requests that share a prefix which is held nowhere meet at its home.
        auto const* const home =
            home_of(endpoints, shared.key, prompt.model, choice.version, now);
        if (home != &self && known < shared.tokens)
            made.cost += ms(settings_.away_from_home).count() *
                         (shared.tokens - known) / shared.tokens;
        else if (home != &self && held < shared.tokens)
            made.cost += ms(settings_.fetch).count();
    }
    if (!levels.empty())
        choice.shared = shared_level(levels);
    choice.known_tokens = known;
    choice.footprint.uncached_tokens = total - std::min(total, known);
    choice.footprint.memory_tokens = total + prompt.max_output_tokens;
    made.cost +=
        choice.footprint.uncached_tokens / settings_.prefill_tokens_per_ms;
    choice.first_answer =
        std::chrono::milliseconds(static_cast<std::int64_t>(made.cost));
    made.cost += memory_cost(self, choice.footprint, target, now);
}

double endpoint_chooser::fetch_ms(endpoint_record const& to,
                                  endpoint_record const& from,
                                  std::uint32_t tokens,
                                  service const& target) const
{
    auto const bytes = static_cast<double>(tokens) *
                       static_cast<double>(target.engine->kv_token_bytes);
    auto const factor =
        from.entry().zone == to.entry().zone ? 1 : cross_zone_transfer;
    return ms(settings_.transfer_setup).count() +
           factor * bytes / settings_.transfer_bytes_per_ms;
}

double endpoint_chooser::memory_cost(endpoint_record const& self,
                                     request_footprint const& footprint,
                                     service const& target,
                                     kernel::steady_time now) const
{
    auto const capacity =
        static_cast<double>(target.engine->kv_capacity_tokens);
    if (capacity <= 0)
        return 0;
    auto foreign = static_cast<double>(self.foreign_memory());
    if (!self.linked())
    {
        auto const mean =
            self.in_flight() > 0
                ? static_cast<double>(self.memory_tokens()) / self.in_flight()
                : static_cast<double>(footprint.memory_tokens);
        foreign = self.others(now) * mean;
    }
    auto const used = static_cast<double>(self.memory_tokens()) + foreign +
                      footprint.memory_tokens;
    return used > capacity ? ms(settings_.memory_full).count() * used / capacity
                           : 0;
}

} // namespace endiveward::gateway
