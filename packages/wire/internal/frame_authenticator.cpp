#include "wire/frame_authenticator.hpp"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace endiveward::wire
{

namespace
{

void require(bool succeeded)
{
    if (!succeeded)
        throw std::runtime_error("OpenSSL cannot compute HMAC-SHA256; check "
                                 "the OpenSSL installation");
}

} // namespace

void frame_authenticator::context_deleter::operator()(
    evp_mac_ctx_st* context) const
{
    EVP_MAC_CTX_free(context);
}

frame_authenticator::frame_authenticator(std::string const& key)
{
    EVP_MAC* const mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    require(mac != nullptr);
    context_.reset(EVP_MAC_CTX_new(mac));
    EVP_MAC_free(mac);
    require(context_ != nullptr);
    char digest[] = "SHA256";
    std::array<OSSL_PARAM, 2> const params{
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
        OSSL_PARAM_construct_end()};
    require(EVP_MAC_init(context_.get(),
                         reinterpret_cast<unsigned char const*>(key.data()),
                         key.size(), params.data()) == 1);
}

frame_authenticator::~frame_authenticator() = default;
frame_authenticator::frame_authenticator(frame_authenticator&&) noexcept =
    default;
frame_authenticator&
frame_authenticator::operator=(frame_authenticator&&) noexcept = default;

frame_authenticator::tag
frame_authenticator::compute(std::uint64_t number,
                             std::span<std::uint8_t const> payload)
{
    std::array<unsigned char, sizeof(number)> prefix{};
    std::memcpy(prefix.data(), &number, sizeof(number));
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    std::size_t n = 0;
    // Without a key the context starts again with the key it has.
    require(EVP_MAC_init(context_.get(), nullptr, 0, nullptr) == 1);
    require(EVP_MAC_update(context_.get(), prefix.data(), prefix.size()) == 1);
    require(EVP_MAC_update(context_.get(), payload.data(), payload.size()) ==
            1);
    require(EVP_MAC_final(context_.get(), buf.data(), &n, buf.size()) == 1);
    tag out{};
    std::copy_n(buf.begin(), out.size(), out.begin());
    return out;
}

bool frame_authenticator::matches(std::uint64_t number,
                                  std::span<std::uint8_t const> payload,
                                  std::span<std::uint8_t const> received)
{
    auto const expected = compute(number, payload);
    return received.size() == expected.size() &&
           CRYPTO_memcmp(expected.data(), received.data(), expected.size()) ==
               0;
}

} // namespace endiveward::wire
