#include "router/config_readiness.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::router
{

config_readiness::config_readiness(std::shared_ptr<kernel::i_clock const> clock,
                                   config::isolation_policy policy,
                                   bool has_store)
    : clock_(std::move(clock))
    , policy_(policy)
    , started_at_(clock_->now())
    , store_read_or_absent_(!has_store)
    , confirmed_at_(started_at_)
{
}

void config_readiness::on_hello(kernel::config_version version)
{
    std::lock_guard const lock(mutex_);
    // A process without a configuration has only just started itself.
    if (version == 0 || hellos_ >= required_hellos)
        return;
    ++hellos_;
    target_version_ = std::max(target_version_, version);
}

void config_readiness::on_reported(kernel::config_version version,
                                   kernel::config_version own_version)
{
    if (version == 0 || version > own_version)
        return;
    std::lock_guard const lock(mutex_);
    confirm(clock_->now());
}

void config_readiness::on_store_read(kernel::steady_time when)
{
    std::lock_guard const lock(mutex_);
    store_read_or_absent_ = true;
    confirm(when);
}

void config_readiness::on_applied()
{
    std::lock_guard const lock(mutex_);
    confirm(clock_->now());
}

void config_readiness::confirm(kernel::steady_time when)
{
    confirmed_at_ = std::max(confirmed_at_, when);
}

bool config_readiness::is_caught_up(kernel::config_version own_version)
{
    std::lock_guard const lock(mutex_);
    if (caught_up_)
        return true;
    if (own_version == 0 || !has_startup_information())
        return false;
    caught_up_ = own_version >= target_version_ ||
                 clock_->now() - started_at_ >= catch_up_limit;
    return caught_up_;
}

bool config_readiness::has_startup_information() const
{
    if (store_read_or_absent_ && hellos_ >= required_hellos)
        return true;
    return clock_->now() - started_at_ >= startup_wait;
}

std::optional<kernel::error> config_readiness::refusal() const
{
    if (policy_ == config::isolation_policy::serve)
        return std::nullopt;
    std::lock_guard const lock(mutex_);
    if (clock_->now() - confirmed_at_ <= confirmation_limit)
        return std::nullopt;
    return kernel::error{
        kernel::error_kind::stale_configuration,
        "this router is cut off and cannot confirm its configuration; retry, "
        "or set config.when_isolated = \"serve\"",
        kernel::run_state::not_run, retry_after};
}

} // namespace endiveward::router
