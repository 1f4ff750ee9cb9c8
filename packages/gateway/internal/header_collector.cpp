#include "gateway/http/header_collector.hpp"

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
    fields_ = {};
    name_.clear();
    value_.clear();
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
    if (finished_)
        return true;
    if (!count(piece.size()))
        return false;
    if (in_value_)
        flush();
    in_value_ = false;
    name_ += piece;
    return true;
}

bool header_collector::add_value(std::string_view piece)
{
    if (finished_)
        return true;
    if (!count(piece.size()))
        return false;
    in_value_ = true;
    value_ += piece;
    return true;
}

header_list header_collector::finish()
{
    flush();
    finished_ = true;
    return std::exchange(fields_, {});
}

void header_collector::flush()
{
    if (name_.empty())
        return;
    fields_.add(std::move(name_), std::string(trimmed(value_)));
    name_.clear();
    value_.clear();
}

} // namespace endiveward::gateway
