#include "policy/report.hpp"
#include "policy/simulation.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <exception>
#include <filesystem>
#include <fstream>

namespace
{

using namespace endiveward::bench;

std::vector<std::string> default_workloads()
{
    return {POLICY_WORKLOADS "/steekproef.toml",
            POLICY_WORKLOADS "/consortium.toml"};
}

std::vector<std::string> strings(cxxopts::ParseResult const& args,
                                 std::string const& name,
                                 std::vector<std::string> const& otherwise)
{
    return args.count(name) > 0 ? args[name].as<std::vector<std::string>>()
                                : otherwise;
}

std::vector<report_row> run_scenario(std::string const& path,
                                     std::string const& scenario,
                                     std::uint64_t seed)
{
    auto const load = load_workload(path, scenario);
    auto const input = make_trace(load, seed);
    std::vector<report_row> rows;
    rows.reserve(all_policies.size());
    for (auto const it : all_policies)
        rows.push_back(
            {load.name, scenario, seed, it, simulation(load, input, it).run()});
    return rows;
}

int run(cxxopts::ParseResult const& args)
{
    auto const workloads = strings(args, "workload", default_workloads());
    std::vector<report_row> rows;
    for (auto const& path : workloads)
    {
        for (auto const& it : strings(args, "scenario", scenario_names(path)))
            for (auto const seed :
                 args["seed"].as<std::vector<std::uint64_t>>())
            {
                auto made = run_scenario(path, it, seed);
                rows.insert(rows.end(), made.begin(), made.end());
            }
    }
    fmt::print("{}", to_table(rows));
    std::ofstream(args["csv"].as<std::string>()) << to_csv(rows);
    if (args.count("trace") > 0)
        std::ofstream(args["trace"].as<std::string>()) << to_trace_csv(rows);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("policy_bench",
                             "Compares placement policies on fake time.");
    options.add_options()("workload",
                          "TOML descriptions; default: both deployments",
                          cxxopts::value<std::vector<std::string>>())(
        "scenario", "scenarios; default: all of the description",
        cxxopts::value<std::vector<std::string>>())(
        "seed", "seeds of the traffic",
        cxxopts::value<std::vector<std::uint64_t>>()->default_value("1"))(
        "csv", "file for the figures",
        cxxopts::value<std::string>()->default_value("policy_bench.csv"))(
        "trace", "file for one line per request",
        cxxopts::value<std::string>())("help", "print this text");
    try
    {
        auto const args = options.parse(argc, argv);
        if (args.count("help") > 0)
        {
            fmt::print("{}\n", options.help());
            return 0;
        }
        return run(args);
    }
    catch (std::exception const& ex)
    {
        fmt::print(stderr, "policy_bench: {}\n", ex.what());
        return 1;
    }
}
