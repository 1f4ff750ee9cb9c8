// An operator takes away the keys of the only tenant, and with them the tenant.
#include "../stand_ins/client.h"
#include "../stand_ins/worker.h"

using namespace review;
using json = nlohmann::json;

namespace
{

constexpr int requests = 20;

json configuration(std::uint64_t version, json tenants)
{
    return {{"version", version},
            {"routes", json::array({{{"name", "r-1"},
                                     {"hostname", "jepu9.example"},
                                     {"prefix", "/lepu270/"},
                                     {"route_type", "non_idempotent"},
                                     {"timeout_ms", 3000},
                                     {"target_latency_ms", 300},
                                     {"priority", 2},
                                     {"service", "kafi81c"},
                                     {"max_attempts", 1},
                                     {"public", false},
                                     {"sticky", false},
                                     {"resumable", false}}})},
            {"services", json::array({{{"name", "kafi81c"},
                                       {"health_path", "/healthz"},
                                       {"max_connections", 110},
                                       {"protocol", "h1"},
                                       {"tls", false}}})},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", std::move(tenants)}};
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    auto const trouble = std::string(argv[3]) != "0";
    deployment world(argv[1], argv[2]);
    auto& log = world.log();
    run_list runs;
    worker::options plain;
    plain.service = "kafi81c";
    plain.slots = 6;
    worker first(world, world.app(11), "i-first", plain, runs);
    worker second(world, world.app(12), "i-second", plain, runs);
    json const tenant{{"name", "sese880"},
                      {"api_keys", json::array({"key1"})},
                      {"isolated", false}};
    world.platform().put("op", "config",
                         configuration(7, json::array({tenant})));
    world.start_edge(1);
    world.start_edge(2);
    if (!world.wait_ready(1) || !world.wait_ready(2))
        return 2;
    std::this_thread::sleep_for(milliseconds(4500));
    auto const send =
        [&](int number, std::string const& id, std::string const& key)
    {
        auto const conn =
            channel::connect(world.front(1 + number % 2), milliseconds(1000));
        return conn == nullptr ? 0
                               : send_request(log, *conn, "POST", "/lepu270/2f",
                                              {{"Host", "jepu9.example"},
                                               {"Attempt-Id", id},
                                               {"Key", key}},
                                              "record", milliseconds(3000))
                                     .status;
    };
    // A valid key is served, an unknown one is not.
    for (int n = 0; n < 2; ++n)
    {
        if (send(n, "valid" + std::to_string(n), "key1") != 200 ||
            send(n, "invalid" + std::to_string(n), "nobodys-key") != 401)
            return 2;
    }
    if (trouble)
    {
        world.platform().put("op", "config", configuration(12, json::array()));
        log.line("the store confirms version 12: it has no tenant any more");
        // `config_apply_ms` is 2,000.
        std::this_thread::sleep_for(milliseconds(3000));
    }
    int dropped = 0;
    int unknown = 0;
    for (int n = 0; n < requests; ++n)
    {
        auto const id = std::to_string(n);
        send(n, "dropped" + id, "key1");
        send(n, "unknown" + id, "nobodys-key");
        dropped += static_cast<int>(runs.count("dropped" + id));
        unknown += static_cast<int>(runs.count("unknown" + id));
    }
    if (!trouble)
        dropped = 0;
    log.line("CONFIG: %d of %d requests with the dropped key ran", dropped,
             requests);
    log.line("ROUTE: %d of %d requests with a key that no configuration ever "
             "held ran",
             unknown, requests);
    world.stop_all();
    return dropped + unknown > 0 ? 1 : 0;
}
