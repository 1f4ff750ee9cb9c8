#ifndef ENDIVEWARD_KERNEL_POST_FUNCTION_HPP
#define ENDIVEWARD_KERNEL_POST_FUNCTION_HPP

#include <functional>

namespace endiveward::kernel
{

/// Runs a function later on the thread of its owner.
using post_function = std::function<void(std::function<void()>)>;

} // namespace endiveward::kernel

#endif
