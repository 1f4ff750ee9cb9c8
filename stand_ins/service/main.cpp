#if defined(__GNUC__) && !defined(__clang__)
// GCC 12 reports -Wrestrict falsely for string concatenation in cxxopts.
#pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include "common/run_stand_in.hpp"
#include "service/plain_service.hpp"

#include <cxxopts.hpp>

#include <memory>

int main(int argc, char** argv)
{
    using namespace endiveward::stand_ins;
    cxxopts::Options options("service_stand_in", "Plain service for tests");
    options.add_options()                                         //
        ("listen", "ADDRESS:PORT", cxxopts::value<std::string>()) //
        ("delay-ms", "Time before an answer",                     //
         cxxopts::value<std::int64_t>()->default_value("0"));
    return run_stand_in(
        options, argc, argv,
        [](cxxopts::ParseResult const& args)
        {
            return std::make_unique<plain_service>(
                std::chrono::milliseconds(args["delay-ms"].as<std::int64_t>()));
        });
}
