#ifndef ENDIVEWARD_OBSERVE_LOGGING_HPP
#define ENDIVEWARD_OBSERVE_LOGGING_HPP

#include "kernel/types/result.hpp"

#include <string>

namespace endiveward::observe
{

/// Starts log4cplus with output to standard error. `level` is one of trace,
/// debug, info, warn, error; `json` selects one JSON object a line.
kernel::result<kernel::done> init_logging(std::string const& level, bool json);
/// Starts log4cplus with output to standard output that never blocks: lines
/// are collected, `flush_logging` writes as many as the reader takes, and what
/// does not fit into the collection is counted and left out.
kernel::result<kernel::done> init_bounded_logging(std::string const& level,
                                                  bool json);
/// To be called several times a second after `init_bounded_logging`.
void flush_logging();
void shutdown_logging();
/// Writes what can be written and ends the process without running the
/// destructors of static objects; for `init_bounded_logging`.
[[noreturn]] void flush_logging_and_exit(int code);

} // namespace endiveward::observe

#endif
