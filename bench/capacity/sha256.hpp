#ifndef ENDIVEWARD_BENCH_CAPACITY_SHA256_HPP
#define ENDIVEWARD_BENCH_CAPACITY_SHA256_HPP

#include <string>

namespace endiveward::bench
{

/// 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string const& text);

} // namespace endiveward::bench

#endif
