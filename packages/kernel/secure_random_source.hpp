#ifndef ENDIVEWARD_KERNEL_SECURE_RANDOM_SOURCE_HPP
#define ENDIVEWARD_KERNEL_SECURE_RANDOM_SOURCE_HPP

#include "kernel/i_random_source.hpp"

namespace endiveward::kernel
{

/// Unpredictable numbers from OpenSSL. Safe for concurrent use.
class secure_random_source : public i_random_source
{
public:
    std::uint64_t next() override;
};

} // namespace endiveward::kernel

#endif
