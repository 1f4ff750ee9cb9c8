#include "config/settings_loader.hpp"
#include "config/types/agent_settings.hpp"
#include "config/types/router_settings.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

using namespace endiveward;

namespace
{

constexpr char const* key_text = "0123456789abcdef0123456789abcdef";

/// A temporary directory that is removed on destruction.
class temporary_directory
{
public:
    temporary_directory()
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "endiveward-XXXXXX")
                .string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        path_ = name;
        write("key", std::string(key_text) + "\n");
        write("token", "operator-token-0");
    }
    ~temporary_directory()
    {
        std::error_code ec;
        std::filesystem::remove_all(path_, ec);
    }
    temporary_directory(temporary_directory const&) = delete;
    temporary_directory& operator=(temporary_directory const&) = delete;

    std::string write(std::string const& name, std::string const& text) const
    {
        auto const file = path_ / name;
        std::ofstream(file) << text;
        return file.string();
    }

private:
    std::filesystem::path path_;
};

std::string const common = R"([process]
name = "p"
region = "r"
zone = "z"
[listen]
peers = "127.0.0.1:7000"
operators = "[::1]:7001"
callers = "127.0.0.1:0"
[cluster]
key_file = "key"
[operators]
token_file = "token"
)";

std::string replaced(std::string text, std::string const& from,
                     std::string const& to)
{
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string router_error(std::string const& text)
{
    temporary_directory directory;
    auto const res =
        config::load_router_settings(directory.write("router.toml", text));
    REQUIRE_FALSE(kernel::ok(res));
    auto const& err = kernel::failure(res);
    CHECK(err.kind == kernel::error_kind::invalid_settings);
    CHECK(err.run == kernel::run_state::not_run);
    return err.message;
}

struct invalid_setting
{
    std::string text;
    std::string expected;
};

} // namespace

TEST_CASE("minimal router settings keep the documented defaults", "[settings]")
{
    // Guards against a key that silently overwrites a default.
    temporary_directory directory;
    auto const res =
        config::load_router_settings(directory.write("router.toml", common));
    if (!kernel::ok(res))
        FAIL(kernel::failure(res).message);
    auto const& settings = kernel::value(res);
    CHECK(settings.common.cluster_key.bytes == key_text);
    CHECK(settings.common.operator_token == "operator-token-0");
    CHECK(settings.common.listen_operators ==
          kernel::socket_address{"::1", 7001});
    CHECK(settings.recompute_weight == 1.0);
    CHECK(settings.max_deadline == std::chrono::minutes(10));
    CHECK(settings.shutdown_notice == std::chrono::seconds(3));
    CHECK(settings.max_body_bytes == 8U << 20U);
    CHECK(settings.max_answer_bytes == 64U << 20U);
}

TEST_CASE("each kind of invalid setting is reported with line, key and remedy",
          "[settings]")
{
    // Guards against an invalid setting that is accepted or reported without
    // enough detail to correct it.
    auto const it = GENERATE_COPY(values<invalid_setting>({
        {common + "[surplus]\nx = 1\n", ":13: surplus: is unknown"},
        {common + "[retry]\nmax_atempts = 1\n",
         ":14: retry.max_atempts: is unknown"},
        {replaced(common, "zone = \"z\"\n", ""),
         ":1: process.zone: is missing; add it under [process]"},
        {replaced(common, "\"z\"", "3"), ":4: process.zone: must be a string"},
        {replaced(common, "\"z\"", "\"\""),
         ":4: process.zone: must be a string"},
        {replaced(common, "127.0.0.1:7000", "localhost:7000"),
         ":6: listen.peers: must be an IP address and a port"},
        {replaced(common, "127.0.0.1:7000", "127.0.0.1:70000"),
         ":6: listen.peers: must be an IP address and a port"},
        {common + "[retry]\nmax_attempts = 0\n",
         ":14: retry.max_attempts: must be an integer from 1 to 10"},
        {common + "[limits]\nmax_answer_bytes = 1023\n",
         ":14: limits.max_answer_bytes: must be an integer from 1024 to "
         "1073741824"},
        {common + "[retry]\nmax_attempts = 2.5\n",
         ":14: retry.max_attempts: must be an integer"},
        {common + "[retry]\nretry_share = 1.5\n",
         ":14: retry.retry_share: must be a number from 0 to 1"},
        {common + "[placement]\nrecompute_weight = nan\n",
         ":14: placement.recompute_weight: must be a number"},
        {common + "[config]\nwhen_isolated = \"stop\"\n",
         ":14: config.when_isolated: must be one of serve, refuse"},
        {common + "[limits]\nmax_request_memory = 1048576\n",
         "limits.max_request_memory: must be at least three times"},
        {common + "[limits]\nmax_deadline_ms = 1000\n",
         "limits.default_deadline_ms: must not exceed max_deadline_ms"},
        {common + "[platform]\ntable_url = \"ftp://127.0.0.1\"\n",
         ":14: platform.table_url: must be a URL"},
        {common + "[members]\nseeds = [\"127.0.0.1:7000\", 4]\n",
         ":14: members.seeds: must be an array"},
        {common + "[members]\nseeds = \"127.0.0.1:7000\"\n",
         ":14: members.seeds: must be an array"},
        {replaced(common, "key_file = \"key\"\n", ""),
         "cluster.key_file: set exactly one of key_file and key_env"},
        {replaced(common, "key_file", "key_env = \"X\"\nkey_file"),
         "cluster.key_env: set exactly one of key_file and key_env"},
        {replaced(common, "key_file = \"key\"",
                  "key = \"" + std::string(key_text) + "\""),
         "cluster.key: is unknown"},
        {replaced(common, "\"key\"", "\"absent\""),
         ":10: cluster.key_file: cannot read absent"},
        {replaced(common, "\"key\"", "\"token\""),
         ":10: cluster.key_file: the secret has 16 bytes; use at least 32"},
        {replaced(common, "key_file = \"key\"",
                  "key_env = \"ENDIVEWARD_TEST_NOT_SET\""),
         ":10: cluster.key_env: the environment variable "
         "ENDIVEWARD_TEST_NOT_SET is not set"},
        {common + "[retry\n", "router.toml:13: "},
    }));
    auto const message = router_error(it.text);
    INFO(message);
    CHECK(message.find(it.expected) != std::string::npos);
    CHECK(message.find("router.toml:") != std::string::npos);
}

