#include "gateway/response_memory.hpp"

namespace endiveward::gateway
{

namespace
{

/// Entry VMs may have little more than 100 MB for everything.
constexpr std::size_t max_total_bytes = 16U << 20U;
/// Above the events and responses of sound endpoints, which are never refused.
constexpr std::size_t free_bytes = 64U << 10U;

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
