#include "kernel/manual_clock.hpp"
#include "observe/decision_log.hpp"
#include "observe/internal/bounded_appender.hpp"

#include <catch2/catch.hpp>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace endiveward::observe
{

namespace
{

/// log4cplus can be initialized once in a process.
void initialize()
{
    static log4cplus::Initializer const initializer;
}

std::string drain(int descriptor)
{
    std::string res;
    char buffer[65536];
    for (;;)
    {
        auto const n = ::read(descriptor, buffer, sizeof(buffer));
        if (n <= 0)
            return res;
        res.append(buffer, static_cast<std::size_t>(n));
    }
}

} // namespace

// Guards against a process that stands still because nobody reads its logs.
TEST_CASE("a reader that does not read holds nobody back")
{
    initialize();
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    log4cplus::helpers::SharedObjectPtr<bounded_appender> const appender(
        new bounded_appender(ends[1]));
    appender->setLayout(std::make_unique<log4cplus::SimpleLayout>());
    std::string const text(200, 'x');
    for (int n = 0; n < 5000; ++n)
    {
        log4cplus::spi::InternalLoggingEvent const event(
            "test", log4cplus::INFO_LOG_LEVEL, text, __FILE__, __LINE__, "f");
        appender->doAppend(event);
        appender->flush();
    }
    std::string read = drain(ends[0]);
    for (int n = 0; n < 100; ++n)
    {
        appender->flush();
        read += drain(ends[0]);
    }
    CHECK(read.size() > std::size_t{256} * 1024);
    CHECK(read.size() < std::size_t{512} * 1024);
    // The lines that were left out are counted with the next one.
    log4cplus::spi::InternalLoggingEvent const event(
        "test", log4cplus::INFO_LOG_LEVEL, "last", __FILE__, __LINE__, "f");
    appender->doAppend(event);
    appender->flush();
    CHECK(drain(ends[0]).find("lines_left_out") != std::string::npos);
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("decision lines are limited a second and the rest is counted")
{
    initialize();
    kernel::manual_clock clock;
    clock.advance(std::chrono::seconds(10));
    decision_log log(clock, "test.limited", 3);
    for (int n = 0; n < 10; ++n)
        log.write("event", "n={}", n);
    CHECK(log.left_out() == 7);
    clock.advance(std::chrono::seconds(1));
    log.write("event", "n={}", 11);
    CHECK(log.left_out() == 7);
}

// Guards against a busy process whose lines of failed requests are left out
// for those of requests that went well.
TEST_CASE("a part of the lines is kept for what is not routine")
{
    initialize();
    kernel::manual_clock clock;
    decision_log log(clock, "test.kept", 6);
    for (int n = 0; n < 10; ++n)
        log.write_routine("completed", "n={}", n);
    CHECK(log.left_out() == 6);
    log.write("failed", "n={}", 1);
    log.write("failed", "n={}", 2);
    CHECK(log.left_out() == 6);
    log.write("failed", "n={}", 3);
    CHECK(log.left_out() == 7);
}

} // namespace endiveward::observe
