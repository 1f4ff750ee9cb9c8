#if defined(__GNUC__) && !defined(__clang__)
// GCC 12 reports -Wrestrict falsely for string concatenation in cxxopts.
#pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include "common/run_stand_in.hpp"
#include "platform/platform_service.hpp"

#include <cxxopts.hpp>

#include <memory>

int main(int argc, char** argv)
{
    using namespace endiveward::stand_ins;
    using std::chrono::milliseconds;
    cxxopts::Options options("platform_stand_in", "Platform for tests");
    options.add_options()                                           //
        ("listen", "ADDRESS:PORT", cxxopts::value<std::string>())   //
        ("vm-lag-ms", "Delay of the VM list",                       //
         cxxopts::value<std::int64_t>()->default_value("0"))        //
        ("load-time-ms", "Time to load weights, up to two at once", //
         cxxopts::value<std::int64_t>()->default_value("1000"))     //
        ("max-loads", "Weight loads at once, 0 for any",            //
         cxxopts::value<std::size_t>()->default_value("0"))         //
        ("restore-every-ms",
         "Time between restores of table and objects from a copy, 0 for none",
         cxxopts::value<std::int64_t>()->default_value("0"))    //
        ("restore-copy-age-ms", "Age of that copy",             //
         cxxopts::value<std::int64_t>()->default_value("3000")) //
        ("restore-away-ms", "Time away before a restore",       //
         cxxopts::value<std::int64_t>()->default_value("500"));
    return run_stand_in(
        options, argc, argv,
        [](cxxopts::ParseResult const& args)
        {
            return std::make_unique<platform_service>(platform_options{
                milliseconds(args["vm-lag-ms"].as<std::int64_t>()),
                milliseconds(args["load-time-ms"].as<std::int64_t>()),
                args["max-loads"].as<std::size_t>(),
                {milliseconds(args["restore-every-ms"].as<std::int64_t>()),
                 milliseconds(args["restore-copy-age-ms"].as<std::int64_t>()),
                 milliseconds(args["restore-away-ms"].as<std::int64_t>())}});
        });
}
