#ifndef ENDIVEWARD_OBSERVE_JSON_LAYOUT_HPP
#define ENDIVEWARD_OBSERVE_JSON_LAYOUT_HPP

#include <log4cplus/layout.h>

namespace endiveward::observe
{

/// Writes each log event as one JSON object on a line of its own.
class json_layout : public log4cplus::Layout
{
public:
    void
    formatAndAppend(log4cplus::tostream& output,
                    log4cplus::spi::InternalLoggingEvent const& event) override;
};

} // namespace endiveward::observe

#endif
