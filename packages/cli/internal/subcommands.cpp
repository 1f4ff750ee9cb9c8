#include "cli/subcommands.hpp"

#include "cli/acceptance.hpp"
#include "cli/exit_code.hpp"
#include "cli/internal/operator_client.hpp"
#include "cli/traffic_diff.hpp"
#include "config/apply_change.hpp"
#include "config/change_log.hpp"
#include "config/config_json.hpp"
#include "config/configuration.hpp"
#include "config/settings_loader.hpp"
#include "config/types/agent_settings.hpp"
#include "config/types/router_settings.hpp"
#include "explain/log_reader.hpp"
#include "explain/request_story.hpp"
#include "kernel/secure_random_source.hpp"
#include "storage/http_client.hpp"
#include "storage/http_object_store.hpp"
#include "storage/http_table.hpp"
#include "storage/http_vm_list.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <future>
#include <iostream>
#include <iterator>
#include <thread>
#include <utility>

namespace endiveward::cli
{

namespace
{

using nlohmann::json;
using words = std::vector<std::string>;

int code_of(kernel::error_kind kind)
{
    switch (kind)
    {
    case kernel::error_kind::conflict:
        return exit_conflict;
    case kernel::error_kind::store_unavailable:
        return exit_store_unavailable;
    case kernel::error_kind::invalid_request:
        return exit_usage;
    default:
        return exit_other;
    }
}

std::string make_uuid()
{
    kernel::secure_random_source random;
    auto const high = (random.next() & ~0xf000ULL) | 0x4000ULL;
    auto const low = (random.next() & ~(3ULL << 62U)) | (1ULL << 63U);
    return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", high >> 32U,
                       (high >> 16U) & 0xffffU, high & 0xffffU, low >> 48U,
                       low & 0xffffffffffffULL);
}

std::string default_author()
{
    // Read before any thread is started.
    auto const* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
    return user == nullptr || *user == '\0' ? "unknown" : user;
}

/// One run of a subcommand.
class command
{
public:
    command(environment const& env, std::string name, std::string brief)
        : env_(env)
        , options_(std::move(name), std::move(brief))
    {
        options_.add_options()("json", "print one JSON value")(
            "h,help", "print this help");
    }
    virtual ~command() = default;
    command(command const&) = delete;
    command& operator=(command const&) = delete;

    int run(int argc, char const* const* argv)
    {
        try
        {
            add_options();
            options_.add_options()("words", "", cxxopts::value<words>());
            options_.parse_positional("words");
            options_.positional_help(synopsis());
            args_ = options_.parse(argc, argv);
        }
        catch (cxxopts::exceptions::exception const& ex)
        {
            return usage(ex.what());
        }
        if (args_.count("help") != 0)
        {
            env_.out << options_.help() << '\n';
            return exit_accepted;
        }
        return execute();
    }

protected:
    virtual std::string synopsis() const = 0;
    virtual void add_options() {}
    virtual int execute() = 0;

    int usage(std::string const& problem)
    {
        env_.err << problem << "; see --help\n";
        return exit_usage;
    }

    int fail(kernel::error const& error)
    {
        if (as_json())
            env_.out << json{{"error",
                              {{"code", to_string(error.kind)},
                               {"message", error.message},
                               {"run", to_string(error.run)}}}}
                     << '\n';
        else
            env_.err << error.message << '\n';
        return code_of(error.kind);
    }

    bool as_json() const { return args_.count("json") != 0; }

    words positional() const
    {
        return args_.count("words") == 0 ? words() : args_["words"].as<words>();
    }

    environment const& env_;
    cxxopts::Options options_;
    cxxopts::ParseResult args_;
};

class settings_check : public command
{
public:
    explicit settings_check(environment const& env)
        : command(env, "settings", "Checks a settings file.")
    {
    }

protected:
    std::string synopsis() const override { return "check FILE"; }

    void add_options() override
    {
        options_.add_options()("agent", "the file is for endiveward-agent");
    }

