#include "gateway/endpoint_chooser.hpp"

#include "gateway/weights_view.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <functional>

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
/// An endpoint at which a request is expected to begin within this is idle.
constexpr std::chrono::milliseconds idle_wait{50};
/// Fewer tokens than this are not worth a transfer.
constexpr std::uint32_t least_fetched_tokens = 48;

std::uint64_t rank_of(std::string const& id, std::uint64_t prefix)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), prefix);
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

/// How the prompt lies in the caches under one version of the weights.
struct endpoint_chooser::prompt_view
{
    struct holder
    {
        endpoint_record const* at = nullptr;
        std::uint32_t held = 0;
    };

    std::string salt;
    std::vector<prefix_level> levels;
    /// Endpoints that hold a part, most first.
    std::vector<holder> holders;
    /// The endpoint that all processes agree on as the first for the prefix.
    endpoint_record const* home = nullptr;
    /// The store of KV cache that takes this prefix, or null.
    std::string const* store = nullptr;

    std::uint32_t held_by(endpoint_record const& it) const
    {
        auto const found =
            std::find_if(holders.begin(), holders.end(),
                         [&](holder const& h) { return h.at == &it; });
        return found == holders.end() ? 0 : found->held;
    }

    /// What an endpoint would fetch the prefix from: the one that holds most,
    /// in its own zone if several do.
    holder source_for(endpoint_record const& it) const
    {
        holder res;
        for (auto const& h : holders)
        {
            if (h.held < res.held)
                break;
            if (h.at != &it &&
                (res.at == nullptr || h.at->entry().zone == it.entry().zone))
                res = h;
        }
        return res;
    }
};

/// One choice: its inputs and what is computed once for all endpoints.
struct endpoint_chooser::search
{
    record_list endpoints;
    service const& target;
    demand const& wanted;
    weights_view const& weights;
    kernel::steady_time now;
    /// Uncached tokens of a request that has no output yet, on average.
    double tokens_per_request = 0;
    std::map<weights::weight_version, prompt_view> views;
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
    search context{endpoints, target, wanted, weights, now, 0, {}};
    double pending = 0;
    double unanswered = 0;
    for (auto const& it : endpoints)
    {
        pending += static_cast<double>(it->pending_tokens());
        unanswered += it->unanswered();
    }
    context.tokens_per_request =
        (pending + settings_.usual_prompt_tokens) / (unanswered + 1);
    auto const sampled = sample(context);
    std::vector<offer> offers;
    for (auto const& it : endpoints)
    {
        if (!is_candidate(*it, sampled, context))
            continue;
        if (auto made = offer_of(it, context))
            offers.push_back(std::move(*made));
    }
    auto* best = cheapest(offers, std::chrono::milliseconds::max());
    if (best == nullptr)
        return std::nullopt;
    if (best->choice.wait > wanted.admitted_wait)
    {
        if (auto* const idle = cheapest(offers, idle_wait))
            best = idle;
    }
    if (wanted.prompt)
        best->choice.levels = view_of(best->choice.version, context).levels;
    return std::move(best->choice);
}

/// The offer of least cost among those with at most this wait, or null.
endpoint_chooser::offer*
endpoint_chooser::cheapest(std::vector<offer>& offers,
                           std::chrono::milliseconds longest_wait)
{
    offer* res = nullptr;
    for (auto& it : offers)
    {
        if (it.choice.wait <= longest_wait &&
            (res == nullptr || it.cost < res->cost))
            res = &it;
    }
    return res;
}

/// Some endpoints that can take the request, drawn by its id. The load of an
/// endpoint is known with a delay; if all processes took the least loaded one
/// of many, they would overload it together.
endpoint_chooser::record_set
endpoint_chooser::sample(search const& context) const
{
    std::vector<std::pair<std::uint64_t, endpoint_record const*>> ranked;
    for (auto const& it : context.endpoints)
    {
        auto const& id = it->entry().id;
        if (it->available(context.now) && !it->reloading() &&
            !has(context.wanted.excluded, id))
            ranked.emplace_back(rank_of(id.str(), context.wanted.seed),
                                it.get());
    }
    auto const n = std::min(ranked.size(), settings_.sampled_endpoints);
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(n),
                      ranked.end(), std::greater<>());
    record_set res;
    for (std::size_t k = 0; k < n; ++k)
        res.push_back(ranked[k].second);
    return res;
}

/// Besides the sample, an endpoint is a candidate if it has the prefix or is
/// its home.
bool endpoint_chooser::is_candidate(endpoint_record const& it,
                                    record_set const& sampled,
                                    search& context) const
{
    if (sampled.empty() ||
        std::find(sampled.begin(), sampled.end(), &it) != sampled.end())
        return true;
    if (!context.wanted.prompt)
        return false;
    auto const& view =
        view_of(context.weights.version_to_ask(it, context.wanted.prompt->model,
                                               context.now),
                context);
    if (view.levels.empty())
        return false;
    return view.home == &it ||
           view.held_by(it) >= shared_level(view.levels).tokens;
}

std::optional<endpoint_chooser::offer>
endpoint_chooser::offer_of(std::shared_ptr<endpoint_record> const& it,
                           search& context) const
{
    auto const& wanted = context.wanted;
    auto const now = context.now;
    if (!it->available(now) || has(wanted.excluded, it->entry().id))
        return std::nullopt;
    offer res;
    res.choice.endpoint = it;
    auto const wait = wait_ms(*it, context);
    res.cost += wait;
    res.choice.wait =
        std::chrono::milliseconds(static_cast<std::int64_t>(wait));
    res.choice.first_answer = res.choice.wait;
    if (wanted.prompt)
    {
        auto const& model = wanted.prompt->model;
        auto const standing = context.weights.standing(*it, model, now);
        if (standing == weights_standing::reloading ||
            standing == weights_standing::expired)
            res.cost += ms(settings_.reloading).count();
        if (standing == weights_standing::old)
            res.cost += ms(settings_.old_weights).count();
        res.choice.version = context.weights.version_to_ask(*it, model, now);
        add_prompt(res, context);
    }
    if (it->entry().zone != own_zone_)
        res.cost += ms(settings_.cross_zone).count();
    res.cost += it->failure_share(now) * ms(settings_.failing).count();
    if (it->silent(now))
        res.cost += ms(settings_.failing).count();
    return res;
}

