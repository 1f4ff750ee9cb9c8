#ifndef ENDIVEWARD_WIRE_FRAME_AUTHENTICATOR_HPP
#define ENDIVEWARD_WIRE_FRAME_AUTHENTICATOR_HPP

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string>

struct evp_mac_ctx_st;

namespace endiveward::wire
{

/// Computes the tags of the frames of one direction.
class frame_authenticator
{
public:
    static constexpr std::size_t tag_size = 16;
    using tag = std::array<std::uint8_t, tag_size>;

    explicit frame_authenticator(std::string const& key);
    ~frame_authenticator();
    frame_authenticator(frame_authenticator&&) noexcept;
    frame_authenticator& operator=(frame_authenticator&&) noexcept;

    /// Tag of the frame with this sequence number.
    tag compute(std::uint64_t number, std::span<std::uint8_t const> payload);
    /// Compares in constant time.
    bool matches(std::uint64_t number, std::span<std::uint8_t const> payload,
                 std::span<std::uint8_t const> received);

private:
    struct context_deleter
    {
        void operator()(evp_mac_ctx_st* context) const;
    };

    std::unique_ptr<evp_mac_ctx_st, context_deleter> context_;
};

} // namespace endiveward::wire

#endif
