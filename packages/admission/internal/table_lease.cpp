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
// Era of a table that has never come back from a copy.
constexpr std::uint64_t first_era = 1;
// Bits of a fencing number below the era.
constexpr unsigned epoch_bits = 32;

std::string encode(std::uint64_t epoch, std::string const& holder,
                   std::uint64_t era)
{
    return json{{"epoch", epoch}, {"holder", holder}, {"era", era}}.dump();
}

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
    if (epoch_ == 0 || era_changed() ||
        clock_.now() + options_.expiry_margin >= valid_until_)
        return std::nullopt;
    return (held_era_ << epoch_bits) | epoch_;
}

bool table_lease::era_changed() const
{
    return table_.era() != held_era_;
}

void table_lease::tick()
{
    bool const restored = epoch_ != 0 && era_changed();
    if (request_in_flight_ || (clock_.now() < next_renewal_ && !restored))
        return;
    read();
}

void table_lease::release()
{
    if (epoch_ == 0)
        return;
    epoch_ = 0;
    next_renewal_ = clock_.now();
    // A successor's row stays as it is. In another era the same version can be
    // that of another holder's row.
    if (request_in_flight_ || !observed_ ||
        observed_->holder != options_.holder || observed_->era != table_.era())
        return;
    // The result is ignored: if the write is lost, the lease expires.
    table_.commit({{{options_.row_key, observed_->version}},
                   {{options_.row_key,
                     encode(observed_->epoch, no_holder, observed_->era)}}},
                  options_.table_timeout, [](auto const&) {});
}

void table_lease::read()
{
    request_in_flight_ = true;
    table_.read(options_.row_key, options_.table_timeout,
                [this, era = table_.era(), post = post_,
                 alive = std::weak_ptr(lifetime_)](auto const& res)
                {
                    post(
                        [this, era, alive, res]
                        {
                            if (alive.expired())
                                return;
                            request_in_flight_ = false;
                            if (!kernel::ok(res))
                                return;
                            // The era of the answer is certain only if it is
                            // the same before and after the request.
                            if (table_.era() != era)
                                return read();
                            on_row(kernel::value(res), era);
                        });
                });
}

void table_lease::on_row(std::optional<storage::row> const& row,
                         std::uint64_t era)
{
    observation found;
    found.era = era;
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
        found.row_era = content.value("era", std::uint64_t{0});
    }
    found.since = observed_ && observed_->version == found.version &&
                          observed_->era == found.era
                      ? observed_->since
                      : clock_.now();
    observed_ = found;
    if (may_write(found))
        write(found);
}

bool table_lease::may_write(observation const& current) const
{
    // A row of an older era, or a missing one, does not show who acquired the
    // lease after the copy was made. Only a holder whose lease is still valid
    // knows; everyone else waits until any such lease has expired.
    bool const is_certain =
        current.era <= first_era || current.row_era == current.era;
    if (is_certain &&
        (current.version == 0 || current.holder == options_.holder ||
         current.holder == no_holder))
        return true;
    if (!is_certain && epoch_ != 0 && clock_.now() < valid_until_)
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
    next.row_era = current.era;
    // A late write of an older era can take the epoch back. The row's version
    // is above all epochs of its era: it grows with each write, an epoch by at
    // most one.
    if (current.row_era != current.era)
        next.epoch = next.version;
    else if (current.holder != options_.holder)
        next.epoch = current.epoch + 1;
    request_in_flight_ = true;
    table_.commit(
        {{{options_.row_key, current.version}},
         {{options_.row_key, encode(next.epoch, next.holder, next.row_era)}}},
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
    // The write may have replaced another row of the same version, or may be
    // lost with the old era.
    if (table_.era() != written.era)
        return;
    observed_ = written;
    epoch_ = written.epoch;
    held_era_ = written.era;
    // The duration counts from before the write was sent, so that the lease
    // ends here before any other process can regard it as expired.
    valid_until_ = written.since + options_.duration;
    next_renewal_ = written.since + options_.renew_interval;
}

} // namespace endiveward::admission
