#ifndef ENDIVEWARD_STAND_INS_RUN_STAND_IN_HPP
#define ENDIVEWARD_STAND_INS_RUN_STAND_IN_HPP

#include "common/http_server.hpp"
#include "common/listen_address.hpp"

#include <cxxopts.hpp>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

namespace endiveward::stand_ins
{

/// Runs a stand-in until a stop signal. `options` has `listen`; `make_service`
/// takes the parsed arguments and gives a pointer to the service.
template <typename MakeService>
int run_stand_in(cxxopts::Options& options, int argc, char** argv,
                 MakeService make_service)
{
    try
    {
        auto const args = options.parse(argc, argv);
        auto const at = parse_listen_address(args["listen"].as<std::string>());
        block_stop_signals();
        auto const service = make_service(args);
        http_server const server(at.address, at.port,
                                 [&service](auto& req, auto& rep)
                                 { service->handle(req, rep); });
        wait_for_stop();
        // A stand-in has nothing to save; open streams end with the process.
        std::_Exit(EXIT_SUCCESS);
    }
    catch (std::exception const& ex)
    {
        std::fprintf(stderr, "%s: %s\n", options.program().c_str(), ex.what());
        return EXIT_FAILURE;
    }
}

} // namespace endiveward::stand_ins

#endif
