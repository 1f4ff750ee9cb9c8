#include "observe/internal/bounded_appender.hpp"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <log4cplus/thread/syncprims-pub-impl.h>

#include <algorithm>
#include <cerrno>
#include <sstream>

#include <poll.h>
#include <unistd.h>

namespace endiveward::observe
{

namespace
{

constexpr std::size_t max_collected_bytes = 256U << 10U;
/// A pipe that polls as writable takes this many bytes without blocking
/// (PIPE_BUF on Linux).
constexpr std::size_t write_bytes = 4096;

} // namespace

bounded_appender::bounded_appender(int descriptor)
    : descriptor_(descriptor)
{
}

bounded_appender::~bounded_appender()
{
    destructorImpl();
}

void bounded_appender::close()
{
    flush();
    closed = true;
}

void bounded_appender::append(log4cplus::spi::InternalLoggingEvent const& event)
{
    if (lines_.size() > max_collected_bytes)
    {
        ++left_out_;
        return;
    }
    std::ostringstream out;
    if (left_out_ > 0)
    {
        out << "{\"message\":\"event=lines_left_out lines=" << left_out_
            << "\"}\n";
        left_out_ = 0;
    }
    layout->formatAndAppend(out, event);
    lines_ += out.str();
}

void bounded_appender::flush()
{
    log4cplus::thread::MutexGuard const guard(access_mutex);
    while (!lines_.empty() && write_some())
    {
    }
}

bool bounded_appender::write_some()
{
    pollfd state{descriptor_, POLLOUT, 0};
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
        return false;
    auto const n = ::write(descriptor_, lines_.data(),
                           std::min(lines_.size(), write_bytes));
    if (n <= 0)
    {
        // Without a reader the lines are lost, and nobody can be told.
        if (n < 0 && errno != EINTR && errno != EAGAIN)
            lines_.clear();
        return false;
    }
    lines_.erase(0, static_cast<std::size_t>(n));
    return true;
}

} // namespace endiveward::observe
