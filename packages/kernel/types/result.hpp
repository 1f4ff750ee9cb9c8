#ifndef ENDIVEWARD_KERNEL_TYPES_RESULT_HPP
#define ENDIVEWARD_KERNEL_TYPES_RESULT_HPP

#include "kernel/types/error.hpp"

#include <utility>
#include <variant>

namespace endiveward::kernel
{

/// A value or an error. A function without a value returns `result<done>`.
template <typename T>
using result = std::variant<T, error>;

struct done
{
    bool operator==(done const&) const = default;
};

template <typename T>
bool ok(result<T> const& res)
{
    return std::holds_alternative<T>(res);
}

template <typename T>
T& value(result<T>& res)
{
    return std::get<T>(res);
}

template <typename T>
T const& value(result<T> const& res)
{
    return std::get<T>(res);
}

template <typename T>
T&& value(result<T>&& res)
{
    return std::get<T>(std::move(res));
}

template <typename T>
error const& failure(result<T> const& res)
{
    return std::get<error>(res);
}

/// Joins lambdas into one visitor for `std::visit`.
template <typename... Fs>
struct overloaded : Fs...
{
    using Fs::operator()...;
};

template <typename... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

} // namespace endiveward::kernel

#endif
