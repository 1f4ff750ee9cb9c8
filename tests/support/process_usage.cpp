#include "support/process_usage.hpp"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <sstream>
#include <string>

namespace endiveward::test_support
{

namespace
{

constexpr int hexadecimal = 16;

std::filesystem::path folder_of(pid_t process)
{
    return std::filesystem::path("/proc") / std::to_string(process);
}

} // namespace

std::size_t peak_memory(pid_t process)
{
    std::ifstream file(folder_of(process) / "status");
    constexpr auto rest_of_line = std::numeric_limits<std::streamsize>::max();
    for (std::string key; file >> key; file.ignore(rest_of_line, '\n'))
    {
        std::size_t kib = 0;
        if (key == "VmHWM:" && file >> kib)
            return kib << 10U;
    }
    return 0;
}

std::size_t open_descriptors(pid_t process)
{
    std::error_code ec;
    std::filesystem::directory_iterator const list(folder_of(process) / "fd",
                                                   ec);
    return static_cast<std::size_t>(std::distance(begin(list), end(list)));
}

std::size_t unread_bytes(std::uint16_t port)
{
    std::ifstream file("/proc/net/tcp");
    auto const suffix = fmt::format(":{:04X}", port);
    constexpr char const* const listening = "0A";
    std::size_t res = 0;
    for (std::string line; std::getline(file, line);)
    {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        // The receive queue of a listener counts connections.
        if (!local.ends_with(suffix) || state == listening)
            continue;
        auto const received = queues.substr(queues.find(':') + 1);
        res += std::stoul(received, nullptr, hexadecimal);
    }
    return res;
}

} // namespace endiveward::test_support
