#ifndef ENDIVEWARD_KERNEL_FREE_MEMORY_HPP
#define ENDIVEWARD_KERNEL_FREE_MEMORY_HPP

#include <utility>

namespace endiveward::kernel
{

/// Empties a string, a container or a structure of them and frees what it has
/// allocated. Assigning an empty one may keep that for later use.
template <typename T>
void free_memory(T& it)
{
    [[maybe_unused]] auto const freed = std::exchange(it, T());
}

} // namespace endiveward::kernel

#endif
