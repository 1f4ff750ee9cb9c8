#ifndef ENDIVEWARD_KERNEL_SEEDED_RANDOM_SOURCE_HPP
#define ENDIVEWARD_KERNEL_SEEDED_RANDOM_SOURCE_HPP

#include "kernel/i_random_source.hpp"

#include <random>

namespace endiveward::kernel
{

/// A repeatable source. Not safe for concurrent use.
class seeded_random_source : public i_random_source
{
public:
    explicit seeded_random_source(std::uint64_t seed)
        : engine_(seed)
    {
    }

    std::uint64_t next() override { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace endiveward::kernel

#endif
