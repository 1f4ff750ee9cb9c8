#include "cli/acceptance.hpp"
#include "cli/exit_code.hpp"
#include "cli/subcommands.hpp"
#include "storage/tests/support/fake_object_store.hpp"
#include "storage/tests/support/fake_table.hpp"
#include "storage/tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace endiveward;
using nlohmann::json;
using storage::tests::scripted_server;

namespace
{

class command_line
{
public:
    command_line()
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "endiveward-XXXXXX")
                .string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        folder_ = name;
        write("key", "0123456789abcdef0123456789abcdef");
        write("token", "operator-token-0");
        settings_ = write("router.toml", R"([process]
name = "p"
region = "r"
zone = "z"
[listen]
peers = "127.0.0.1:7000"
operators = "127.0.0.1:7001"
callers = "127.0.0.1:8080"
[cluster]
key_file = "key"
[operators]
token_file = "token"
[platform]
platform_timeout_ms = 30000
)");
    }
    ~command_line()
    {
        std::error_code ec;
        std::filesystem::remove_all(folder_, ec);
    }
    command_line(command_line const&) = delete;
    command_line& operator=(command_line const&) = delete;

    std::string write(std::string const& name, std::string const& text) const
    {
        auto const path = folder_ / name;
        std::ofstream(path) << text;
        return path.string();
    }

    /// Runs with `--settings` and `--json`.
    int run(std::vector<std::string> args)
    {
        for (auto const* it : {"--settings", settings_.c_str(), "--json"})
            args.emplace_back(it);
        return run_plain(args);
    }

    int run_plain(std::vector<std::string> const& args)
    {
        out.str("");
        err.str("");
        std::vector<char const*> argv;
        argv.reserve(args.size());
        for (auto const& it : args)
            argv.push_back(it.c_str());
        auto const all = cli::subcommands(
            {out, err, [this](auto const&) {
                 return cli::platform_access{table, objects, nullptr};
             }});
        for (auto const& it : all)
            if (it.name == args[0])
                return it.run(static_cast<int>(argv.size()), argv.data());
        FAIL("no such subcommand");
        return -1;
    }

    std::string settings() const { return settings_; }
    json output() const { return json::parse(out.str()); }

    std::shared_ptr<storage::tests::fake_table> table =
        std::make_shared<storage::tests::fake_table>();
    std::shared_ptr<storage::tests::fake_object_store> objects =
        std::make_shared<storage::tests::fake_object_store>();
    std::ostringstream out;
    std::ostringstream err;

private:
    std::filesystem::path folder_;
    std::string settings_;
};

// One request that an endpoint cut off, beside another one's line.
constexpr char const* log_lines =
    R"({"time":"2026-12-04T01:00:00.000Z","message":"event=start process=r1 zone=a"}
{"time":"2026-12-04T01:00:01.000Z","message":"event=sent id=q1 endpoint=e1 expect_ms=20"}
{"time":"2026-12-04T01:00:01.500Z","message":"event=sent id=q2 endpoint=e1 expect_ms=20"}
{"time":"2026-12-04T01:00:02.000Z","message":"event=failed id=q1 endpoint=e1 reason=cut_short"}
{"time":"2026-12-04T01:00:02.001Z","message":"event=cut id=q1 reason=cut_short took_ms=1001"}
)";

constexpr char const* operations = R"([
 {"op":"put_endpoint","endpoint":{"id":"a","labels":{"zone":"hall-a"}}},
 {"op":"put_endpoint","endpoint":{"id":"b","labels":{"zone":"hall-b"}}},
 {"op":"put_workspace","workspace":{"id":"w1","labels":{"firm":"one"}}},
 {"op":"put_workspace","workspace":{"id":"w2","labels":{"firm":"one"}}},
 {"op":"put_model","model":{"id":"m","versions":[{"version":"1"}]}},
 {"op":"put_rule","rule":{"id":"r","workspaces":"firm=one",
   "endpoints":"zone=hall-a"}}])";

