#ifndef ENDIVEWARD_OBSERVE_LOGGING_HPP
#define ENDIVEWARD_OBSERVE_LOGGING_HPP

#include "kernel/types/result.hpp"

#include <string>

namespace endiveward::observe
{

/// Starts log4cplus with output to standard error. `level` is one of trace,
/// debug, info, warn, error; `json` selects one JSON object a line.
kernel::result<kernel::done> init_logging(std::string const& level, bool json);
void shutdown_logging();

} // namespace endiveward::observe

#endif
