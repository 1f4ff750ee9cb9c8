#if defined(__GNUC__) && !defined(__clang__)
// GCC 12 reports -Wrestrict falsely for string concatenation in cxxopts.
#pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include "common/run_stand_in.hpp"
#include "engine/engine_service.hpp"

#include <curl/curl.h>
#include <cxxopts.hpp>

#include <memory>

namespace
{

using namespace endiveward::stand_ins;
using std::chrono::milliseconds;

cxxopts::Options program_options()
{
    cxxopts::Options options("engine_stand_in", "Model engine for tests");
    options.add_options()                                                 //
        ("listen", "ADDRESS:PORT", cxxopts::value<std::string>())         //
        ("capacity", "Requests that run at once",                         //
         cxxopts::value<std::size_t>()->default_value("16"))              //
        ("cache-blocks", "Blocks of 1,024 bytes that fit in the cache",   //
         cxxopts::value<std::size_t>()->default_value("4096"))            //
        ("prefill-bytes-per-s", "Prompt bytes computed per second",       //
         cxxopts::value<std::uint64_t>()->default_value("40000"))         //
        ("token-interval-ms", "Time between tokens",                      //
         cxxopts::value<std::int64_t>()->default_value("5"))              //
        ("weights", "Loaded at the start: model@version,...",             //
         cxxopts::value<std::string>()->default_value(""))                //
        ("weights-url", "Platform from which weights are loaded",         //
         cxxopts::value<std::string>()->default_value(""))                //
        ("load-time-ms", "Time to load weights without --weights-url",    //
         cxxopts::value<std::int64_t>()->default_value("1000"))           //
        ("fencing", "checked or unchecked",                               //
         cxxopts::value<std::string>()->default_value("checked"))         //
        ("load-lag-ms", "Age of reported load",                           //
         cxxopts::value<std::int64_t>()->default_value("200"))            //
        ("event-lag-ms", "Delay of cache events",                         //
         cxxopts::value<std::int64_t>()->default_value("50"))             //
        ("event-loss", "Share of cache events that are lost",             //
         cxxopts::value<double>()->default_value("0"))                    //
        ("seed", "Seed of event loss",                                    //
         cxxopts::value<std::uint64_t>()->default_value("1"))             //
        ("stream-retention-ms", "Time for which broken streams are kept", //
         cxxopts::value<std::int64_t>()->default_value("10000"));
    return options;
}

engine_options read_options(cxxopts::ParseResult const& args)
{
    auto const time = [&args](char const* name)
    { return milliseconds(args[name].as<std::int64_t>()); };
    engine_options options;
    options.capacity = args["capacity"].as<std::size_t>();
    options.cache_blocks = args["cache-blocks"].as<std::size_t>();
    options.prefill_bytes_per_second =
        args["prefill-bytes-per-s"].as<std::uint64_t>();
    options.token_interval = time("token-interval-ms");
    options.weights = args["weights"].as<std::string>();
    options.weights_url = args["weights-url"].as<std::string>();
    options.load_time = time("load-time-ms");
    options.checks_fencing = args["fencing"].as<std::string>() == "checked";
    options.load_lag = time("load-lag-ms");
    options.event_lag = time("event-lag-ms");
    options.event_loss = args["event-loss"].as<double>();
    options.seed = args["seed"].as<std::uint64_t>();
    options.stream_retention = time("stream-retention-ms");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = program_options();
    return run_stand_in(options, argc, argv,
                        [](cxxopts::ParseResult const& args)
                        {
                            curl_global_init(CURL_GLOBAL_DEFAULT);
                            return std::make_unique<engine_service>(
                                read_options(args));
                        });
}