std::string state_of(std::string const& zone, int version)
{
    return json{{"version", version},
                {"region", "r"},
                {"zone", zone},
                {"role", "agent"}}
        .dump();
}

std::string address_of(scripted_server const& server)
{
    return server.url().substr(std::string("http://").size());
}

cli::process_report report(std::string const& region, std::string const& zone,
                           kernel::config_version version,
                           bool reachable = true)
{
    return {"", reachable, version, region, zone, "agent", ""};
}

} // namespace

TEST_CASE("a change is accepted with two agents in different zones",
          "[acceptance]")
{
    // Guards against "accepted" for a version that one zone's loss would lose.
    using reports = std::vector<cli::process_report>;
    auto const accepted = [](reports const& list)
    { return cli::judge_acceptance(list, 5).accepted; };
    CHECK(accepted({report("r", "a", 5), report("r", "b", 6)}));
    CHECK_FALSE(accepted(
        {report("r", "a", 5), report("r", "a", 5), report("r", "b", 4)}));
    CHECK(accepted({report("r", "a", 5), report("r", "a", 5)}));
    CHECK_FALSE(accepted({report("r", "a", 5), report("r", "a", 4)}));
    CHECK_FALSE(accepted({report("r", "a", 5), report("r", "b", 5),
                          report("s", "a", 4), report("s", "b", 4)}));
    CHECK_FALSE(accepted({}));
    CHECK_FALSE(accepted({report("r", "a", 0, false)}));
    auto router = report("r", "b", 5);
    router.role = "router";
    CHECK_FALSE(accepted({report("r", "a", 5), report("r", "c", 4), router}));
    auto const split = cli::judge_acceptance(
        {report("r", "a", 5), report("r", "b", 5), report("s", "a", 0, false)},
        5);
    CHECK(split.accepted);
    CHECK(split.cut_off == std::vector<std::string>{"s"});
}

TEST_CASE("a change is committed and confirmed by agents", "[cli]")
{
    // Guards against exit code 0 for a change that no agent holds.
    command_line it;
    auto const file = it.write("ops.json", operations);
    CHECK(it.run({"config", "apply", file, "--author", "an", "--wait-ms",
                  "0"}) == cli::exit_not_confirmed);
    CHECK(it.output().at("state") == "committed");

    scripted_server first;
    scripted_server second;
    first.push_response(200, state_of("hall-a", 2));
    second.push_response(200, state_of("hall-b", 2));
    CHECK(it.run({"config", "set-label", "endpoint", "a", "tier", "1",
                  "--author", "an", "--confirm",
                  address_of(first) + "," + address_of(second)}) ==
          cli::exit_accepted);
    CHECK(it.output().at("state") == "accepted");
    CHECK(it.output().at("version") == 2);
    CHECK(first.requests().at(0).find("GET /state/config ") == 0);
    CHECK(first.requests().at(0).find(
              "Authorization: Bearer operator-token-0\r\n") !=
          std::string::npos);
}

TEST_CASE("a dry run prints moved traffic for each class", "[cli]")
{
    // Guards against one line for each of 33,000 workspaces, and against a dry
    // run that commits.
    command_line it;
    auto const file = it.write("ops.json", operations);
    REQUIRE(it.run({"config", "apply", file, "--author", "an", "--wait-ms",
                    "0"}) == cli::exit_not_confirmed);
    auto const next = it.write("next.json", R"([{"op":"put_rule","rule":{
        "id":"r","workspaces":"firm=one","endpoints":"zone=hall-b"}}])");
    for (std::string const verb : {"diff", "apply"})
    {
        REQUIRE(it.run({"config", verb, next, "--dry-run"}) ==
                cli::exit_accepted);
        CHECK(it.output() == json::parse(R"({"differences":[{
            "rule_before":"rule/r","rule_after":"rule/r","workspaces":2,
            "example_workspace":"w1","target":"model/m/1","gained":["b"],
            "lost":["a"]}]})"));
    }
    CHECK(it.table->rows().at("config/head").value == "1");
}

