#include "observe/decision_log.hpp"

#include "kernel/i_clock.hpp"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace endiveward::observe
{

decision_log::decision_log(kernel::i_clock const& clock, std::string logger,
                           std::uint32_t lines_per_second)
    : clock_(clock)
    , logger_(std::move(logger))
    , limit_(lines_per_second)
{
}

bool decision_log::admit(std::uint32_t limit)
{
    auto const now = clock_.now();
    if (now - second_start_ >= std::chrono::seconds(1))
    {
        second_start_ = now;
        written_ = 0;
        if (auto const n = std::exchange(skipped_, 0); n > 0)
            put("lines_left_out", fmt::format("lines={}", n));
    }
    if (written_ < limit)
    {
        ++written_;
        return true;
    }
    ++skipped_;
    ++left_out_;
    return false;
}

void decision_log::put(std::string_view event, std::string const& text)
{
    auto logger = log4cplus::Logger::getInstance(logger_);
    LOG4CPLUS_INFO(logger, "event=" << event << ' ' << text);
}

} // namespace endiveward::observe
