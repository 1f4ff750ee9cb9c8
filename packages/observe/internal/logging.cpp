#include "observe/logging.hpp"

#include "observe/internal/bounded_appender.hpp"
#include "observe/internal/json_layout.hpp"

#include <fmt/format.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string_view>

#include <unistd.h>

namespace endiveward::observe
{

namespace
{

struct level_row
{
    std::string_view name;
    log4cplus::LogLevel level;
};

constexpr std::array level_rows{level_row{"trace", log4cplus::TRACE_LOG_LEVEL},
                                level_row{"debug", log4cplus::DEBUG_LOG_LEVEL},
                                level_row{"info", log4cplus::INFO_LOG_LEVEL},
                                level_row{"warn", log4cplus::WARN_LOG_LEVEL},
                                level_row{"error", log4cplus::ERROR_LOG_LEVEL}};

std::optional<log4cplus::LogLevel> parse_level(std::string_view name)
{
    for (auto const& it : level_rows)
    {
        if (it.name == name)
            return it.level;
    }
    return std::nullopt;
}

std::unique_ptr<log4cplus::Layout> make_layout(bool json)
{
    if (json)
        return std::make_unique<json_layout>();
    return std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("%d{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %c: %m%n"));
}

/// Null unless logging was started with `init_bounded_logging`.
log4cplus::helpers::SharedObjectPtr<bounded_appender> bounded;

kernel::result<kernel::done> start(std::string const& level, bool json,
                                   log4cplus::SharedAppenderPtr const& appender)
{
    auto const parsed = parse_level(level);
    if (!parsed)
        return kernel::error{
            kernel::error_kind::invalid_settings,
            fmt::format("'{}' is not a log level; use trace, debug, info, warn "
                        "or error",
                        level),
            kernel::run_state::not_run,
            {}};
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    appender->setLayout(make_layout(json));
    root.addAppender(appender);
    root.setLogLevel(*parsed);
    return kernel::done{};
}

} // namespace

kernel::result<kernel::done> init_logging(std::string const& level, bool json)
{
    log4cplus::initialize();
    return start(level, json,
                 log4cplus::SharedAppenderPtr(
                     new log4cplus::ConsoleAppender(true, true)));
}

kernel::result<kernel::done> init_bounded_logging(std::string const& level,
                                                  bool json)
{
    log4cplus::initialize();
    bounded = new bounded_appender(STDOUT_FILENO);
    return start(level, json, log4cplus::SharedAppenderPtr(bounded.get()));
}

void flush_logging()
{
    if (bounded)
        bounded->flush();
}

// The threads of log4cplus are joined by static destructors, which did not
// return on the machines of the users' bench: processes that had ended their
// work were killed at the end of the grace time.
void flush_logging_and_exit(int code)
{
    flush_logging();
    std::_Exit(code);
}

void shutdown_logging()
{
    flush_logging();
    bounded = nullptr;
    log4cplus::Logger::shutdown();
}

} // namespace endiveward::observe
