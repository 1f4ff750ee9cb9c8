#include "wire/session_keys.hpp"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <stdexcept>
#include <string_view>

namespace endiveward::wire
{

namespace
{

std::string sha256(std::span<std::uint8_t const> bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int n = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), buf.data(), &n, EVP_sha256(),
                   nullptr) != 1)
        throw std::runtime_error("OpenSSL cannot compute SHA-256; check the "
                                 "OpenSSL installation");
    return std::string(reinterpret_cast<char const*>(buf.data()), n);
}

std::string hmac(cluster_key const& key, std::string_view label,
                 std::string const& transcript)
{
    std::string const input = std::string(label) + transcript;
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int n = 0;
    if (HMAC(EVP_sha256(), key.bytes.data(), static_cast<int>(key.bytes.size()),
             reinterpret_cast<unsigned char const*>(input.data()), input.size(),
             buf.data(), &n) == nullptr)
        throw std::runtime_error("OpenSSL cannot compute HMAC-SHA256; check "
                                 "the OpenSSL installation");
    return std::string(reinterpret_cast<char const*>(buf.data()), n);
}

} // namespace

session_keys derive_session_keys(cluster_key const& key,
                                 std::span<std::uint8_t const> client_hello,
                                 std::span<std::uint8_t const> server_hello)
{
    std::string const transcript = sha256(client_hello) + sha256(server_hello);
    return session_keys{hmac(key, "endiveward client to server", transcript),
                        hmac(key, "endiveward server to client", transcript)};
}

} // namespace endiveward::wire