    int execute() override
    {
        auto const args = positional();
        if (args.size() != 2 || args[0] != "check")
            return usage("expected: settings check FILE");
        bool const agent = args_.count("agent") != 0;
        if (auto const error =
                agent ? error_of(config::load_agent_settings(args[1]))
                      : error_of(config::load_router_settings(args[1])))
        {
            fail(*error);
            return exit_other;
        }
        if (as_json())
            env_.out << json{{"file", args[1]}, {"valid", true}} << '\n';
        else
            env_.out << args[1] << " is valid\n";
        return exit_accepted;
    }

private:
    template <typename T>
    static std::optional<kernel::error> error_of(kernel::result<T> const& res)
    {
        if (kernel::ok(res))
            return std::nullopt;
        return kernel::failure(res);
    }
};

/// A subcommand that uses a deployment, described by a router's settings.
class deployment_command : public command
{
public:
    using command::command;

protected:
    void add_options() override
    {
        options_.add_options()("settings",
                               "router settings file of the deployment",
                               cxxopts::value<std::string>());
    }

    int execute() override
    {
        if (args_.count("settings") == 0)
            return usage("--settings FILE is missing");
        auto res =
            config::load_router_settings(args_["settings"].as<std::string>());
        if (!kernel::ok(res))
        {
            fail(kernel::failure(res));
            return exit_other;
        }
        settings_ = std::move(kernel::value(res));
        access_ = env_.open(settings_);
        return execute_with_deployment();
    }

    virtual int execute_with_deployment() = 0;

    /// Addresses of operators' listeners: those given, otherwise those of the
    /// VM list at the port that the settings name.
    std::vector<process_report> processes(words const& given) const
    {
        std::vector<process_report> res;
        for (auto const& it : given)
            res.push_back({it, false, 0, "unknown", "", "agent", ""});
        if (!given.empty() || !access_.vms)
            return res;
        auto const promise = std::make_shared<
            std::promise<kernel::result<std::vector<storage::vm>>>>();
        access_.vms->list(settings_.common.platform_timeout,
                          [promise](auto list)
                          { promise->set_value(std::move(list)); });
        auto const list = promise->get_future().get();
        if (!kernel::ok(list))
            return res;
        for (auto const& it : kernel::value(list))
            if (it.role != storage::vm_role::other && !it.leaving)
                res.push_back(
                    {fmt::format("{}:{}", it.address,
                                 settings_.common.listen_operators.port),
                     false, 0, it.region.str(), it.zone.str(),
                     std::string(to_string(it.role)), ""});
        return res;
    }

    operator_client client() const
    {
        return operator_client(settings_.common.operator_token,
                               settings_.common.platform_timeout);
    }

    config::router_settings settings_;
    platform_access access_;
};

class config_command : public deployment_command
{
public:
    explicit config_command(environment const& env)
        : deployment_command(env, "config",
                             "Shows and changes the configuration.")
    {
    }

protected:
    std::string synopsis() const override
    {
        return "show | follow | apply FILE | diff FILE | set-label KIND "
               "ID[@VERSION] KEY VALUE | remove-label KIND ID[@VERSION] KEY | "
               "set-stage MOVE STAGE";
    }

    void add_options() override
    {
        deployment_command::add_options();
        options_.add_options()("dry-run", "print which traffic would move")(
            "author", "name in the change log",
            cxxopts::value<std::string>()->default_value(default_author()))(
            "change-id", "id of a change to repeat",
            cxxopts::value<std::string>())(
            "confirm", "operators' listeners of agents, ADDRESS:PORT,...",
            cxxopts::value<words>())(
            "wait-ms", "how long to wait for the confirmation",
            cxxopts::value<unsigned>()->default_value("8000"))(
            "count", "versions to print before follow ends; 0 is no limit",
            cxxopts::value<unsigned>()->default_value("0"));
    }

