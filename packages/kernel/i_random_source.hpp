#ifndef ENDIVEWARD_KERNEL_I_RANDOM_SOURCE_HPP
#define ENDIVEWARD_KERNEL_I_RANDOM_SOURCE_HPP

#include <cstdint>

namespace endiveward::kernel
{

/// Source of random numbers, so that tests can repeat a run.
class i_random_source
{
public:
    virtual ~i_random_source() = default;

    virtual std::uint64_t next() = 0;
};

} // namespace endiveward::kernel

#endif
