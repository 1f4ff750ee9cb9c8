#include "gateway/http/header_collector.hpp"

#include "kernel/free_memory.hpp"

#include <utility>

namespace endiveward::gateway
{

header_collector::header_collector(std::size_t max_bytes)
    : max_bytes_(max_bytes)
{
}

void header_collector::reset()
{
    bytes_ = 0;
    kernel::free_memory(fields_);
    release();
    in_value_ = false;
    finished_ = false;
}

bool header_collector::count(std::size_t n)
{
    bytes_ += n;
    return bytes_ <= max_bytes_;
}

bool header_collector::add_name(std::string_view piece)
{
    // The least that stands between two fields: a colon and a line feed.
    constexpr std::size_t separator_bytes = 2;
    auto const begins_field = !finished_ && (in_value_ || name_.empty());
    if (!count(piece.size() + (begins_field ? separator_bytes : 0)))
        return false;
    if (finished_)
        return true;
    if (in_value_)
        flush();
    in_value_ = false;
    name_ += piece;
    return true;
}

bool header_collector::add_value(std::string_view piece)
{
    if (!count(piece.size()))
        return false;
    if (finished_)
        return true;
    in_value_ = true;
    value_ += piece;
    return true;
}

header_list header_collector::finish()
{
    flush();
    release();
    finished_ = true;
    return std::exchange(fields_, {});
}

std::size_t header_collector::memory() const
{
    return name_.capacity() + value_.capacity() + fields_.memory();
}

void header_collector::flush()
{
    if (name_.empty())
        return;
    fields_.add(name_, trimmed(value_));
    name_.clear();
    value_.clear();
}

/// An idle connection keeps its collector, but not what a long field took.
void header_collector::release()
{
    kernel::free_memory(name_);
    kernel::free_memory(value_);
}

} // namespace endiveward::gateway