    int execute_with_deployment() override
    {
        if (!access_.table || !access_.objects)
            return usage("the settings name no platform.table_url or "
                         "platform.object_store_url");
        auto const args = positional();
        if (args.empty())
            return usage("expected: config " + synopsis());
        config::change_log_options options;
        options.timeout = settings_.common.platform_timeout;
        options.max_rounds = 10;
        log_ = std::make_unique<config::change_log>(access_.table,
                                                    access_.objects, options);
        auto const current = log_->catch_up();
        if (!kernel::ok(current))
            return fail(kernel::failure(current));
        if (args[0] == "show" && args.size() == 1)
            return show(*kernel::value(current));
        if (args[0] == "follow" && args.size() == 1)
            return follow(kernel::value(current)->version());
        auto const operations = read_operations(args);
        if (!operations)
            return usage("expected: config " + synopsis());
        if (!kernel::ok(*operations))
            return fail(kernel::failure(*operations));
        auto const change = log_->prepare(
            args_.count("change-id") == 0
                ? make_uuid()
                : args_["change-id"].as<std::string>(),
            args_["author"].as<std::string>(), kernel::value(*operations));
        if (args[0] == "diff" || args_.count("dry-run") != 0)
            return dry_run(*kernel::value(current), change);
        return commit(change);
    }

private:
    using operation_list = std::vector<config::change_operation>;

    int show(config::configuration const& current)
    {
        env_.out << config::to_json(*current.data()).dump(as_json() ? -1 : 2)
                 << '\n';
        return exit_accepted;
    }

    int follow(kernel::config_version version)
    {
        auto left = args_["count"].as<unsigned>();
        for (bool first = true;;)
        {
            if (std::exchange(first, false) || print_newer(version))
            {
                print_version(version);
                if (left != 0 && --left == 0)
                    return exit_accepted;
            }
            std::this_thread::sleep_for(settings_.store_poll_interval);
        }
    }

    bool print_newer(kernel::config_version& version)
    {
        auto const res = log_->catch_up();
        if (!kernel::ok(res) || kernel::value(res)->version() == version)
            return false;
        version = kernel::value(res)->version();
        return true;
    }

    void print_version(kernel::config_version version)
    {
        if (as_json())
            env_.out << json{{"version", version}} << std::endl;
        else
            env_.out << "version " << version << std::endl;
    }

    static std::optional<config::label_target> target(std::string const& kind,
                                                      std::string const& id)
    {
        using config::object_kind;
        auto const at = id.find('@');
        config::label_target res{object_kind::endpoint, id.substr(0, at),
                                 at == std::string::npos ? ""
                                                         : id.substr(at + 1)};
        for (auto const it : {object_kind::endpoint, object_kind::workspace,
                              object_kind::model, object_kind::service})
            if (config::to_string(it) == kind)
            {
                res.kind = it;
                return res;
            }
        return std::nullopt;
    }

    /// Nothing if the words are no operation.
    static std::optional<kernel::result<operation_list>>
    read_operations(words const& args)
    {
        if ((args[0] == "apply" || args[0] == "diff") && args.size() == 2)
            return read_file(args[1]);
        if (args[0] == "set-stage" && args.size() == 3)
            return operation_list{config::set_stage{args[1], args[2]}};
        if (args.size() < 3)
            return std::nullopt;
        auto const what = target(args[1], args[2]);
        if (!what)
            return std::nullopt;
        if (args[0] == "set-label" && args.size() == 5)
            return operation_list{config::set_label{*what, args[3], args[4]}};
        if (args[0] == "remove-label" && args.size() == 4)
            return operation_list{config::remove_label{*what, args[3]}};
        return std::nullopt;
    }

    static kernel::result<operation_list> read_file(std::string const& path)
    {
        std::ifstream stream(path, std::ios::binary);
        if (!stream)
            return kernel::error{
                kernel::error_kind::invalid_request,
                fmt::format("cannot read {}; check its name", path),
                kernel::run_state::not_run, std::nullopt};
        std::string const text(std::istreambuf_iterator<char>(stream), {});
        auto res = config::parse_operations(text);
        if (!kernel::ok(res))
            std::get<kernel::error>(res).message =
                fmt::format("{}: {}", path, kernel::failure(res).message);
        return res;
    }

