#include "observe/internal/json_layout.hpp"

#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace endiveward::observe
{

void json_layout::formatAndAppend(
    log4cplus::tostream& output,
    log4cplus::spi::InternalLoggingEvent const& event)
{
    nlohmann::ordered_json line;
    line["time"] = log4cplus::helpers::getFormattedTime(
        LOG4CPLUS_TEXT("%Y-%m-%dT%H:%M:%S.%qZ"), event.getTimestamp(), true);
    line["level"] = llmCache.toString(event.getLogLevel());
    line["logger"] = event.getLoggerName();
    line["message"] = event.getMessage();
    output << line.dump(-1, ' ', false,
                        nlohmann::json::error_handler_t::replace)
           << '\n';
}

} // namespace endiveward::observe
