#include "gateway/i_exchange.hpp"
#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/silent_writer.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace endiveward::gateway
{

namespace
{

kernel::model_id const model("m");

http_request prompt_request(std::string const& id)
{
    http_request res;
    res.method = "GET";
    res.target = "/stream/";
    res.headers.add("Host", "h");
    res.headers.add("X-Id", id);
    res.headers.add("X-Time", "20000");
    res.headers.add("X-Key", "key1");
    res.headers.add("X-Model", "m");
    res.headers.add("X-Tokens", "6000,4");
    res.headers.add("X-Parts", "a:5000,b:1000");
    return res;
}

} // namespace

// Guards against KV cache of newer weights from a store that a request was told
// of before they were named, if it is sent afterwards under the older ones.
TEST_CASE("a request that waits for its connection exchanges no KV cache of "
          "weights that are being replaced")
{
    scripted_endpoint endpoint(
        [](http_request const& request, scripted_connection& conn)
        {
            conn.begin_stream(request);
            conn.event(1);
            conn.end_stream();
            return true;
        });
    test_gateway gate;
    gate.set_kv_store("10.0.0.1:1");
    gate.apply(1, std::chrono::seconds(20), engine_properties{64, 100000, 1});
    auto entry = test_gateway::entry(0, endpoint.port());
    entry.models[model] = 1;
    gate.set_entries({entry});
    auto const is_late = GENERATE(false, true);
    silent_writer writer;
    std::shared_ptr<i_exchange> running;
    gate.run(
        [&]
        {
            gate.get().apply(weights::model_target{model, 1}, {});
            running = gate.get().handle(prompt_request("id1"), writer);
            if (is_late)
                gate.get().apply(weights::model_target{model, 2}, {});
        });
    writer.ended.get_future().wait_for(std::chrono::seconds(20));
    CHECK(writer.status == 200);
    REQUIRE(endpoint.requests() == 1);
    auto const headers = endpoint.seen()[0].headers;
    CHECK(headers.value_or("X-Version-Wanted", "") == (is_late ? "2" : "1"));
    CHECK(headers.value_or("X-Salt", "").ends_with(is_late ? "/m/2" : "/m/1"));
    CHECK(headers.value_or("X-Source", "") == "10.0.0.1:1");
    CHECK(headers.value_or("X-Target", "") == "10.0.0.1:1");
    gate.run([&] { running = nullptr; });
}

} // namespace endiveward::gateway
