#include "kernel/process_resources.hpp"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>

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

std::size_t allowed_descriptors(std::size_t limit)
{
    rlimit allowed{};
    if (getrlimit(RLIMIT_NOFILE, &allowed) != 0 ||
        allowed.rlim_cur == RLIM_INFINITY)
        return limit;
    return limit == 0 ? allowed.rlim_cur
                      : std::min<std::size_t>(limit, allowed.rlim_cur);
}

} // namespace endiveward::kernel
