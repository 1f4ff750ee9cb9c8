#ifndef ENDIVEWARD_GATEWAY_TESTS_SILENT_WRITER_HPP
#define ENDIVEWARD_GATEWAY_TESTS_SILENT_WRITER_HPP

#include "gateway/i_response_writer.hpp"

#include <future>
#include <string>

namespace endiveward::gateway
{

/// Tells how a request ends that no caller waits for.
struct silent_writer : i_response_writer
{
    void answer(int code, header_list const&, std::string) override
    {
        status = code;
        ended.set_value();
    }
    void begin(int code, header_list const&,
               std::optional<std::uint64_t>) override
    {
        status = code;
    }
    void write(std::string_view) override {}
    void end() override { ended.set_value(); }
    void abort() override { ended.set_value(); }
    std::size_t queued() const override { return 0; }

    int status = 0;
    std::promise<void> ended;
};

} // namespace endiveward::gateway

#endif
