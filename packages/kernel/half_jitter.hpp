#ifndef ENDIVEWARD_KERNEL_HALF_JITTER_HPP
#define ENDIVEWARD_KERNEL_HALF_JITTER_HPP

#include <chrono>

namespace endiveward::kernel
{

class i_random_source;

/// A random time from half of the pause to all of it, so that processes that
/// failed together do not come back together.
std::chrono::milliseconds half_jitter(std::chrono::milliseconds pause,
                                      i_random_source& random);

} // namespace endiveward::kernel

#endif