TEST_CASE("failures have their documented exit codes", "[cli]")
{
    // Guards against scripts that take one failure for another.
    command_line it;
    auto const file = it.write("ops.json", operations);
    CHECK(it.run({"config", "apply"}) == cli::exit_usage);
    CHECK(it.run({"config", "grow"}) == cli::exit_usage);
    CHECK(it.run({"config", "show", "--surplus"}) == cli::exit_usage);
    CHECK(it.run_plain({"config", "show"}) == cli::exit_usage);
    CHECK(it.run({"config", "apply", file + ".none", "--author", "an"}) ==
          cli::exit_usage);
    CHECK(it.run({"config", "set-stage", "none", "s", "--author", "an"}) ==
          cli::exit_other);
    REQUIRE(it.run({"config", "apply", file, "--author", "an", "--wait-ms",
                    "0"}) == cli::exit_not_confirmed);
    // Another operator commits between this one's read and its submission.
    it.table->before_next_commit(
        [&]
        {
            command_line other;
            other.table = it.table;
            other.run({"config", "set-label", "endpoint", "a", "k", "1",
                       "--author", "bo", "--wait-ms", "0"});
        });
    CHECK(it.run({"config", "set-label", "endpoint", "a", "k", "2", "--author",
                  "an"}) == cli::exit_conflict);
    CHECK(it.output().at("error").at("message").get<std::string>().find(
              "endpoint/a was changed at version 2") == 0);
    it.table->set_unavailable(true);
    CHECK(it.run({"config", "show"}) == cli::exit_store_unavailable);
}

TEST_CASE("settings check, show, follow, status and dump", "[cli]")
{
    // Guards against commands that print something other than JSON, or report
    // a process that does not answer as healthy.
    command_line it;
    CHECK(it.run_plain({"settings", "check", it.settings(), "--json"}) ==
          cli::exit_accepted);
    CHECK(it.run_plain({"settings", "check", it.settings(), "--agent"}) ==
          cli::exit_other);
    CHECK(it.err.str().find("endpoint.endpoint: is missing") !=
          std::string::npos);
    CHECK(it.run({"config", "show"}) == cli::exit_accepted);
    CHECK(it.output().at("version") == 0);
    CHECK(it.run({"config", "follow", "--count", "1"}) == cli::exit_accepted);
    CHECK(it.output().at("version") == 0);

    scripted_server server;
    server.push_response(200, state_of("hall-a", 3));
    server.push_response(200, R"({"config":{"version":3}})");
    server.push_response(401, "");
    CHECK(it.run({"status", address_of(server)}) == cli::exit_accepted);
    CHECK(it.output().at("processes").at(0).at("version") == 3);
    CHECK(it.run({"dump", address_of(server)}) == cli::exit_accepted);
    CHECK(it.output().at("config").at("version") == 3);
    CHECK(it.run({"status", address_of(server)}) == cli::exit_other);
}

// Guards against a story that mixes in lines of other requests, and against a
// wrong file that looks like a request that was never seen.
TEST_CASE("a request is explained from log files")
{
    command_line line;
    auto const log = line.write("r1.log", log_lines);
    REQUIRE(line.run_plain({"explain", "q1", log}) == cli::exit_accepted);
    auto const text = line.out.str();
    CHECK(text.find("r1  sent") != std::string::npos);
    CHECK(text.find("q2") == std::string::npos);
    CHECK(text.find("cause (endpoint_failed)") != std::string::npos);

    REQUIRE(line.run_plain({"explain", "q1", log, "--json"}) ==
            cli::exit_accepted);
    CHECK(line.output()["code"] == "endpoint_failed");
    CHECK(line.output()["lines"].size() == 4);

    CHECK(line.run_plain({"explain", "q9", log}) == cli::exit_other);
    CHECK(line.run_plain({"explain", "q1", log + ".none"}) == cli::exit_usage);
    CHECK(line.err.str().find("cannot read the log") != std::string::npos);
    CHECK(line.run_plain({"explain"}) == cli::exit_usage);
}
