#include "process_usage.hpp"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <string_view>

namespace endiveward::bench
{

namespace
{

double seconds(timeval const& time)
{
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * 1e-6;
}

} // namespace

double own_cpu_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::uint64_t heap_bytes()
{
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

process_usage usage_of(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string const text(std::istreambuf_iterator<char>(file), {});
    if (text.empty())
        return {};
    // The program's name in parentheses may hold spaces.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string const all(std::istreambuf_iterator<char>(fields), {});
    std::istringstream in(all);
    std::string skipped;
    // Fields 3 to 13 of proc(5); utime is field 14.
    for (int i = 3; i <= 13; ++i)
        in >> skipped;
    double user = 0;
    double system = 0;
    in >> user >> system;
    // Fields 16 to 23; rss is field 24.
    for (int i = 16; i <= 23; ++i)
        in >> skipped;
    std::uint64_t pages = 0;
    in >> pages;
    return {(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
            pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE))};
}

std::uint64_t peak_resident_bytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    constexpr std::string_view name = "VmHWM:";
    constexpr std::uint64_t kibibyte = 1024;
    for (std::string line; std::getline(file, line);)
        if (line.starts_with(name))
            return std::stoull(line.substr(name.size())) * kibibyte;
    return 0;
}

} // namespace endiveward::bench
