// WALL: a tenant is isolated by a new configuration while a stream of it runs;
// later its worker crashes, and the router goes on with the stream elsewhere.
#include "../common-2/fleet.h"

namespace
{

using namespace rv;

constexpr long config_apply_ms = 2000;
constexpr long crash_after_ms = 3500; // after the configuration
constexpr long down_ms = 1000;
constexpr int streams = 14;

std::string config(int version, bool isolated)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"classify","hostname":"nony93.example","prefix":"/puba11/","route_type":"streaming","timeout_ms":15000,"target_latency_ms":600,"priority":0,"service":"lm-desk","max_attempts":2,"public":false,"sticky":true,"resumable":true,"target_gap_ms":800}],
"services":[{"name":"lm-desk","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":229770,"kv_token_bytes":18432,"link_mbps":130000.0,"moves":true,"backups":true,"stride":6,"max_in_flight":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"daka510000"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"alpha","api_keys":["key-of-alpha-000000000"],"priority":1,"isolated":)" +
           (isolated ? "true" : "false") +
           R"(},{"name":"beta","api_keys":["key-of-beta-0000000000"],"priority":1,"isolated":false}]})";
}

std::string request(std::string const& tenant, int n, int session)
{
    char id[32];
    std::snprintf(id, sizeof(id), "%c%07x%08x", tenant[0], n, n);
    char parts[96];
    // The instructions that all tenants share, the session, the request.
    std::snprintf(parts, sizeof(parts), "5c1e07a2:512,91bd%04x:400,e4%06x:100",
                  session, n);
    std::string const body(300, 'p');
    return "POST /puba11/2f HTTP/1.1\r\nHost: nony93.example\r\nAttempt-Id: " +
           std::string(id) +
           "\r\nModel: daka510000\r\nToken-Usage: 1012,200\r\nPrompt-Prefix: " +
           parts + "\r\nDeadline-Ms: 15000\r\nKey: key-of-" + tenant +
           (tenant == "alpha" ? "-000000000" : "-0000000000") +
           "\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct cache_line
{
    long at = 0;
    std::string worker, id, tenant, salt, verb, part, maker;
};

// What the workers found in their caches, or made.
std::vector<cache_line> cache_lines(fleet const& f)
{
    std::vector<cache_line> res;
    std::ifstream log(f.folder + "/engines.log");
    std::string line, kind, of;
    while (std::getline(log, line))
    {
        std::istringstream in(line);
        cache_line it;
        if (in >> kind >> it.at >> it.worker >> it.id >> it.tenant >>
                it.salt >> it.verb >> it.part >> of >> it.maker &&
            kind == "kv")
            res.push_back(it);
    }
    return res;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc > 1 && std::string(argv[1]) == "worker")
        return run_worker(argv);
    // TROUBLE=0: neither the change nor the crash; TROUBLE=change: only the
    // change.
    auto const* const text = std::getenv("TROUBLE");
    std::string const trouble = text == nullptr ? "1" : text;
    std::ofstream record(argv[1]);
    deployment_options options;
    options.plain = 0;
    options.engines = 7;
    options.engine.prefill_ms = 60;
    options.engine.events = 160;
    options.engine.event_ms = 50;
    fleet f(options);
    f.configure(config(7, false));
    if (!f.start())
    {
        record << "the deployment did not start\n";
        return 2;
    }
    nap(4000);
    // Requests of beta read the shared instructions at every worker. They are
    // left after their first events.
    int n = 0;
    for (int k = 0; k < 84; ++k)
    {
        attempt(f.edge_ip(k % 2), f.front_port, request("beta", ++n, 100 + k),
                250);
        nap(20);
    }
    nap(1000);
    std::vector<attempt_result> results(streams);
    std::vector<std::thread> threads;
    auto const begun = wall_ms();
    for (int k = 0; k < streams; ++k)
        threads.emplace_back(
            [&, k, r = request("alpha", 1000 + k, 200 + k)]
            { results[k] = attempt(f.edge_ip(k % 2), f.front_port, r, 15000); });
    nap(1000);
    long confirmed = 0;
    if (trouble != "0")
        f.configure(config(8, true));
    confirmed = wall_ms();
    nap(crash_after_ms);
    auto crashed = wall_ms();
    // One of seven workers: the one that runs most of these streams.
    if (trouble != "0" && trouble != "change")
    {
        std::map<std::string, int> runs;
        for (auto const& it : cache_lines(f))
            runs[it.worker] += it.tenant == "alpha";
        std::size_t most = 0;
        for (std::size_t k = 0; k < f.engines.size(); ++k)
        {
            if (runs[f.engine_ids[k]] > runs[f.engine_ids[most]])
                most = k;
        }
        crashed = wall_ms();
        f.engines[most].end();
        nap(down_ms);
        f.start_engine(static_cast<int>(most));
    }
    for (auto& it : threads)
        it.join();
    // New requests of both after the change.
    for (int k = 0; k < 4; ++k)
    {
        attempt(f.edge_ip(k % 2), f.front_port,
                request("alpha", 2000 + k, 300 + k), 250);
        attempt(f.edge_ip(k % 2), f.front_port,
                request("beta", 3000 + k, 400 + k), 250);
    }
    nap(300);
    int complete = 0;
    for (int k = 0; k < streams; ++k)
    {
        auto const& it = results[k];
        complete += it.status == 200 && it.complete;
        record << "stream " << k << " of alpha, sent at 0 ms as "
               << request("alpha", 1000 + k, 200 + k).substr(
                      request("alpha", 1000 + k, 200 + k).find("Attempt-Id: ") +
                          12,
                      16)
               << ": answered " << it.status
               << (it.complete ? ", complete" : ", not complete") << ", "
               << it.took_ms << " ms\n";
    }
    int shared = 0;
    for (auto const& it : cache_lines(f))
    {
        if (it.at >= begun)
            record << it.at - begun << " ms " << it.id << " of " << it.tenant
                   << " at " << it.worker << " under \"" << it.salt << "\" "
                   << it.verb << " " << it.part << " of " << it.maker << "\n";
        if (trouble != "0" && it.verb == "uses" && it.tenant != it.maker &&
            (it.tenant == "alpha" || it.maker == "alpha") &&
            it.at > confirmed + config_apply_ms)
            ++shared;
    }
    record << "alpha isolated " << confirmed - begun
           << " ms after its streams began: " << (trouble != "0" ? "yes" : "no")
           << "\nworker crashed " << crashed - begun
           << " ms after they began: "
           << (trouble != "0" && trouble != "change" ? "yes" : "no")
           << "\nstreams complete: " << complete << " of " << streams
           << "\nparts used later than config_apply_ms after the confirmation "
              "that another tenant's request made, one of the two isolated: "
           << shared << "\n";
    if (complete == 0)
        return 2;
    record << (shared > 0 ? "WALL is broken\n" : "WALL holds\n");
    return shared > 0 ? 1 : 0;
}
