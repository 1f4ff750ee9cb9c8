#include "kernel/secure_random_source.hpp"

#include <openssl/rand.h>

#include <array>
#include <cstring>
#include <stdexcept>

namespace endiveward::kernel
{

std::uint64_t secure_random_source::next()
{
    std::array<unsigned char, sizeof(std::uint64_t)> buf{};
    if (RAND_bytes(buf.data(), static_cast<int>(buf.size())) != 1)
        throw std::runtime_error("OpenSSL has no random numbers; check that "
                                 "the system's entropy source is available");
    std::uint64_t number = 0;
    std::memcpy(&number, buf.data(), buf.size());
    return number;
}

} // namespace endiveward::kernel
