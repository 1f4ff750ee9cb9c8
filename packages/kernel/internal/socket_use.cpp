#include "kernel/socket_use.hpp"

#include <utility>

namespace endiveward::kernel
{

socket_use::socket_use(std::shared_ptr<socket_totals> totals)
    : totals_(std::move(totals))
    , last_step_(++totals_->steps)
{
}

socket_use::~socket_use()
{
    totals_->bytes -= bytes_;
}

void socket_use::on_read(std::size_t bytes)
{
    if (bytes_ == 0)
        last_step_ = ++totals_->steps;
    bytes_ += bytes;
    totals_->bytes += bytes;
}

void socket_use::on_request_begin()
{
    ++requests_;
}

/// What was received of a request that follows is not known; it counts from
/// here on.
void socket_use::on_request_end()
{
    totals_->bytes -= bytes_.exchange(0);
    last_step_ = ++totals_->steps;
    served_ = true;
    --requests_;
}

void socket_use::displace()
{
    displaced_ = true;
    totals_->bytes -= bytes_.exchange(0);
}

request_token::request_token(std::shared_ptr<socket_use> use)
    : use_(std::move(use))
{
    if (use_ != nullptr)
        use_->on_request_begin();
}

request_token::~request_token()
{
    if (use_ != nullptr)
        use_->on_request_end();
}

} // namespace endiveward::kernel
