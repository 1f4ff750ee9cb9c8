#include "sha256.hpp"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <array>

namespace endiveward::bench
{

std::string sha256_hex(std::string const& text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(),
           digest.data());
    std::string res;
    for (auto const it : digest)
        res += fmt::format("{:02x}", it);
    return res;
}

} // namespace endiveward::bench
