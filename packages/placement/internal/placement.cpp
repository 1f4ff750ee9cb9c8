#include "placement/placement.hpp"

#include "placement/internal/endpoint_record.hpp"
#include "placement/types/placement_choice.hpp"
#include "placement/types/placement_request.hpp"
#include "wire/types/verdict.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::placement
{

namespace
{

using seconds = std::chrono::duration<double>;
using record_list = std::vector<endpoint_record const*>;
using record_iterator = record_list::iterator;

// Fraction of the prompt bytes without a hint that is expected to be cached at
// the first-ranked endpoint; it halves with each further rank. A
// share of 0.5 spread prefixes that other routers use over too many endpoints.
constexpr double first_rank_hit_share = 0.9;

// Age at which a report of recently used levels is outdated. A level without a
// hint is assumed not to be cached at an endpoint that has just reported its
// levels; its expected share then grows linearly with the age of the report. On
// steady load 10 s gave less wasted recomputation than other values between 2 s
// and 1000 s (docs/MEASUREMENTS.md).
constexpr seconds report_lifetime{10.0};

double unhinted_hit_share(std::optional<seconds> levels_age)
{
    if (!levels_age)
        return first_rank_hit_share;
    return first_rank_hit_share * std::min(1.0, *levels_age / report_lifetime);
}

std::chrono::milliseconds to_milliseconds(seconds time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(time);
}

kernel::error no_eligible_endpoint()
{
    return {kernel::error_kind::no_eligible_endpoint,
            "no available endpoint serves this request; check the rules, the "
            "loaded model versions and the state of the endpoints",
            kernel::run_state::not_run, std::nullopt};
}

kernel::error all_refused(std::chrono::milliseconds wait)
{
    return {
        kernel::error_kind::overloaded,
        "every eligible endpoint refused this request or is too busy; retry "
        "later or allow more time",
        kernel::run_state::not_run,
        std::max(wait, std::chrono::milliseconds(1))};
}

// Partially sorts the range, so that its first `n` records are those with the
// highest rendezvous weights for `key`, in descending order.
void sort_by_rendezvous_weight(record_iterator first, record_iterator last,
                               std::size_t n, std::uint64_t key)
{
    using weighted = std::pair<std::uint64_t, endpoint_record const*>;
    std::vector<weighted> items;
    items.reserve(static_cast<std::size_t>(last - first));
    for (auto it = first; it != last; ++it)
        items.emplace_back(kernel::mix64(key, (*it)->rendezvous_seed()), *it);
    auto const before = [](weighted const& lhs, weighted const& rhs)
    { return lhs.first > rhs.first; };
    auto const middle =
        items.begin() + static_cast<std::ptrdiff_t>(std::min(n, items.size()));
    std::partial_sort(items.begin(), middle, items.end(), before);
    std::transform(items.begin(), items.end(), first,
                   [](weighted const& it) { return it.second; });
}

// Index of the level whose hash ranks the candidates: the second, unless it
// adds so little to the first (less than an eighth of the total) that it is
// more likely text of a single request than a shared part. Deeper levels are
// often unique to a request and would spread prompts that share all other
// levels over many endpoints.
std::size_t ranking_level_index(std::vector<wire::prefix_level> const& levels)
{
    constexpr std::uint64_t min_share = 8;
    if (levels.size() < 2)
        return 0;
    std::uint64_t const added = levels[1].bytes - levels[0].bytes;
    return added * min_share >= levels[1].bytes ? 1 : 0;
}

bool contains(std::vector<kernel::endpoint_id> const& ids,
              kernel::endpoint_id const& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// A first attempt is sent regardless of the expected wait, because its verdict
// corrects the estimate. A retry that would also be refused only costs time.
// The records are not filtered by their wait: the choice remains by cost, which
// keeps requests with a common prefix on the same endpoints.
bool retry_can_meet_deadline(placement_request const& request,
                             record_list const& records,
                             kernel::steady_time now)
{
    if (request.excluded.empty() || !request.time_left)
        return true;
    return std::any_of(records.begin(), records.end(),
                       [&](endpoint_record const* it) {
                           return it->expected_wait(now) <= *request.time_left;
                       });
}

} // namespace

placement::placement(std::shared_ptr<kernel::i_clock const> clock,
                     kernel::region_id own_region, placement_options options)
    : clock_(std::move(clock))
    , own_region_(std::move(own_region))
    , options_(options)
{
    options_.candidates = std::max<std::size_t>(options_.candidates, 1);
    options_.prefill_bytes_per_second =
        std::max<std::uint64_t>(options_.prefill_bytes_per_second, 1);
}

placement::~placement() = default;

void placement::update_endpoint(endpoint_status const& status)
{
    std::lock_guard const lock(mutex_);
    auto const now = clock_->now();
    auto& record = records_[status.id];
    if (record == nullptr)
        record = std::make_unique<endpoint_record>(
            status, options_.max_hints_per_endpoint, now);
    else
        record->update(status, now);
}

void placement::remove_endpoint(kernel::endpoint_id const& id)
{
    std::lock_guard const lock(mutex_);
    records_.erase(id);
}

kernel::result<placement_choice>
placement::choose(placement_request const& request)
{
    std::lock_guard const lock(mutex_);
    record_list records = eligible_records(request);
    if (records.empty())
        return no_eligible_endpoint();

    auto const now = clock_->now();
    seconds min_wait = records.front()->expected_wait(now);
    for (auto const* it : records)
        min_wait = std::min(min_wait, it->expected_wait(now));
    std::erase_if(records, [&](endpoint_record const* it)
                  { return contains(request.excluded, it->status().id); });
    if (records.empty() || !retry_can_meet_deadline(request, records, now))
        return all_refused(to_milliseconds(min_wait));

    rank(request, records);
    return select_cheapest(request, records);
}

void placement::on_sent(placement_request const&,
                        kernel::endpoint_id const& endpoint)
{
    std::lock_guard const lock(mutex_);
    if (auto* record = find(endpoint))
        record->on_sent(clock_->now());
}

void placement::on_verdict(placement_request const& request,
                           kernel::endpoint_id const& endpoint,
                           wire::verdict const& verdict)
{
    std::lock_guard const lock(mutex_);
    auto* record = find(endpoint);
    if (record == nullptr)
        return;
    record->on_verdict();
    auto const now = clock_->now();
    if (record->apply_report(verdict.load, now))
        record->record_hit(request, verdict.hit_bytes,
                           !verdict.refusal.has_value(), now);
}

void placement::on_finished(placement_request const& request,
                            kernel::endpoint_id const& endpoint,
                            wire::load_report const* load)
{
    std::lock_guard const lock(mutex_);
    auto* record = find(endpoint);
    if (record == nullptr)
        return;
    bool const report_accepted =
        load != nullptr && record->apply_report(*load, clock_->now());
    record->on_finished(request, report_accepted);
}

std::size_t placement::hint_count(kernel::endpoint_id const& endpoint) const
{
    std::lock_guard const lock(mutex_);
    auto const it = records_.find(endpoint);
    return it == records_.end() ? 0 : it->second->hint_count();
}

// Endpoints that refused this request are included, so that an overloaded
// region does not shift its load to other regions.
placement::record_list
placement::eligible_records(placement_request const& request) const
{
    record_list local;
    record_list remote;
    if (request.allowed == nullptr)
        return local;
    for (auto const& id : *request.allowed)
    {
        auto const it = records_.find(id);
        if (it == records_.end() || !it->second->can_serve(request))
            continue;
        bool const is_local = it->second->status().region == own_region_;
        (is_local ? local : remote).push_back(it->second.get());
    }
    return local.empty() ? remote : local;
}

// The outermost level selects half of the endpoints, but at least as many as
// are compared by cost, so that a large workspace can use half of the pool. The
// ranking level then orders them: all prompts that share this level have the
// same ranks, and its blocks are computed on few endpoints.
void placement::rank(placement_request const& request, record_list& records)
{
    if (!request.idempotency_key.empty())
    {
        std::uint64_t const key =
            kernel::hash_bytes(request.idempotency_key).low;
        sort_by_rendezvous_weight(records.begin(), records.end(), 1, key);
        records.resize(1);
        return;
    }
    std::size_t const k = std::min(options_.candidates, records.size());
    if (request.levels.empty())
    {
        sort_by_rendezvous_weight(records.begin(), records.end(), k,
                                  ++unprefixed_calls_);
        records.resize(k);
        return;
    }
    std::size_t const ranking_index = ranking_level_index(request.levels);
    std::size_t n = records.size();
    if (ranking_index > 0)
    {
        n = std::max(k, (n + 1) / 2);
        sort_by_rendezvous_weight(records.begin(), records.end(), n,
                                  request.levels.front().hash.low);
    }
    sort_by_rendezvous_weight(records.begin(),
                              records.begin() + static_cast<std::ptrdiff_t>(n),
                              k, request.levels[ranking_index].hash.low);
    records.resize(k);
}

placement_choice placement::select_cheapest(placement_request const& request,
                                            record_list const& ranked) const
{
    auto const now = clock_->now();
    std::uint64_t const deepest =
        request.levels.empty() ? 0 : request.levels.back().bytes;
    double const rate = static_cast<double>(options_.prefill_bytes_per_second);
    placement_choice best;
    std::pair<double, double> best_cost;
    double rank_share = 1.0;
    for (auto const* it : ranked)
    {
        double const hinted =
            static_cast<double>(it->expected_hit(request, now));
        // The rank substitutes for missing hints: other routers, and this one
        // before a restart, send the prefix to the first-ranked endpoints.
        double const share =
            rank_share * unhinted_hit_share(it->levels_age(now));
        rank_share /= 2;
        double const hit =
            hinted + share * (static_cast<double>(deepest) - hinted);
        double const missing =
            std::max(static_cast<double>(request.prompt_bytes) - hit, 0.0);
        seconds const wait = it->expected_wait(now);
        std::pair const cost{wait.count() +
                                 options_.recompute_weight * missing / rate,
                             it->occupancy(now)};
        if (!best.endpoint.empty() && cost >= best_cost)
            continue;
        best_cost = cost;
        best = {it->status().id, static_cast<std::uint64_t>(hit),
                to_milliseconds(wait)};
    }
    return best;
}

endpoint_record* placement::find(kernel::endpoint_id const& id)
{
    auto const it = records_.find(id);
    return it == records_.end() ? nullptr : it->second.get();
}

} // namespace endiveward::placement
