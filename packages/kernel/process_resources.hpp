#ifndef ENDIVEWARD_KERNEL_PROCESS_RESOURCES_HPP
#define ENDIVEWARD_KERNEL_PROCESS_RESOURCES_HPP

#include <cstddef>

namespace endiveward::kernel
{

/// Makes the allocator return large blocks to the system as soon as they are
/// freed. To be called before other threads are started.
void return_large_blocks();

/// Returns free memory to the system.
void release_free_memory();

/// Number of descriptors that the system allows the process, or `limit` if that
/// is lower and not 0.
std::size_t allowed_descriptors(std::size_t limit);

} // namespace endiveward::kernel

#endif