TEST_CASE("all invalid settings of a file are reported together", "[settings]")
{
    // Guards against a loader that reports only one error per start.
    auto const message = router_error(
        common + "[retry]\nmax_attempts = 0\n[log]\nlog_level = \"all\"\n");
    CHECK(message.find("retry.max_attempts") != std::string::npos);
    CHECK(message.find("log.log_level") != std::string::npos);
}

TEST_CASE("errors do not contain secrets", "[settings]")
{
    // Guards against a secret that appears in the log of a failed start.
    auto const message =
        router_error(replaced(common, "key_file = \"key\"",
                              "key = \"" + std::string(key_text) + "\""));
    CHECK(message.find(key_text) == std::string::npos);
}

TEST_CASE("a missing file is a settings error", "[settings]")
{
    // Guards against an exception that escapes for an unreadable file.
    auto const res = config::load_router_settings("/nonexistent/router.toml");
    REQUIRE_FALSE(kernel::ok(res));
    CHECK(kernel::failure(res).kind == kernel::error_kind::invalid_settings);
}

TEST_CASE("agent settings require a service if and only if kind is service",
          "[settings]")
{
    // Guards against an agent that registers without the service it serves.
    temporary_directory directory;
    auto const base = replaced(common, "callers = \"127.0.0.1:0\"\n", "") +
                      "[endpoint]\nendpoint = \"e\"\n"
                      "endpoint_url = \"http://127.0.0.1:9000\"\n";
    auto const load = [&](std::string const& tail) {
        return config::load_agent_settings(
            directory.write("a.toml", base + tail));
    };
    CHECK(kernel::ok(load("")));
    CHECK(kernel::ok(load("kind = \"service\"\nservice = \"gate\"\n")));
    CHECK_FALSE(kernel::ok(load("kind = \"service\"\n")));
    CHECK_FALSE(kernel::ok(load("service = \"gate\"\n")));
    CHECK_FALSE(kernel::ok(load("capacity = 0\n")));
    CHECK(kernel::value(load("")).max_cache_blocks == 1'000'000);
    CHECK(kernel::value(load("max_cache_blocks = 5\n")).max_cache_blocks == 5);
    CHECK(kernel::value(load("[limits]\nmax_call_memory = 2097152\n"))
              .max_call_memory == 2097152);
    CHECK_FALSE(kernel::ok(load("[limits]\nmax_call_memory = 1024\n")));
    CHECK_FALSE(kernel::ok(load("[listen2]\n")));
}

TEST_CASE("all example settings load", "[settings]")
{
    // Guards against examples that are not updated with the settings.
    setenv("ENDIVEWARD_CLUSTER_KEY", key_text, 1);
    setenv("ENDIVEWARD_OPERATOR_TOKEN", "operator-token-0", 1);
    std::size_t routers = 0;
    std::size_t agents = 0;
    for (auto const& it :
         std::filesystem::recursive_directory_iterator(ENDIVEWARD_EXAMPLES_DIR))
    {
        auto const path = it.path().string();
        if (it.path().extension() != ".toml")
            continue;
        std::string message;
        if (path.ends_with("router.toml"))
        {
            auto const res = config::load_router_settings(path);
            routers += kernel::ok(res) ? 1 : 0;
            message = kernel::ok(res) ? "" : kernel::failure(res).message;
        }
        else
        {
            auto const res = config::load_agent_settings(path);
            agents += kernel::ok(res) ? 1 : 0;
            message = kernel::ok(res) ? "" : kernel::failure(res).message;
        }
        CHECK(message.empty());
    }
    CHECK(routers == 2);
    CHECK(agents == 4);
}
