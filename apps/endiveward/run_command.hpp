#ifndef ENDIVEWARD_ENDIVEWARD_RUN_COMMAND_HPP
#define ENDIVEWARD_ENDIVEWARD_RUN_COMMAND_HPP

namespace endiveward::app
{

/// `endiveward run --settings FILE [--check]`. Exit codes: 0 after a planned
/// stop, 1 after a failure or a forced stop, 2 for wrong arguments or settings.
int run_router(int argc, char const* const* argv);

} // namespace endiveward::app

#endif