    int dry_run(config::configuration const& before,
                config::change const& change)
    {
        auto data = *before.data();
        if (auto const res = config::apply_change(data, change);
            !kernel::ok(res))
            return fail(kernel::failure(res));
        auto const after = config::configuration::compile(
            std::make_shared<config::config_data const>(std::move(data)));
        if (!kernel::ok(after))
            return fail(kernel::failure(after));
        auto const differences = compare_traffic(before, *kernel::value(after));
        json list = json::array();
        for (auto const& it : differences)
            list.push_back(to_json(it));
        if (as_json())
            env_.out << json{{"differences", std::move(list)}} << '\n';
        for (auto const& it : differences)
            if (!as_json())
                env_.out << to_text(it) << '\n';
        if (!as_json() && differences.empty())
            env_.out << "no traffic moves\n";
        return exit_accepted;
    }

    int commit(config::change const& change)
    {
        auto const res = log_->commit(change, args_.count("change-id") != 0);
        if (!kernel::ok(res))
            return fail(kernel::failure(res));
        if (auto const* conflict =
                std::get_if<config::change_conflict>(&kernel::value(res)))
            return fail(config::to_error(*conflict));
        auto const version =
            std::get<config::change_committed>(kernel::value(res)).version;
        return confirm(change.id, version);
    }

    int confirm(std::string const& id, kernel::config_version version)
    {
        auto const given = args_.count("confirm") == 0
                               ? words()
                               : args_["confirm"].as<words>();
        auto reports = processes(given);
        auto const http = client();
        auto const deadline =
            std::chrono::steady_clock::now() +
            std::chrono::milliseconds(args_["wait-ms"].as<unsigned>());
        acceptance verdict;
        for (;;)
        {
            http.ask(reports);
            verdict = judge_acceptance(reports, version);
            if (verdict.accepted || reports.empty() ||
                std::chrono::steady_clock::now() >= deadline)
                break;
            std::this_thread::sleep_for(std::chrono::milliseconds(250));
        }
        print_verdict(id, version, verdict);
        return verdict.accepted ? exit_accepted : exit_not_confirmed;
    }

    void print_verdict(std::string const& id, kernel::config_version version,
                       acceptance const& verdict)
    {
        auto const* state = verdict.accepted ? "accepted" : "committed";
        if (as_json())
        {
            env_.out << json{{"state", state},
                             {"version", version},
                             {"change_id", id},
                             {"missing", verdict.missing},
                             {"cut_off", verdict.cut_off}}
                     << '\n';
            return;
        }
        env_.out << fmt::format("{} at version {} as change {}\n", state,
                                version, id);
        for (auto const& it : verdict.missing)
            env_.out << "missing: " << it << '\n';
        for (auto const& it : verdict.cut_off)
            env_.out << "region " << it
                     << " is cut off; it serves with its last configuration\n";
    }

    std::unique_ptr<config::change_log> log_;
};

class status_command : public deployment_command
{
public:
    explicit status_command(environment const& env)
        : deployment_command(env, "status",
                             "Shows the version in force in each process.")
    {
    }

protected:
    std::string synopsis() const override { return "[ADDRESS:PORT...]"; }

    int execute_with_deployment() override
    {
        auto reports = processes(positional());
        if (reports.empty())
            return usage("no process is known; name operators' listeners");
        client().ask(reports);
        json list = json::array();
        bool all = true;
        for (auto const& it : reports)
        {
            all &= it.reachable;
            list.push_back(json{{"address", it.address},
                                {"reachable", it.reachable},
                                {"version", it.version},
                                {"region", it.region},
                                {"zone", it.zone},
                                {"role", it.role},
                                {"problem", it.problem}});
            if (!as_json())
                env_.out << fmt::format(
                    "{} {}\n", it.address,
                    it.reachable ? fmt::format("{} {}/{} version {}", it.role,
                                               it.region, it.zone, it.version)
                                 : it.problem);
        }
        if (as_json())
            env_.out << json{{"processes", std::move(list)}} << '\n';
        return all ? exit_accepted : exit_other;
    }
};

class dump_command : public deployment_command
{
public:
    explicit dump_command(environment const& env)
        : deployment_command(env, "dump", "Prints the state of a process.")
    {
    }

protected:
    std::string synopsis() const override { return "ADDRESS:PORT"; }

