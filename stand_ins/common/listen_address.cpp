#include "common/listen_address.hpp"

#include <csignal>
#include <stdexcept>

namespace endiveward::stand_ins
{

namespace
{

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

listen_address parse_listen_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("write --listen as ADDRESS:PORT");
    return {text.substr(0, colon),
            static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

void block_stop_signals()
{
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_stop()
{
    auto const signals = stop_signals();
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace endiveward::stand_ins
