#include "gateway/response_memory.hpp"

namespace endiveward::gateway
{

namespace
{

/// Entry VMs may have little more than 100 MB for everything.
constexpr std::size_t max_total_bytes = 16U << 20U;
/// Above the events of sound endpoints and what waits for a slow caller until
/// reading from its endpoint is suspended; so much is never refused.
constexpr std::size_t free_bytes = 96U << 10U;

} // namespace

response_memory::share::~share()
{
    total_.used_ -= used_;
}

bool response_memory::share::set(std::size_t bytes)
{
    total_.used_ += bytes;
    total_.used_ -= used_;
    used_ = bytes;
    return bytes <= free_bytes || total_.used_ <= max_total_bytes;
}

} // namespace endiveward::gateway
