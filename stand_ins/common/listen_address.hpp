#ifndef ENDIVEWARD_STAND_INS_LISTEN_ADDRESS_HPP
#define ENDIVEWARD_STAND_INS_LISTEN_ADDRESS_HPP

#include <cstdint>
#include <string>

namespace endiveward::stand_ins
{

struct listen_address
{
    std::string address;
    std::uint16_t port = 0;
};

/// Reads `127.0.0.1:8080`. Throws `std::invalid_argument`.
listen_address parse_listen_address(std::string const& text);

/// Returns on SIGTERM or SIGINT, which must be blocked by
/// `block_stop_signals` before any thread starts.
void wait_for_stop();
void block_stop_signals();

} // namespace endiveward::stand_ins

#endif
