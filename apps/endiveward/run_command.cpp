#include "endiveward/run_command.hpp"

#include "config/settings_loader.hpp"
#include "config/types/router_settings.hpp"
#include "endiveward/gateway_process.hpp"
#include "endiveward/process_services_module.hpp"
#include "enginelink/link_options.hpp"
#include "gateway/prompt_mix_setting.hpp"
#include "kernel/application.hpp"
#include "kernel/process_resources.hpp"
#include "kernel/system_clock.hpp"
#include "observe/logging.hpp"
#include "platform/boot_file.hpp"
#include "room/types/room_switch.hpp"
#include "router/drain_sequence.hpp"
#include "router/router_module.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

namespace endiveward::app
{

namespace
{

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr char const* prompt_mix_variable = "ENDIVEWARD_PROMPT_MIX";
constexpr std::chrono::milliseconds tick_interval{50};
constexpr char const* room_variable = "ENDIVEWARD_ROOM";

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("endiveward.process"));
}

/// Waits for signals and carries out the steps of a planned stop.
class stop_control
{
public:
    stop_control(router::router_module& router,
                 std::chrono::milliseconds notice)
        : router_(router)
        , drain_(notice)
        , signals_(context_, SIGTERM, SIGINT)
        , timer_(context_)
    {
    }

    /// Gives the exit code.
    int wait()
    {
        wait_for_signal();
        context_.run();
        return exit_code_;
    }

private:
    using step = router::drain_sequence::step;

    void wait_for_signal()
    {
        signals_.async_wait(
            [this](std::error_code ec, int)
            {
                if (ec)
                    return;
                wait_for_signal();
                perform(drain_.on_signal(clock_.now()));
            });
    }

    void wait_for_tick()
    {
        timer_.expires_after(tick_interval);
        timer_.async_wait(
            [this](std::error_code ec)
            {
                if (ec)
                    return;
                wait_for_tick();
                perform(drain_.on_tick(clock_.now(), router_.active_calls()));
            });
    }

    void perform(step next)
    {
        switch (next)
        {
        case step::announce:
            LOG4CPLUS_INFO(logger(), "stopping: not ready from now on");
            router_.announce_stop();
            wait_for_tick();
            break;
        case step::close_listeners:
            LOG4CPLUS_INFO(logger(), "stopping: listeners closed, "
                                         << router_.active_calls()
                                         << " calls in progress");
            router_.close_listeners();
            break;
        case step::exit:
            LOG4CPLUS_INFO(logger(), "stopping: all calls have ended");
            context_.stop();
            break;
        case step::exit_at_once:
            LOG4CPLUS_WARN(logger(), "stopped by a second signal, "
                                         << router_.active_calls()
                                         << " calls cut");
            exit_code_ = exit_failure;
            context_.stop();
            break;
        case step::none:
            break;
        }
    }

    router::router_module& router_;
    router::drain_sequence drain_;
    kernel::system_clock clock_;
    asio::io_context context_{1};
    asio::signal_set signals_;
    asio::steady_timer timer_;
    int exit_code_ = 0;
};

int serve(config::router_settings const& settings)
{
    kernel::application app;
    app.add_module(std::make_unique<process_services_module>(settings));
    auto module = std::make_unique<router::router_module>(settings);
    auto& router = *module;
    app.add_module(std::move(module));
    // Registered before the threads start, so that no signal is missed.
    stop_control control(router, settings.shutdown_notice);
    app.start();
    LOG4CPLUS_INFO(logger(), "callers on port " << router.caller_port()
                                                << ", operators on port "
                                                << router.operator_port());
    auto const code = control.wait();
    app.stop();
    return code;
}

int serve_or_report(config::router_settings const& settings)
{
    try
    {
        return serve(settings);
    }
    catch (std::exception const& ex)
    {
        LOG4CPLUS_ERROR(logger(), ex.what());
        return exit_failure;
    }
}

