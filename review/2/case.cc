// A router gets SIGTERM while requests wait in it for capacity of the engines.
#include "../stand_ins/client.h"
#include "../stand_ins/worker.h"

#include <cstdlib>

using namespace review;

namespace
{

/// When the consumers send their next request after the SIGTERM. Until then
/// edge-1 still takes requests; a request may wait in it for a third of its
/// time budget, 5 s, and the process ends 7.5 s after the SIGTERM.
constexpr milliseconds request_after_term{2600};
constexpr milliseconds grace{8000};

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    auto const trouble = std::string(argv[3]) != "0";
    deployment world(argv[1], argv[2]);
    auto& log = world.log();
    // The bounds of the site's sheet.
    for (auto const& [name, value] :
         std::map<std::string, std::string>{{"contact_ms", "4000"},
                                            {"ack_ms", "6000"},
                                            {"catch_up_s", "6"},
                                            {"drain_ms", "3000"},
                                            {"config_apply_ms", "3000"},
                                            {"max_skew_ms", "6000"},
                                            {"retry_budget_extra", "92"},
                                            {"quota_window_s", "8"},
                                            {"quota_overage", "0.1"},
                                            {"quota_slack", "140000"},
                                            {"recovery_s", "15"},
                                            {"require_fencing", "false"},
                                            {"version_ms", "12000"},
                                            {"version_all_ms", "17000"}})
        world.bounds[name] = value;
    run_list runs;
    worker::options engine;
    engine.service = "huvo11a";
    engine.model = "daka510000";
    engine.kv_total = 237126;
    worker first(world, world.app(11), "i-first", engine, runs);
    worker second(world, world.app(12), "i-second", engine, runs);
    using json = nlohmann::json;
    world.platform().put(
        "op", "config",
        {{"version", 7},
         {"routes", json::array({{{"name", "r-1"},
                                  {"hostname", "jepu9.example"},
                                  {"prefix", "/lepu270/"},
                                  {"route_type", "streaming"},
                                  {"timeout_ms", 15000},
                                  {"target_latency_ms", 2000},
                                  {"target_gap_ms", 400},
                                  {"priority", 1},
                                  {"service", "huvo11a"},
                                  {"max_attempts", 1},
                                  {"public", false},
                                  {"sticky", true},
                                  {"resumable", false}}})},
         {"services",
          json::array(
              {{{"name", "huvo11a"},
                {"health_path", "/healthz"},
                {"max_connections", 480},
                {"protocol", "h1"},
                {"tls", false},
                {"engine",
                 {{"slots", 64},
                  {"kv_capacity_tokens", 237126},
                  {"kv_token_bytes", 18432},
                  {"link_mbps", 550000.0},
                  {"max_in_flight", 12},
                  {"models", json::array({{{"name", "daka510000"}}})}}}}})},
         {"limits",
          {{"max_header_bytes", 16384},
           {"max_body_bytes", 4194304},
           {"header_timeout_ms", 3000},
           {"idle_timeout_ms", 15000}}},
         {"tenants", json::array({{{"name", "sese880"},
                                   {"api_keys", json::array({"key1"})},
                                   {"isolated", false},
                                   {"rate_per_s", 200000},
                                   {"burst", 1000000},
                                   {"unit", "tokens"},
                                   {"uncached_tokens", 100}}})}});
    world.platform().put("op", "version/daka510000",
                         {{"model", "daka510000"}, {"version", 1}});
    world.start_edge(1);
    world.start_edge(2);
    world.start_side(11);
    world.start_side(12);
    if (!world.wait_ready(1) || !world.wait_ready(2))
        return 2;
    std::this_thread::sleep_for(milliseconds(4500));
    auto const send = [&](channel& conn, std::string const& id, unsigned prompt,
                          unsigned output)
    {
        return send_request(
            log, conn, "POST", "/lepu270/2f",
            {{"Host", "jepu9.example"},
             {"Attempt-Id", id},
             {"Key", "key1"},
             {"Model", "daka510000"},
             {"Token-Usage",
              std::to_string(prompt) + "," + std::to_string(output)},
             {"Prompt-Prefix", id + "a:" + std::to_string(prompt)}},
            "prompt", milliseconds(15000));
    };
    // Long prompts fill both engines; they go through the other router.
    std::vector<std::thread> others;
    for (int n = 0; n < 8; ++n)
    {
        others.emplace_back(
            [&, n]
            {
                auto const conn =
                    channel::connect(world.front(2), milliseconds(1000));
                send(*conn, "long" + std::to_string(n), 50000, 48);
            });
        std::this_thread::sleep_for(milliseconds(400));
    }
    // Consumers with open channels to edge-1, on each of which a request has
    // been answered before.
    std::vector<channel_ptr> kept;
    for (int n = 0; n < 3; ++n)
    {
        kept.push_back(channel::connect(world.front(1), milliseconds(1000)));
        auto const res =
            send(*kept.back(), "early" + std::to_string(n), 500, 1);
        if (res.status != 200)
            return 2;
    }
    if (trouble)
    {
        log.line("platform sends SIGTERM to edge-1");
        world.of(1).signal(SIGTERM);
    }
    auto const term = steady::now();
    std::this_thread::sleep_for(request_after_term);
    std::vector<attempt_result> results(kept.size());
    std::vector<std::thread> consumers;
    for (std::size_t n = 0; n < kept.size(); ++n)
        consumers.emplace_back(
            [&, n] {
                results[n] =
                    send(*kept[n], "late" + std::to_string(n), 40000, 48);
            });
    if (trouble)
    {
        while (!world.of(1).ended() &&
               steady::now() - term < grace + milliseconds(500))
            std::this_thread::sleep_for(milliseconds(10));
        log.line("edge-1 has ended");
    }
    for (auto& it : consumers)
        it.join();
    for (auto& it : others)
        it.join();
    int lost = 0;
    for (std::size_t n = 0; n < results.size(); ++n)
    {
        // Neither the time budget nor the route's timeout was reached, and no
        // worker was at work on it.
        if (results[n].how != read_result::complete &&
            results[n].took < milliseconds(14000) &&
            runs.count("late" + std::to_string(n)) == 0)
            ++lost;
    }
    log.line("LOST: %d of %zu requests have no complete answer", lost,
             results.size());
    world.stop_all();
    return lost > 0 ? 1 : 0;
}
