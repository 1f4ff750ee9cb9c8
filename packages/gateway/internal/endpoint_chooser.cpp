#include "gateway/endpoint_chooser.hpp"

#include "gateway/internal/endpoint_candidate.hpp"

#include "gateway/report_share.hpp"
#include "gateway/speed_costs.hpp"
#include "gateway/weights_view.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace endiveward::gateway
{

namespace
{

using ms = std::chrono::duration<double, std::milli>;

/// Approximate time for which a plain call occupies a slot. Only its ratio to
/// the other costs matters.
constexpr double plain_call_ms = 40;
/// Transfers between availability zones take twice as long.
constexpr double cross_zone_transfer = 2;
/// An endpoint at which a request is expected to wait no longer than this
/// counts as idle.
constexpr std::chrono::milliseconds idle_wait{50};
/// One in this many prompts that are mostly their own is saved.
constexpr std::uint64_t own_prompts_per_save = 8;
/// Share of an engine's memory that is left for requests that other routers
/// have sent since its last report. In bursts of the documented deployments
/// some 13,000 tokens arrive at an engine between two reports, 200 ms.
constexpr double unreported_memory_share = 0.06;
/// While weights are replaced, a request that is expected to wait longer is
/// told of no source, since that may have loaded the newer ones by then. A load
/// takes longer than this.
constexpr std::chrono::milliseconds max_fetch_delay{500};
/// Fewer tokens than this are not worth the cost of a transfer.
constexpr std::uint32_t min_fetch_tokens = 48;

/// Returns the prefix that the requests of one session or file share: all parts
/// but the last, which is specific to the request.
prefix_level const& shared_level(std::vector<prefix_level> const& levels)
{
    return levels.size() > 1 ? levels[levels.size() - 2] : levels.back();
}

/// Whether a prompt is saved to the KV cache store. The whole prompt is
/// transferred and stored, although only its shared prefix is used again. Of
/// prompts that are mostly their own, a few are saved, since a prefix may have
/// no others.
bool worth_saving(std::uint32_t shared_tokens, std::uint32_t total_tokens,
                  std::uint64_t seed)
{
    return total_tokens - shared_tokens <= shared_tokens / 2 ||
           seed % own_prompts_per_save == 0;
}

bool contains(std::vector<kernel::endpoint_id> const& list,
              kernel::endpoint_id const& id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

bool has_required_software(endpoint_record const& it,
                           endpoint_requirements const& requirements)
{
    return !requirements.software ||
           it.entry().software == *requirements.software;
}

/// A plain call begins at once if a slot is free.
request_work plain_work(double wait_ms)
{
    return {ms(std::max(0.0, wait_ms - plain_call_ms)), ms(plain_call_ms)};
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

/// The prefix levels of the prompt, and where they are cached, for one model
/// version.
struct endpoint_chooser::prefix_lookup
{
    struct holder
    {
        endpoint_record const* endpoint = nullptr;
        std::uint32_t cached_tokens = 0;
    };

    std::string salt;
    std::vector<prefix_level> levels;
    /// Endpoints that have cached a part of the prompt, in descending order of
    /// cached tokens.
    std::vector<holder> holders;
    /// The endpoint with the highest rendezvous hash for the prefix, on which
    /// all processes agree.
    endpoint_record const* home = nullptr;
    /// The KV cache store for this prefix, chosen by rendezvous hash, or null.
    std::string const* store = nullptr;
    /// Whether newer weights are being loaded in the place of these.
    bool is_replaced = false;

    std::uint32_t cached_tokens_at(endpoint_record const& it) const
    {
        auto const found =
            std::find_if(holders.begin(), holders.end(),
                         [&](holder const& h) { return h.endpoint == &it; });
        return found == holders.end() ? 0 : found->cached_tokens;
    }

    /// Returns the source from which an endpoint would fetch the prefix: the
    /// one with the most cached tokens, preferably in the endpoint's own zone.
    /// `wait` is the expected time until it fetches.
    holder source_for(endpoint_record const& it,
                      std::chrono::milliseconds wait) const
    {
        holder res;
        for (auto const& h : holders)
        {
            if (h.cached_tokens < res.cached_tokens)
                break;
            if (h.endpoint != &it && is_source(*h.endpoint, wait) &&
                (res.endpoint == nullptr ||
                 h.endpoint->entry().zone == it.entry().zone))
                res = h;
        }
        return res;
    }

    bool is_source(endpoint_record const& it,
                   std::chrono::milliseconds wait) const
    {
        if (!is_replaced)
            return true;
        return it.linked() &&
               wait <= (it.reloading() ? idle_wait : max_fetch_delay);
    }
};

/// The inputs of one choice, and values that are computed once for all
/// endpoints.
struct endpoint_chooser::selection_context
{
    record_list endpoints;
    service const& target;
    endpoint_requirements const& requirements;
    weights_view const& weights;
    kernel::steady_time now;
    speed_costs costs;
    /// Average number of uncached prompt tokens of a request that has no output
    /// yet.
    double tokens_per_request = 0;
    std::map<weights::weight_version, prefix_lookup> lookups;
    /// No value if the prompt is placed without regard to others.
    std::optional<prompt_mix_plan> mix;
};

endpoint_chooser::endpoint_chooser(placement_settings settings,
                                   kernel::zone_id own_zone)
    : settings_(settings)
    , mix_(settings)
    , own_zone_(std::move(own_zone))
{
}

std::optional<placement_choice>
endpoint_chooser::choose(record_list endpoints, service const& target,
                         endpoint_requirements const& requirements,
                         weights_view const& weights,
                         kernel::steady_time now) const
{
    selection_context context{
        endpoints,
        target,
        requirements,
        weights,
        now,
        {settings_.prefers_by_speed ? endpoints : record_list(),
         requirements.due - now, requirements.target_latency},
        0,
        {},
        {}};
    if (target.engine)
        context.mix = mix_.make_plan(endpoints, requirements, now);
    double pending = 0;
    double unanswered = 0;
    for (auto const& it : endpoints)
    {
        pending += static_cast<double>(it->pending_tokens());
        unanswered += it->unanswered();
    }
    context.tokens_per_request =
        (pending + settings_.default_prompt_tokens) / (unanswered + 1);
    auto candidates = make_candidates(sample(context), context);
    // The weights of all sampled endpoints may have expired.
    if (candidates.empty())
        candidates = make_candidates({}, context);
    else if (std::any_of(candidates.begin(), candidates.end(),
                         [](candidate const& it) { return it.late; }))
        candidates = compare_all(context);
    auto* best = cheapest(candidates, std::chrono::milliseconds::max());
    if (best == nullptr)
        return std::nullopt;
    if (requirements.compares_all)
    {
        auto* capable = with_capacity(candidates, requirements);
        if (capable == nullptr)
        {
            candidates = make_candidates({}, context);
            capable = by_headroom(candidates, requirements);
            best = cheapest(candidates, std::chrono::milliseconds::max());
        }
        if (capable != nullptr)
            best = capable;
        else
            describe_shortage(candidates, best->choice);
    }
    else if (best->choice.wait > requirements.max_wait)
    {
        if (auto* const idle = cheapest(candidates, idle_wait))
            best = idle;
    }
    if (requirements.prompt)
        best->choice.levels =
            lookup_prefix(best->choice.version, context).levels;
    best->choice.mix =
        prompt_mix::describe(context.mix, *best->choice.endpoint);
    return std::move(best->choice);
}

/// Evaluates the endpoints that a sample leaves, or all of them if it is empty.
std::vector<endpoint_chooser::candidate>
endpoint_chooser::make_candidates(record_set const& sampled,
                                  selection_context& context) const
{
    std::vector<candidate> res;
    for (auto const& it : context.endpoints)
    {
        if (!is_candidate(*it, sampled, context))
            continue;
        if (auto evaluated = make_candidate(it, context))
            res.push_back(std::move(*evaluated));
    }
    return res;
}

/// Evaluates all endpoints for a request that some of the sampled ones would
/// answer too late.
std::vector<endpoint_chooser::candidate>
endpoint_chooser::compare_all(selection_context& context) const
{
    auto res = make_candidates({}, context);
    auto const scale =
        context.target.engine
            ? context.tokens_per_request / settings_.prefill_tokens_per_ms
            : plain_call_ms;
    for (auto& it : res)
        it.cost +=
            spread_cost(rendezvous_rank(it.choice.endpoint->entry().id.str(),
                                        ~context.requirements.seed),
                        ms(scale))
                .count();
    return res;
}

/// Selects a pseudo-random sample of the endpoints that can take the request,
/// seeded by its id. Load reports are delayed; if all processes chose the least
/// loaded of all endpoints, they would overload it together.
endpoint_chooser::record_set
endpoint_chooser::sample(selection_context const& context) const
{
    std::vector<std::pair<std::uint64_t, endpoint_record const*>> ranked;
    for (auto const& it : context.endpoints)
    {
        auto const& id = it->entry().id;
        if (it->available(context.now) && !it->reloading() &&
            has_required_software(*it, context.requirements) &&
            !contains(context.requirements.excluded, id))
            ranked.emplace_back(
                rendezvous_rank(id.str(), context.requirements.seed), it.get());
    }
    record_set res;
    auto const take = [&](auto first, auto last, std::size_t n)
    {
        auto const end =
            first + std::min(last - first, static_cast<std::ptrdiff_t>(n));
        std::partial_sort(first, end, last, std::greater<>());
        for (; first != end; ++first)
            res.push_back(first->second);
    };
    // One endpoint for prompts of the other kind is compared in case that all
    // of this kind are busy.
    auto const others = !context.mix
                            ? ranked.end()
                            : std::partition(ranked.begin(), ranked.end(),
                                             [&](auto const& it) {
                                                 return prompt_mix::prefers(
                                                     *context.mix, *it.second);
                                             });
    take(ranked.begin(), others, settings_.sampled_endpoints);
    take(others, ranked.end(), 1);
    return res;
}

/// An endpoint outside the sample is a candidate if it has cached the shared
/// prefix or is the prefix's home.
bool endpoint_chooser::is_candidate(endpoint_record const& it,
                                    record_set const& sampled,
                                    selection_context& context) const
{
    if (sampled.empty() ||
        std::find(sampled.begin(), sampled.end(), &it) != sampled.end())
        return true;
    if (!context.requirements.prompt)
        return false;
    auto const& lookup =
        lookup_prefix(context.weights.version_to_request(
                          it, context.requirements.prompt->model, context.now),
                      context);
    if (lookup.levels.empty())
        return false;
    return lookup.home == &it ||
           lookup.cached_tokens_at(it) >= shared_level(lookup.levels).tokens;
}

std::optional<endpoint_chooser::candidate>
endpoint_chooser::make_candidate(std::shared_ptr<endpoint_record> const& it,
                                 selection_context& context) const
{
    auto const& requirements = context.requirements;
    auto const now = context.now;
    if (!it->available(now) || !has_required_software(*it, requirements) ||
        contains(requirements.excluded, it->entry().id))
        return std::nullopt;
    candidate res;
    res.choice.endpoint = it;
    auto const nominal_wait = expected_wait_ms(*it, context);
    res.choice.work = context.target.engine
                          ? request_work{ms(nominal_wait), ms(0)}
                          : plain_work(nominal_wait);
    res.speed = it->speed().current(now);
    auto const wait = nominal_wait / res.speed;
    res.cost += wait;
    res.choice.wait =
        std::chrono::milliseconds(static_cast<std::int64_t>(wait));
    res.choice.time_to_first_byte = res.choice.wait;
    if (requirements.prompt)
    {
        auto const& model = requirements.prompt->model;
        auto const status = context.weights.status(*it, model, now);
        // An expired endpoint without a connected agent is asked for the
        // target version, which it refuses unless it has loaded it.
        if (status == weights_status::reloading ||
            status == weights_status::expired)
            res.cost += ms(settings_.reloading_cost).count();
        if (status == weights_status::outdated)
            res.cost += ms(settings_.outdated_weights_cost).count();
        res.choice.weights = status;
        res.choice.version =
            context.weights.version_to_request(*it, model, now);
        if (!context.weights.may_start(model, res.choice.version,
                                       now + res.choice.wait))
            return std::nullopt;
        add_prompt_costs(res, context);
    }
    res.late = context.costs.late(res.choice.work, res.speed);
    res.cost += context.costs.cost(*it, res.choice.work, res.speed).count();
    if (it->entry().zone != own_zone_)
        res.cost += ms(settings_.cross_zone_cost).count();
    res.cost += it->failure_rate(now) * ms(settings_.failure_cost).count();
    if (it->stalled(now))
        res.cost += ms(settings_.failure_cost).count();
    return res;
}

/// Returns the expected wait at an endpoint of nominal speed.
double
endpoint_chooser::expected_wait_ms(endpoint_record const& it,
                                   selection_context const& context) const
{
    auto const requests = it.in_flight() + it.external_requests(context.now);
    if (!context.target.engine)
    {
        auto const slots = std::max<double>(it.entry().slots, 1);
        return plain_call_ms * requests / slots;
    }
    auto const external = it.linked() ? it.external_unanswered(context.now)
                                      : it.external_requests(context.now) *
                                            settings_.unanswered_share;
    auto const pending = static_cast<double>(it.pending_tokens()) +
                         external * context.tokens_per_request;
    return pending / settings_.prefill_tokens_per_ms +
           requests * settings_.step_ms_per_request;
}

endpoint_chooser::prefix_lookup const&
endpoint_chooser::lookup_prefix(weights::weight_version version,
                                selection_context& context) const
{
    auto const [found, is_new] = context.lookups.try_emplace(version);
    auto& lookup = found->second;
    if (!is_new)
        return lookup;
    auto const& prompt = *context.requirements.prompt;
    lookup.salt = make_cache_salt(context.requirements.cache_group,
                                  prompt.model, version);
    lookup.levels = prefix_levels(prompt, lookup.salt);
    if (lookup.levels.empty())
        return lookup;
    auto const& shared = shared_level(lookup.levels);
    lookup.is_replaced =
        context.weights.is_replaced(prompt.model, version, context.endpoints);
    std::pair<double, std::uint64_t> best_home;
    for (auto const& it : context.endpoints)
    {
        if (it->version_of(prompt.model) != version)
            continue;
        // A fetch from a source that does not respond costs some hundred
        // milliseconds.
        if (!it->can_serve_cache(context.now) || it->stalled(context.now))
            continue;
        auto const cached_tokens =
            it->cache().cached_tokens(lookup.levels, context.now);
        if (cached_tokens >= min_fetch_tokens)
            lookup.holders.push_back({it.get(), cached_tokens});
        // The home of a prefix has to take its requests most of the time.
        if (it->reloading() || !it->available(context.now) ||
            it->limit().rate())
            continue;
        auto const rank = home_rank(
            settings_.prefers_by_speed ? it->speed().home_weight() : 1,
            rendezvous_rank(it->entry().id.str(), shared.key));
        if (lookup.home == nullptr || rank > best_home)
        {
            lookup.home = it.get();
            best_home = rank;
        }
    }
    std::uint64_t best = 0;
    for (auto const& it : context.requirements.kv_stores)
    {
        if (lookup.is_replaced)
            break;
        auto const rank = rendezvous_rank(it, shared.key);
        if (lookup.store == nullptr || rank > best)
        {
            lookup.store = &it;
            best = rank;
        }
    }
    std::stable_sort(lookup.holders.begin(), lookup.holders.end(),
                     [](auto const& a, auto const& b)
                     { return a.cached_tokens > b.cached_tokens; });
    return lookup;
}

void endpoint_chooser::add_prompt_costs(candidate& evaluated,
                                        selection_context& context) const
{
    auto& choice = evaluated.choice;
    auto const& prompt = *context.requirements.prompt;
    auto const& lookup = lookup_prefix(choice.version, context);
    auto const& endpoint = *choice.endpoint;
    choice.cache_salt = lookup.salt;
    auto const total =
        std::max(prompt.prompt_tokens,
                 lookup.levels.empty() ? 0 : lookup.levels.back().tokens);
    std::uint32_t reusable = 0;
    if (!lookup.levels.empty() && context.target.engine)
    {
        choice.shared = shared_level(lookup.levels);
        auto const shared = choice.shared.tokens;
        auto const cached_tokens = lookup.cached_tokens_at(endpoint);
        auto const source = lookup.source_for(endpoint, choice.wait);
        reusable = std::max(cached_tokens, source.cached_tokens);
        // The source is set even if nothing seems to be missing, since the
        // cache estimate of the endpoint may be wrong and an unneeded source
        // costs nothing.
        if (source.endpoint != nullptr)
            choice.kv.source = address_of(source.endpoint->entry());
        if (source.cached_tokens > cached_tokens)
            evaluated.cost += transfer_ms(endpoint, *source.endpoint,
                                          source.cached_tokens - cached_tokens,
                                          context.target);
        if (reusable + settings_.min_store_tokens <= shared &&
            lookup.store != nullptr)
        {
            // Another process may have caused the prefix to be saved there; a
            // miss costs only a millisecond.
            choice.kv.source = *lookup.store;
            if (worth_saving(shared, total, context.requirements.seed))
                choice.kv.target = *lookup.store;
        }
        // Requests that share an uncached prefix are directed to its home, so
        // that it is computed only once.
        if (lookup.home != &endpoint && reusable < shared)
            evaluated.cost += context.mix
                                  ? mix_.away_from_home_ms(shared - reusable)
                                  : ms(settings_.away_from_home_cost).count() *
                                        (shared - reusable) / shared;
        else if (lookup.home != &endpoint && cached_tokens < shared)
            evaluated.cost += ms(settings_.fetch_cost).count();
    }
    choice.reusable_tokens = reusable;
    choice.footprint.uncached_tokens = total - std::min(total, reusable);
    choice.footprint.memory_tokens = total + prompt.max_output_tokens;
    auto const nominal_prefill =
        choice.footprint.uncached_tokens / settings_.prefill_tokens_per_ms;
    auto const prefill = nominal_prefill / evaluated.speed;
    choice.work.own += ms(nominal_prefill);
    evaluated.cost += prefill;
    choice.time_to_first_byte +=
        std::chrono::milliseconds(static_cast<std::int64_t>(prefill));
    if (context.target.engine)
        evaluated.cost += memory_cost(choice, context);
    if (!context.mix)
        return;
    choice.footprint.is_long = context.mix->is_long;
    evaluated.cost += mix_.misplacement_ms(*context.mix, endpoint,
                                           choice.footprint.uncached_tokens);
}

double endpoint_chooser::transfer_ms(endpoint_record const& to,
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

/// Also sets whether the request fits, and has a share in what is free.
double endpoint_chooser::memory_cost(placement_choice& choice,
                                     selection_context const& context) const
{
    auto const& endpoint = *choice.endpoint;
    auto const& footprint = choice.footprint;
    auto const capacity =
        static_cast<double>(context.target.engine->kv_capacity_tokens);
    auto const wait_left = std::max(context.requirements.max_wait - choice.wait,
                                    std::chrono::milliseconds(0));
    free_capacity free{ms(wait_left).count() * settings_.prefill_tokens_per_ms,
                       std::numeric_limits<double>::infinity()};
    if (capacity <= 0)
    {
        choice.has_share =
            has_report_share(endpoint, footprint, free, context.requirements);
        return 0;
    }
    auto external = static_cast<double>(endpoint.external_memory());
    if (!endpoint.linked())
    {
        auto const mean = endpoint.in_flight() > 0
                              ? static_cast<double>(endpoint.memory_tokens()) /
                                    endpoint.in_flight()
                              : static_cast<double>(footprint.memory_tokens);
        external = endpoint.external_requests(context.now) * mean;
    }
    auto const held = static_cast<double>(endpoint.memory_tokens()) + external;
    auto const used = held + footprint.memory_tokens;
    choice.fits_memory =
        used + std::min(held, unreported_memory_share * capacity) <= capacity;
    free.memory_tokens = (1 - unreported_memory_share) * capacity - held;
    choice.has_share =
        has_report_share(endpoint, footprint, free, context.requirements);
    return used > capacity
               ? ms(settings_.memory_full_cost).count() * used / capacity
               : 0;
}

} // namespace endiveward::gateway
