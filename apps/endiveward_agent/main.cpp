#include "agent/agent_module.hpp"
#include "agent/runtime_module.hpp"
#include "config/settings_loader.hpp"
#include "config/types/agent_settings.hpp"
#include "endiveward_agent/store_module.hpp"
#include "endiveward_agent/weights_process.hpp"
#include "enginelink/link_options.hpp"
#include "kernel/application.hpp"
#include "observe/logging.hpp"
#include "platform/boot_file.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <string>

namespace
{

using namespace endiveward;

enum exit_code : int
{
    exit_ok = 0,
    exit_usage = 2,
    exit_settings = 3,
    exit_start = 4,
    exit_cut = 5
};

constexpr char const* const exit_code_help = R"(
Signals: SIGTERM or SIGINT starts draining: new calls are refused, running
calls are finished, then the process exits. A second signal ends it at once.

Exit codes: 0 drained, or the settings are valid (--check); 2 wrong arguments;
3 settings are not valid; 4 the process could not start, for example because
an address is in use; 5 ended by a second signal, calls may have been cut.
)";

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance("agent");
}

/// Drains at the first signal and ends the process at the second.
class signal_handler
{
public:
    signal_handler(asio::io_context& context, agent::agent_module& agent)
        : signals_(context, SIGTERM, SIGINT)
        , agent_(agent)
    {
        wait();
    }

private:
    void wait()
    {
        signals_.async_wait(
            [this](std::error_code ec, int)
            {
                if (!ec)
                    on_signal();
            });
    }

    void on_signal()
    {
        if (draining_)
            end_at_once();
        draining_ = true;
        LOG4CPLUS_INFO(logger(), "draining: new calls are refused, "
                                     << agent_.open_calls()
                                     << " calls are finished");
        agent_.drain();
        wait();
    }

    [[noreturn]] void end_at_once()
    {
        LOG4CPLUS_WARN(logger(), "ended by a second signal; "
                                     << agent_.open_calls()
                                     << " calls were cut");
        // The logger has written the line; a regular shutdown could wait.
        std::_Exit(exit_cut);
    }

    asio::signal_set signals_;
    agent::agent_module& agent_;
    bool draining_ = false;
};

int run(config::agent_settings const& settings)
{
    asio::io_context control;
    auto module = std::make_unique<agent::agent_module>(
        settings,
        [&control] { asio::post(control, [&control] { control.stop(); }); });
    auto& agent = *module;
    kernel::application app;
    app.add_module(std::make_unique<agent::runtime_module>());
    app.add_module(
        std::make_unique<app::store_module>(settings.common.table_url));
    app.add_module(std::move(module));
    try
    {
        app.start();
    }
    catch (std::exception const& ex)
    {
        LOG4CPLUS_ERROR(logger(), "cannot start: " << ex.what());
        return exit_start;
    }
    signal_handler signals(control, agent);
    auto const guard = asio::make_work_guard(control);
    LOG4CPLUS_INFO(logger(), "serving endpoint " << settings.endpoint.str());
    control.run();
    LOG4CPLUS_INFO(logger(), "drained");
    app.stop();
    return exit_ok;
}

int load_and_run(std::string const& path, bool check_only)
{
    auto const settings = config::load_agent_settings(path);
    if (!kernel::ok(settings))
    {
        std::cerr << kernel::failure(settings).message << '\n';
        return exit_settings;
    }
    if (check_only)
    {
        std::cout << "the settings are valid\n";
        return exit_ok;
    }
    auto const& common = kernel::value(settings).common;
    auto const logging = observe::init_logging(
        common.log_level, common.format == config::log_format::json);
    if (!kernel::ok(logging))
    {
        std::cerr << kernel::failure(logging).message << '\n';
        return exit_settings;
    }
    auto const code = run(kernel::value(settings));
    observe::shutdown_logging();
    return code;
}

/// Runs on the users' platform, which names the settings file.
int run_on_platform(std::string const& level, std::string const& key_env)
{
    auto const key = enginelink::read_cluster_key(key_env);
    if (!kernel::ok(key))
    {
        std::cerr << kernel::failure(key).message << '\n';
        return exit_settings;
    }
    auto const loaded = platform::load_boot_file();
    if (!kernel::ok(loaded))
    {
        std::cerr << kernel::failure(loaded).message << '\n';
        return exit_settings;
    }
    if (!kernel::value(loaded).settings.engine)
    {
        std::cerr << kernel::value(loaded).path
                  << ": names no engine on this VM; run the agent on the VM "
                     "of an engine\n";
        return exit_settings;
    }
    auto const logging = observe::init_bounded_logging(level, true);
    if (!kernel::ok(logging))
    {
        std::cerr << kernel::failure(logging).message << '\n';
        return exit_settings;
    }
    auto const code =
        app::weights_process(kernel::value(loaded).settings, kernel::value(key))
            .run();
    observe::flush_logging_and_exit(code);
}

} // namespace

int main(int argc, char const* const* argv)
{
    cxxopts::Options options(
        "endiveward-agent",
        "Runs beside an endpoint: admits, runs and cancels its calls.");
    auto add = options.add_options();
    add("settings", "Settings file (TOML), see examples/",
        cxxopts::value<std::string>(), "FILE");
    add("platform", "Take the settings from the users' platform");
    add("log-level", "With --platform: trace, debug, info, warn or error",
        cxxopts::value<std::string>()->default_value("info"), "LEVEL");
    add("key-env", "With --platform: environment variable with the cluster key",
        cxxopts::value<std::string>()->default_value("ENDIVEWARD_CLUSTER_KEY"),
        "NAME");
    add("check", "Check the settings and exit");
    add("version", "Print the version and exit");
    add("h,help", "Print this help and exit");
    try
    {
        auto const args = options.parse(argc, argv);
        if (args.count("help") > 0)
        {
            std::cout << options.help() << exit_code_help;
            return exit_ok;
        }
        if (args.count("version") > 0)
        {
            std::cout << "endiveward-agent " << ENDIVEWARD_VERSION << '\n';
            return exit_ok;
        }
        if (args.count("platform") > 0)
            return run_on_platform(args["log-level"].as<std::string>(),
                                   args["key-env"].as<std::string>());
        if (args.count("settings") == 0 || !args.unmatched().empty())
        {
            std::cerr << "name the settings file: endiveward-agent --settings "
                         "FILE\n";
            return exit_usage;
        }
        return load_and_run(args["settings"].as<std::string>(),
                            args.count("check") > 0);
    }
    catch (cxxopts::exceptions::exception const& ex)
    {
        std::cerr << ex.what() << "; see endiveward-agent --help\n";
        return exit_usage;
    }
}
