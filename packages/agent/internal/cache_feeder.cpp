#include "agent/internal/cache_feeder.hpp"

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

constexpr std::chrono::seconds event_wait{10};
constexpr std::chrono::milliseconds retry_pause{500};

} // namespace

cache_feeder::cache_feeder(asio::io_context& context,
                           std::shared_ptr<i_endpoint_client> endpoint,
                           std::shared_ptr<admission::i_cache_index> index,
                           std::shared_ptr<agent_metrics> metrics)
    : context_(context)
    , endpoint_(std::move(endpoint))
    , index_(std::move(index))
    , metrics_(std::move(metrics))
    , timer_(context_)
{
}

void cache_feeder::start()
{
    running_ = true;
    relist();
}

void cache_feeder::stop()
{
    running_ = false;
    ++current_;
    timer_.cancel();
}

void cache_feeder::on_engine(kernel::incarnation engine)
{
    if (!running_ || incarnation_ == 0 || engine == incarnation_)
        return;
    // The old index must not be used until the listing arrives. Reports lag,
    // so the listing decides which incarnation is the newer one.
    relist();
}

void cache_feeder::relist()
{
    ++current_;
    forget();
    metrics_->cache_relistings.Increment();
    endpoint_->list_blocks([self = shared_from_this(), from = current_](
                               kernel::result<cache_listing> answer)
                           { self->on_listing(from, std::move(answer)); });
}

void cache_feeder::forget()
{
    incarnation_ = 0;
    index_->reset(0, 0, {});
    metrics_->cache_blocks.Set(0);
}

void cache_feeder::on_listing(generation from,
                              kernel::result<cache_listing> answer)
{
    if (from != current_)
        return;
    if (!kernel::ok(answer))
        return retry_later();
    auto const& listing = kernel::value(answer);
    incarnation_ = listing.incarnation;
    last_event_ = listing.last_event;
    index_->reset(incarnation_, last_event_, listing.blocks);
    publish_size();
    poll_events();
}

void cache_feeder::poll_events()
{
    endpoint_->events(
        last_event_, event_wait,
        [self = shared_from_this(), from = current_](
            kernel::result<std::vector<admission::cache_event>> const& answer)
        { self->on_events(from, answer); });
}

void cache_feeder::on_events(
    generation from,
    kernel::result<std::vector<admission::cache_event>> const& answer)
{
    if (from != current_)
        return;
    if (!kernel::ok(answer))
        return retry_later();
    using outcome = admission::i_cache_index::apply_outcome;
    for (auto const& it : kernel::value(answer))
    {
        metrics_->cache_events.Increment();
        auto const applied = index_->apply(it);
        if (applied == outcome::gap || applied == outcome::other_incarnation)
            return relist();
        last_event_ = std::max(last_event_, it.number);
    }
    publish_size();
    poll_events();
}

void cache_feeder::publish_size()
{
    metrics_->cache_blocks.Set(static_cast<double>(index_->blocks()));
    metrics_->cache_blocks_left_out.Increment(
        static_cast<double>(index_->take_unindexed_blocks()));
}

void cache_feeder::retry_later()
{
    // After a broken connection entries may be lost, and the engine may be
    // another one by now; the listing is complete.
    forget();
    timer_.expires_after(retry_pause);
    timer_.async_wait(
        [self = shared_from_this()](std::error_code ec)
        {
            if (!ec && self->running_)
                self->relist();
        });
}

} // namespace endiveward::agent
