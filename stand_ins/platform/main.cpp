#if defined(__GNUC__) && !defined(__clang__)
// GCC 12 reports -Wrestrict falsely for string concatenation in cxxopts.
#pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include "common/listen_address.hpp"
#include "platform/platform_service.hpp"

#include <cxxopts.hpp>

#include <cstdio>
#include <cstdlib>

int main(int argc, char** argv)
{
    using namespace endiveward::stand_ins;
    using std::chrono::milliseconds;
    try
    {
        cxxopts::Options options("platform_stand_in", "Platform for tests");
        options.add_options()                                           //
            ("listen", "ADDRESS:PORT", cxxopts::value<std::string>())   //
            ("vm-lag-ms", "Delay of the VM list",                       //
             cxxopts::value<std::int64_t>()->default_value("0"))        //
            ("load-time-ms", "Time to load weights, up to two at once", //
             cxxopts::value<std::int64_t>()->default_value("1000"))     //
            ("max-loads", "Weight loads at once, 0 for any",            //
             cxxopts::value<std::size_t>()->default_value("0"));
        auto const args = options.parse(argc, argv);
        auto const at = parse_listen_address(args["listen"].as<std::string>());
        block_stop_signals();
        platform_service service(
            {milliseconds(args["vm-lag-ms"].as<std::int64_t>()),
             milliseconds(args["load-time-ms"].as<std::int64_t>()),
             args["max-loads"].as<std::size_t>()});
        http_server server(at.address, at.port,
                           [&service](auto& req, auto& rep)
                           { service.handle(req, rep); });
        wait_for_stop();
        std::_Exit(EXIT_SUCCESS);
    }
    catch (std::exception const& ex)
    {
        std::fprintf(stderr, "platform_stand_in: %s\n", ex.what());
        return EXIT_FAILURE;
    }
}