    int execute_with_deployment() override
    {
        auto const args = positional();
        if (args.size() != 1)
            return usage("expected: dump ADDRESS:PORT");
        auto const res = client().get(args[0], "/state");
        if (!kernel::ok(res))
            return fail(kernel::failure(res));
        env_.out << kernel::value(res).dump(as_json() ? -1 : 2) << '\n';
        return exit_accepted;
    }
};

class explain_request : public command
{
public:
    explicit explain_request(environment const& env)
        : command(env, "explain",
                  "Tells from the logs of processes how a request went and why "
                  "it ended as it did. Reads standard input without files.")
    {
    }

protected:
    std::string synopsis() const override { return "REQUEST-ID [LOG...]"; }

    int execute() override
    {
        auto const args = positional();
        if (args.empty())
            return usage("expected: explain REQUEST-ID [LOG...]");
        explain::request_story story(args.front());
        if (args.size() == 1)
            add(story, std::cin, "stdin");
        for (std::size_t n = 1; n < args.size(); ++n)
        {
            std::ifstream in(args[n]);
            if (!in)
                return usage(fmt::format("cannot read the log {}", args[n]));
            add(story, in, args[n]);
        }
        if (as_json())
            print_json(story);
        else
            print_text(story);
        return story.found() ? exit_accepted : exit_other;
    }

private:
    void add(explain::request_story& story, std::istream& in,
             std::string const& name)
    {
        explain::log_reader reader(name);
        for (std::string line; std::getline(in, line);)
        {
            if (auto record = reader.read(line))
                story.add(std::move(*record));
        }
        if (reader.unreadable() > 0)
            env_.err << fmt::format("{}: {} lines could not be read\n", name,
                                    reader.unreadable());
    }

    void print_text(explain::request_story const& story)
    {
        auto const lines = story.lines();
        for (auto const& it : lines)
        {
            std::string fields;
            for (auto const& [name, value] : it.fields)
                fields += fmt::format(" {}={}", name, value);
            env_.out << fmt::format("{:+6} ms  {}  {}{}\n",
                                    (it.time - lines.front().time).count(),
                                    it.process, it.event, fields);
        }
        auto const why = story.explain();
        env_.out << fmt::format("cause ({}): {}\nnext: {}\n", why.code,
                                why.cause, why.next_step);
    }

    void print_json(explain::request_story const& story)
    {
        auto list = json::array();
        for (auto const& it : story.lines())
            list.push_back(json{{"time_ms", it.time.time_since_epoch().count()},
                                {"process", it.process},
                                {"event", it.event},
                                {"fields", it.fields}});
        auto const why = story.explain();
        env_.out << json{{"lines", std::move(list)},
                         {"code", why.code},
                         {"cause", why.cause},
                         {"next", why.next_step}}
                 << '\n';
    }
};

template <typename Command>
subcommand make_subcommand(environment const& env, std::string name,
                           std::string brief)
{
    return {std::move(name), std::move(brief),
            [env](int argc, char const* const* argv)
            { return Command(env).run(argc, argv); }};
}

platform_access open_platform(config::router_settings const& settings)
{
    auto const http = std::make_shared<storage::http_client>();
    auto const& common = settings.common;
    platform_access res;
    if (!common.table_url.empty())
        res.table =
            std::make_shared<storage::http_table>(http, common.table_url);
    if (!common.object_store_url.empty())
        res.objects = std::make_shared<storage::http_object_store>(
            http, common.object_store_url);
    if (!common.vm_list_url.empty())
        res.vms =
            std::make_shared<storage::http_vm_list>(http, common.vm_list_url);
    return res;
}

} // namespace

environment default_environment()
{
    return {std::cout, std::cerr, open_platform};
}

std::vector<subcommand> subcommands(environment const& env)
{
    return {make_subcommand<settings_check>(env, "settings",
                                            "check a settings file"),
            make_subcommand<config_command>(
                env, "config", "show and change the configuration"),
            make_subcommand<status_command>(
                env, "status", "show the version in force in each process"),
            make_subcommand<dump_command>(env, "dump",
                                          "print the state of a process"),
            make_subcommand<explain_request>(
                env, "explain", "tell from logs how a request went")};
}

} // namespace endiveward::cli
