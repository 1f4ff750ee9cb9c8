#ifndef ENDIVEWARD_OBSERVE_DECISION_LOG_HPP
#define ENDIVEWARD_OBSERVE_DECISION_LOG_HPP

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace endiveward::kernel
{
class i_clock;
}

namespace endiveward::observe
{

/// Writes one line for each decision, at most a number a second. What exceeds
/// it is counted and reported by a line when the second has passed. A third of
/// the number is kept for lines that are not routine, so that a busy process
/// still tells what went wrong.
class decision_log
{
public:
    decision_log(kernel::i_clock const& clock, std::string logger,
                 std::uint32_t lines_per_second);

    /// `event` names the decision; the rest is `name=value` pairs.
    template <typename... Ts>
    void write(std::string_view event, fmt::format_string<Ts...> format,
               Ts&&... args)
    {
        if (admit(limit_))
            put(event, fmt::format(format, std::forward<Ts>(args)...));
    }

    /// The same for a decision that says that all went as usual.
    template <typename... Ts>
    void write_routine(std::string_view event, fmt::format_string<Ts...> format,
                       Ts&&... args)
    {
        if (admit(limit_ - limit_ / 3))
            put(event, fmt::format(format, std::forward<Ts>(args)...));
    }

    /// Lines left out so far.
    std::uint64_t left_out() const { return left_out_; }

private:
    bool admit(std::uint32_t limit);
    void put(std::string_view event, std::string const& text);

    kernel::i_clock const& clock_;
    std::string logger_;
    std::uint32_t limit_;
    std::uint32_t written_ = 0;
    std::uint32_t skipped_ = 0;
    std::uint64_t left_out_ = 0;
    std::chrono::steady_clock::time_point second_start_{};
};

} // namespace endiveward::observe

#endif
