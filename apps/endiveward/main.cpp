#include "endiveward/subcommands.hpp"

#include <iomanip>
#include <iostream>
#include <string_view>

namespace
{

constexpr int exit_usage = 2;
constexpr int name_width = 12;

void print_help(std::ostream& out)
{
    out << "usage: endiveward [--version] [--help] SUBCOMMAND [ARGUMENTS]\n\n";
    for (auto const& it : endiveward::app::subcommands())
        out << "  " << std::left << std::setw(name_width) << it.name << it.brief
            << '\n';
}

} // namespace

int main(int argc, char const* const* argv)
{
    std::string_view const first = argc > 1 ? argv[1] : "";
    if (first == "--version")
    {
        std::cout << "endiveward " << ENDIVEWARD_VERSION << '\n';
        return 0;
    }
    if (first == "--help" || first == "-h")
    {
        print_help(std::cout);
        return 0;
    }
    for (auto const& it : endiveward::app::subcommands())
    {
        if (it.name == first)
            return it.run(argc - 1, argv + 1);
    }
    std::cerr << (first.empty() ? "name a subcommand" : "unknown subcommand")
              << "\n\n";
    print_help(std::cerr);
    return exit_usage;
}
