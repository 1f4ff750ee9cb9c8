#ifndef ENDIVEWARD_GATEWAY_CALLER_CONNECTION_HPP
#define ENDIVEWARD_GATEWAY_CALLER_CONNECTION_HPP

#include "gateway/buffer_memory.hpp"
#include "gateway/http/request_reader.hpp"
#include "gateway/i_response_writer.hpp"
#include "gateway/types/connection_load.hpp"
#include "kernel/i_clock.hpp"

#include <asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace endiveward::gateway
{

class i_connection_owner;
class i_exchange;
class i_request_handler;

/// What the system receives for a connection that is not read.
inline constexpr std::size_t caller_receive_bytes = 128U << 10U;

/// A caller's HTTP/1.x connection: reads requests one at a time and writes
/// their responses.
class caller_connection
    : public std::enable_shared_from_this<caller_connection>,
      public i_response_writer
{
public:
    caller_connection(asio::ip::tcp::socket socket,
                      kernel::i_clock const& clock, i_request_handler& handler,
                      i_connection_owner& owner);
    ~caller_connection() override;
    caller_connection(caller_connection const&) = delete;
    caller_connection& operator=(caller_connection const&) = delete;

    void start();
    /// Closes the connection if no request is in progress.
    void close_if_idle();
    void close();
    /// The process stops, or is one step further in its stop.
    void on_stop();
    /// Gives back what the connection holds: refuses the request that has begun
    /// to arrive, or closes the connection.
    void give_way();
    connection_load load() const;
    /// Enforces the header and idle timeouts. Must be called about twice a
    /// second.
    void on_tick(kernel::steady_time now);
    bool busy() const { return exchange_ != nullptr; }

    void answer(int status, header_list const& headers,
                std::string body) override;
    void begin(int status, header_list const& headers,
               std::optional<std::uint64_t> length) override;
    void write(std::string_view bytes) override;
    void end() override;
    void abort() override;
    std::size_t queued() const override;

private:
    void read();
    void on_readable();
    void on_bytes(std::string_view bytes);
    std::string_view input() const;
    void keep_input(std::string_view bytes);
    bool is_read() const;
    std::size_t feed(std::string_view bytes);
    void process();
    void serve();
    void refuse(int status);
    void refuse_for_others();
    /// Returns false if there is no memory left.
    bool count_memory();
    void append_head(int status, header_list const& headers);
    void finish_answer();
    void flush();
    void on_written(std::error_code ec);
    void close_after_answer();

    asio::ip::tcp::socket socket_;
    kernel::i_clock const& clock_;
    i_request_handler& handler_;
    i_connection_owner& owner_;
    request_reader reader_;
    std::shared_ptr<i_exchange> exchange_;
    /// Bytes received ahead of the request in progress. Those before
    /// `input_begin_` have been parsed.
    std::string input_;
    std::size_t input_begin_ = 0;
    std::string out_;
    std::string write_buffer_;
    buffer_memory::share memory_;
    /// Of the request in progress.
    std::size_t request_bytes_ = 0;
    kernel::steady_time waiting_since_{};
    /// When the write in progress began.
    kernel::steady_time written_at_{};
    /// When reading was suspended.
    kernel::steady_time full_since_{};
    kernel::steady_time lingering_since_{};
    /// Whether a response was written before.
    bool served_ = false;
    bool http_1_0_ = false;
    bool head_request_ = false;
    bool keep_alive_ = true;
    bool chunked_ = false;
    /// The end of the connection ends the response.
    bool close_delimited_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool close_after_write_ = false;
    /// The last response has been written; further input of the caller is
    /// discarded.
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace endiveward::gateway

#endif
