#include "kernel/process_resources.hpp"

#include <malloc.h>

namespace endiveward::kernel
{

void return_large_blocks()
{
    // glibc raises this threshold itself when a large block is freed. Blocks
    // below it stay with the process as long as later ones are in use.
    constexpr int threshold = 128 << 10;
    mallopt(M_MMAP_THRESHOLD, threshold);
}

void release_free_memory()
{
    malloc_trim(0);
}

} // namespace endiveward::kernel
