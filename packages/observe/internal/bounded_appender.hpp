#ifndef ENDIVEWARD_OBSERVE_BOUNDED_APPENDER_HPP
#define ENDIVEWARD_OBSERVE_BOUNDED_APPENDER_HPP

#include <log4cplus/appender.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace endiveward::observe
{

/// Collects lines in memory and writes them when the reader of the descriptor
/// takes them, so that a slow reader holds nobody back.
class bounded_appender : public log4cplus::Appender
{
public:
    explicit bounded_appender(int descriptor);
    ~bounded_appender() override;

    void close() override;
    /// Writes what the descriptor takes without blocking.
    void flush();

protected:
    void append(log4cplus::spi::InternalLoggingEvent const& event) override;

private:
    bool write_some();

    int descriptor_;
    std::string lines_;
    std::uint64_t left_out_ = 0;
};

} // namespace endiveward::observe

#endif
