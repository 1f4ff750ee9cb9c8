#include "router/peer_channel.hpp"

#include <catch2/catch.hpp>

namespace endiveward::router
{

namespace
{

class discarding_connection : public wire::i_connection
{
public:
    wire::hello const& peer() const override { return peer_; }
    bool is_open() const override { return true; }
    void send(wire::message const&, wire::write_handler) override {}
    void close() override {}

private:
    wire::hello peer_;
};

} // namespace

// Guards against every second heartbeat of an idle connection being skipped
// because the previous heartbeat counted as a sent message: an agent then
// learns of a new configuration after 60 s instead of 30 s.
TEST_CASE("a heartbeat does not count as a sent message")
{
    peer_channel channel(std::make_shared<discarding_connection>());
    channel.send(wire::heartbeat{});
    CHECK_FALSE(channel.sent_since_last_check());
    channel.send(wire::cancel{1});
    CHECK(channel.sent_since_last_check());
    CHECK_FALSE(channel.sent_since_last_check());
}

} // namespace endiveward::router