int run_with(std::string const& path, bool check)
{
    auto const loaded = config::load_router_settings(path);
    if (!kernel::ok(loaded))
    {
        std::cerr << kernel::failure(loaded).message << '\n';
        return exit_usage;
    }
    auto const& settings = kernel::value(loaded);
    if (check)
    {
        std::cout << path << ": settings are valid\n";
        return 0;
    }
    auto const logging = observe::init_logging(settings.common.log_level,
                                               settings.common.format ==
                                                   config::log_format::json);
    if (!kernel::ok(logging))
    {
        std::cerr << kernel::failure(logging).message << '\n';
        return exit_usage;
    }
    auto const code = serve_or_report(settings);
    observe::shutdown_logging();
    return code;
}

/// Returns no value, and says why, if the variable has another value than
/// `on`, `off` or `auto`.
std::optional<room::room_switch> read_room_switch()
{
    char const* const text =
        std::getenv(room_variable); // NOLINT(concurrency-mt-unsafe)
    auto const res = room::parse_room_switch(text == nullptr ? "auto" : text);
    if (!res)
        std::cerr << "the environment variable " << room_variable
                  << " must be on, off or auto, not \"" << text << "\"\n";
    return res;
}

/// Runs on the users' platform, which names the settings file.
int run_on_platform(std::string const& level, std::string const& key_env)
{
    auto const key = enginelink::read_cluster_key(key_env);
    if (!kernel::ok(key))
    {
        std::cerr << kernel::failure(key).message << '\n';
        return exit_usage;
    }
    auto const room = read_room_switch();
    if (!room)
        return exit_usage;
    auto const prompt_mix = gateway::read_prompt_mix(prompt_mix_variable);
    if (!kernel::ok(prompt_mix))
    {
        std::cerr << kernel::failure(prompt_mix).message << '\n';
        return exit_usage;
    }
    auto const loaded = platform::load_boot_file();
    if (!kernel::ok(loaded))
    {
        std::cerr << kernel::failure(loaded).message << '\n';
        return exit_usage;
    }
    auto const logging = observe::init_bounded_logging(level, true);
    if (!kernel::ok(logging))
    {
        std::cerr << kernel::failure(logging).message << '\n';
        return exit_usage;
    }
    int code = exit_failure;
    try
    {
        code = gateway_process(kernel::value(loaded).settings,
                               kernel::value(loaded).path, kernel::value(key),
                               *room, kernel::value(prompt_mix))
                   .run();
    }
    catch (std::exception const& ex)
    {
        LOG4CPLUS_ERROR(logger(), ex.what());
    }
    observe::flush_logging_and_exit(code);
}

} // namespace

int run_router(int argc, char const* const* argv)
{
    cxxopts::Options options("endiveward run", "Runs a router.");
    options.add_options()("settings", "settings file (TOML)",
                          cxxopts::value<std::string>(),
                          "FILE")("check", "check the settings and exit")(
        "platform", "take the settings from the users' platform")(
        "log-level", "with --platform: trace, debug, info, warn or error",
        cxxopts::value<std::string>()->default_value("info"), "LEVEL")(
        "key-env", "with --platform: environment variable with the cluster key",
        cxxopts::value<std::string>()->default_value("ENDIVEWARD_CLUSTER_KEY"),
        "NAME")("h,help", "show this help");
    try
    {
        auto const parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        kernel::return_large_blocks();
        if (parsed.count("platform") > 0)
            return run_on_platform(parsed["log-level"].as<std::string>(),
                                   parsed["key-env"].as<std::string>());
        if (parsed.count("settings") == 0)
        {
            std::cerr << "name the settings file with --settings FILE\n";
            return exit_usage;
        }
        return run_with(parsed["settings"].as<std::string>(),
                        parsed.count("check") > 0);
    }
    catch (cxxopts::exceptions::exception const& ex)
    {
        std::cerr << ex.what() << "; see endiveward run --help\n";
        return exit_usage;
    }
}

} // namespace endiveward::app
