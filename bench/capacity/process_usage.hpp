#ifndef ENDIVEWARD_BENCH_CAPACITY_PROCESS_USAGE_HPP
#define ENDIVEWARD_BENCH_CAPACITY_PROCESS_USAGE_HPP

#include <sys/types.h>

#include <cstdint>

namespace endiveward::bench
{

/// Processor time of this process in seconds, user and system.
double own_cpu_seconds();
/// Bytes that this process has allocated from the heap and not freed.
std::uint64_t heap_bytes();

/// What /proc says about another process.
struct process_usage
{
    double cpu_seconds = 0;
    std::uint64_t resident_bytes = 0;
};

process_usage usage_of(pid_t pid);
/// The most memory that a process has had resident so far.
std::uint64_t peak_resident_bytes(pid_t pid);

} // namespace endiveward::bench

#endif
