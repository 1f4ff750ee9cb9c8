#if defined(__GNUC__) && !defined(__clang__)
// GCC 12 reports -Wrestrict falsely for string concatenation in cxxopts.
#pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include "common/listen_address.hpp"
#include "service/plain_service.hpp"

#include <cxxopts.hpp>

#include <cstdio>
#include <cstdlib>

int main(int argc, char** argv)
{
    using namespace endiveward::stand_ins;
    try
    {
        cxxopts::Options options("service_stand_in", "Plain service for tests");
        options.add_options()                                         //
            ("listen", "ADDRESS:PORT", cxxopts::value<std::string>()) //
            ("delay-ms", "Time before an answer",                     //
             cxxopts::value<std::int64_t>()->default_value("0"));
        auto const args = options.parse(argc, argv);
        auto const at = parse_listen_address(args["listen"].as<std::string>());
        block_stop_signals();
        plain_service service(
            std::chrono::milliseconds(args["delay-ms"].as<std::int64_t>()));
        http_server server(at.address, at.port,
                           [&service](auto& req, auto& rep)
                           { service.handle(req, rep); });
        wait_for_stop();
        std::_Exit(EXIT_SUCCESS);
    }
    catch (std::exception const& ex)
    {
        std::fprintf(stderr, "service_stand_in: %s\n", ex.what());
        return EXIT_FAILURE;
    }
}
