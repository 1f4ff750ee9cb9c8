#include "agent/internal/cache_index_updater.hpp"

#include "admission/i_cache_index.hpp"
#include "agent/i_endpoint_client.hpp"
#include "agent/internal/agent_metrics.hpp"

#include <asio/io_context.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>
#include <utility>

namespace endiveward::agent
{

namespace
{

constexpr std::chrono::seconds event_poll_timeout{10};
constexpr std::chrono::milliseconds retry_delay{500};

} // namespace

cache_index_updater::cache_index_updater(
    asio::io_context& context, std::shared_ptr<i_endpoint_client> endpoint,
    std::shared_ptr<admission::i_cache_index> index,
    std::shared_ptr<agent_metrics> metrics)
    : context_(context)
    , endpoint_(std::move(endpoint))
    , index_(std::move(index))
    , metrics_(std::move(metrics))
    , timer_(context_)
{
}

void cache_index_updater::start()
{
    running_ = true;
    relist();
}

void cache_index_updater::stop()
{
    running_ = false;
    ++generation_;
    timer_.cancel();
}

void cache_index_updater::on_engine_incarnation(kernel::incarnation engine)
{
    if (!running_ || incarnation_ == 0 || engine == incarnation_)
        return;
    // The index of the previous incarnation must not be used until the listing
    // arrives. Load reports lag, so the listing decides which incarnation is
    // the newer one.
    relist();
}

void cache_index_updater::relist()
{
    ++generation_;
    clear_index();
    metrics_->cache_relistings.Increment();
    endpoint_->list_blocks(
        [self = shared_from_this(),
         query_generation = generation_](kernel::result<cache_listing> response)
        { self->on_listing(query_generation, std::move(response)); });
}

void cache_index_updater::clear_index()
{
    incarnation_ = 0;
    index_->reset(0, 0, {});
    metrics_->cache_blocks.Set(0);
}

void cache_index_updater::on_listing(generation query_generation,
                                     kernel::result<cache_listing> response)
{
    if (query_generation != generation_)
        return;
    if (!kernel::ok(response))
        return schedule_relist();
    auto const& listing = kernel::value(response);
    incarnation_ = listing.incarnation;
    last_event_ = listing.last_event;
    index_->reset(incarnation_, last_event_, listing.blocks);
    publish_metrics();
    poll_events();
}

void cache_index_updater::poll_events()
{
    endpoint_->events(
        last_event_, event_poll_timeout,
        [self = shared_from_this(), query_generation = generation_](
            kernel::result<std::vector<admission::cache_event>> const& response)
        { self->on_events(query_generation, response); });
}

void cache_index_updater::on_events(
    generation query_generation,
    kernel::result<std::vector<admission::cache_event>> const& response)
{
    if (query_generation != generation_)
        return;
    if (!kernel::ok(response))
        return schedule_relist();
    using outcome = admission::i_cache_index::apply_outcome;
    for (auto const& it : kernel::value(response))
    {
        metrics_->cache_events.Increment();
        auto const applied = index_->apply(it);
        if (applied == outcome::gap || applied == outcome::other_incarnation)
            return relist();
        last_event_ = std::max(last_event_, it.number);
    }
    publish_metrics();
    poll_events();
}

void cache_index_updater::publish_metrics()
{
    metrics_->cache_blocks.Set(static_cast<double>(index_->blocks()));
    metrics_->cache_blocks_left_out.Increment(
        static_cast<double>(index_->take_unindexed_blocks()));
}

void cache_index_updater::schedule_relist()
{
    // After a connection failure events may be missing and the engine may have
    // restarted, so the index is rebuilt from a complete listing.
    clear_index();
    timer_.expires_after(retry_delay);
    timer_.async_wait(
        [self = shared_from_this()](std::error_code ec)
        {
            if (!ec && self->running_)
                self->relist();
        });
}

} // namespace endiveward::agent
