#include "admission/table_lease.hpp"

#include "storage/i_table.hpp"

#include <nlohmann/json.hpp>

namespace endiveward::admission
{

namespace
{

using nlohmann::json;

// Holder field of a released lease.
constexpr char const* no_holder = "";

} // namespace

table_lease::table_lease(kernel::i_clock const& clock, storage::i_table& table,
                         kernel::post_function post,
                         table_lease_options options)
    : clock_(clock)
    , table_(table)
    , post_(std::move(post))
    , options_(std::move(options))
    , valid_until_(clock.now())
    , next_renewal_(clock.now())
{
}

std::optional<std::uint64_t> table_lease::fencing_number() const
{
    // The time is checked at each call, so that a process that was paused does
    // not use a lease that expired meanwhile.
    if (epoch_ == 0 || clock_.now() + options_.expiry_margin >= valid_until_)
        return std::nullopt;
    return epoch_;
}

void table_lease::tick()
{
    if (request_in_flight_ || clock_.now() < next_renewal_)
        return;
    read();
}

void table_lease::release()
{
    if (epoch_ == 0)
        return;
    epoch_ = 0;
    next_renewal_ = clock_.now();
    if (request_in_flight_ || !observed_)
        return;
    json const content{{"epoch", observed_->epoch}, {"holder", no_holder}};
    // The result is ignored: if the write is lost, the lease expires.
    table_.commit({{{options_.row_key, observed_->version}},
                   {{options_.row_key, content.dump()}}},
                  options_.table_timeout, [](auto const&) {});
}

void table_lease::read()
{
    request_in_flight_ = true;
    table_.read(
        options_.row_key, options_.table_timeout,
        [this, post = post_, alive = std::weak_ptr(lifetime_)](auto const& res)
        {
            post(
                [this, alive, res]
                {
                    if (alive.expired())
                        return;
                    request_in_flight_ = false;
                    if (kernel::ok(res))
                        on_row(kernel::value(res));
                });
        });
}

void table_lease::on_row(std::optional<storage::row> const& row)
{
    observation found;
    if (row)
    {
        auto const content = json::parse(row->value, nullptr, false);
        // An unreadable row is not overwritten: without its epoch, a new holder
        // could reuse an earlier fencing number.
        if (!content.is_object())
            return;
        found.version = row->version;
        found.epoch = content.value("epoch", std::uint64_t{0});
        found.holder = content.value("holder", std::string());
    }
    found.since = observed_ && observed_->version == found.version
                      ? observed_->since
                      : clock_.now();
    observed_ = found;
    if (may_write(found))
        write(found);
}

bool table_lease::may_write(observation const& current) const
{
    if (current.version == 0 || current.holder == options_.holder ||
        current.holder == no_holder)
        return true;
    // Does not depend on synchronized clocks: the lease of another holder has
    // expired if its row has not changed for the lease duration, measured on
    // the local clock.
    return clock_.now() - current.since >= options_.duration;
}

void table_lease::write(observation const& current)
{
    observation next = current;
    next.version = current.version + 1;
    next.holder = options_.holder;
    next.since = clock_.now();
    if (current.holder != options_.holder)
        next.epoch = current.epoch + 1;
    json const content{{"epoch", next.epoch}, {"holder", next.holder}};
    request_in_flight_ = true;
    table_.commit({{{options_.row_key, current.version}},
                   {{options_.row_key, content.dump()}}},
                  options_.table_timeout,
                  [this, next, post = post_,
                   alive = std::weak_ptr(lifetime_)](auto const& res)
                  {
                      post(
                          [this, next, alive, res]
                          {
                              if (alive.expired())
                                  return;
                              request_in_flight_ = false;
                              on_written(res, next);
                          });
                  });
}

void table_lease::on_written(
    kernel::result<storage::transaction_outcome> const& res,
    observation const& written)
{
    // If the response was lost, the read of the next tick shows whether the
    // write took effect.
    if (!kernel::ok(res) || !kernel::value(res).committed)
        return;
    observed_ = written;
    epoch_ = written.epoch;
    // The duration counts from before the write was sent, so that the lease
    // ends here before any other process can regard it as expired.
    valid_until_ = written.since + options_.duration;
    next_renewal_ = written.since + options_.renew_interval;
}

} // namespace endiveward::admission
