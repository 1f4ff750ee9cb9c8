#include "observe/internal/json_layout.hpp"
#include "observe/logging.hpp"

#include <catch2/catch.hpp>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace endiveward::observe
{

// Guards against a misspelt level that silently logs nothing or everything.
TEST_CASE("an unknown log level is refused")
{
    CHECK_FALSE(kernel::ok(init_logging("verbose", false)));
    CHECK(kernel::ok(init_logging("warn", true)));
    shutdown_logging();
}

// Guards against log lines that a JSON reader cannot parse.
TEST_CASE("a log line with quotes, line ends and bad UTF-8 is one JSON object")
{
    REQUIRE(kernel::ok(init_logging("info", true)));
    log4cplus::spi::InternalLoggingEvent const event(
        "endiveward.test", log4cplus::WARN_LOG_LEVEL, "a \"b\"\nc \xff",
        __FILE__, __LINE__, "test");
    std::ostringstream out;
    json_layout().formatAndAppend(out, event);
    auto const text = out.str();
    CHECK(text.find('\n') == text.size() - 1);
    auto const line = nlohmann::json::parse(text);
    CHECK(line["level"] == "WARN");
    CHECK(line["logger"] == "endiveward.test");
    CHECK(line["message"].get<std::string>().starts_with("a \"b\"\nc "));
    shutdown_logging();
}

} // namespace endiveward::observe