double endpoint_chooser::wait_ms(endpoint_record const& it,
                                 search const& context) const
{
    auto const requests = it.in_flight() + it.others(context.now);
    if (!context.target.engine)
    {
        auto const slots = std::max<double>(it.entry().slots, 1);
        return plain_call_ms * requests / slots;
    }
    auto const foreign =
        it.linked() ? it.foreign_unanswered(context.now)
                    : it.others(context.now) * settings_.unanswered_share;
    auto const pending = static_cast<double>(it.pending_tokens()) +
                         foreign * context.tokens_per_request;
    return pending / settings_.prefill_tokens_per_ms +
           requests * settings_.step_ms_per_request;
}

endpoint_chooser::prompt_view const&
endpoint_chooser::view_of(weights::weight_version version,
                          search& context) const
{
    auto const [found, is_new] = context.views.try_emplace(version);
    auto& view = found->second;
    if (!is_new)
        return view;
    auto const& prompt = *context.wanted.prompt;
    view.salt =
        make_cache_salt(context.wanted.cache_group, prompt.model, version);
    view.levels = prefix_levels(prompt, view.salt);
    if (view.levels.empty())
        return view;
    auto const& shared = shared_level(view.levels);
    std::uint64_t best = 0;
    for (auto const& it : context.endpoints)
    {
        if (it->version_of(prompt.model) != version)
            continue;
        // A source that does not answer costs some hundred milliseconds.
        if (!it->available(context.now) || it->silent(context.now))
            continue;
        auto const held = it->cache().held(view.levels, context.now);
        if (held >= least_fetched_tokens)
            view.holders.push_back({it.get(), held});
        if (it->reloading())
            continue;
        auto const rank = rank_of(it->entry().id.str(), shared.key);
        if (view.home == nullptr || rank > best)
        {
            view.home = it.get();
            best = rank;
        }
    }
    best = 0;
    for (auto const& it : context.wanted.kv_stores)
    {
        auto const rank = rank_of(it, shared.key);
        if (view.store == nullptr || rank > best)
        {
            view.store = &it;
            best = rank;
        }
    }
    std::stable_sort(view.holders.begin(), view.holders.end(),
                     [](auto const& a, auto const& b)
                     { return a.held > b.held; });
    return view;
}

void endpoint_chooser::add_prompt(offer& made, search& context) const
{
    auto& choice = made.choice;
    auto const& prompt = *context.wanted.prompt;
    auto const& view = view_of(choice.version, context);
    auto const& self = *choice.endpoint;
    choice.cache_salt = view.salt;
    auto const total =
        std::max(prompt.prompt_tokens,
                 view.levels.empty() ? 0 : view.levels.back().tokens);
    std::uint32_t known = 0;
    if (!view.levels.empty() && context.target.engine)
    {
        choice.shared = shared_level(view.levels);
        auto const shared = choice.shared.tokens;
        auto const held = view.held_by(self);
        auto const source = view.source_for(self);
        known = std::max(held, source.held);
        // Named even if nothing is missing: what is believed of the endpoint
        // may be wrong, and a source that is not needed costs nothing.
        if (source.at != nullptr)
            choice.kv.source = address_of(source.at->entry());
        if (source.held > held)
            made.cost +=
                fetch_ms(self, *source.at, source.held - held, context.target);
        if (known + settings_.least_saved_tokens <= shared &&
            view.store != nullptr)
        {
            // Another process may have had it saved; a miss costs a
            // millisecond.
            choice.kv.source = *view.store;
            choice.kv.target = *view.store;
        }
        // Requests that share a prefix which is held nowhere meet at its home.
        if (view.home != &self && known < shared)
            made.cost += ms(settings_.away_from_home).count() *
                         (shared - known) / shared;
        else if (view.home != &self && held < shared)
            made.cost += ms(settings_.fetch).count();
    }
    choice.known_tokens = known;
    choice.footprint.uncached_tokens = total - std::min(total, known);
    choice.footprint.memory_tokens = total + prompt.max_output_tokens;
    made.cost +=
        choice.footprint.uncached_tokens / settings_.prefill_tokens_per_ms;
    choice.first_answer += std::chrono::milliseconds(static_cast<std::int64_t>(
        choice.footprint.uncached_tokens / settings_.prefill_tokens_per_ms));
    if (context.target.engine)
        made.cost += memory_cost(self, choice.footprint, context);
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
                                     search const& context) const
{
    auto const capacity =
        static_cast<double>(context.target.engine->kv_capacity_tokens);
    if (capacity <= 0)
        return 0;
    auto foreign = static_cast<double>(self.foreign_memory());
    if (!self.linked())
    {
        auto const mean =
            self.in_flight() > 0
                ? static_cast<double>(self.memory_tokens()) / self.in_flight()
                : static_cast<double>(footprint.memory_tokens);
        foreign = self.others(context.now) * mean;
    }
    auto const used = static_cast<double>(self.memory_tokens()) + foreign +
                      footprint.memory_tokens;
    return used > capacity ? ms(settings_.memory_full).count() * used / capacity
                           : 0;
}

} // namespace endiveward::gateway
