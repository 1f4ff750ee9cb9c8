// Workers crash one after the other and start again under the id that they had,
// with newer software. Their streams are resumed at the other one.
#include "../stand_ins/client.h"

using namespace review;
using json = nlohmann::json;

namespace
{

constexpr int events = 8;
constexpr milliseconds event_gap{100};
/// How long a worker is away, and the time between two workers.
constexpr milliseconds down_time{300};
constexpr milliseconds crash_gap{400};
constexpr int workers = 2;
constexpr int routers = 3;
constexpr int consumers = 12;

/// A worker of a plain service that streams. What it writes depends on the
/// version of its software.
class stream_worker
{
public:
    stream_worker(deployment& around, address at, std::string id)
        : around_(around)
        , at_(std::move(at))
        , id_(std::move(id))
    {
        start("v1");
        heartbeat_ = std::thread(
            [this]
            {
                for (int n = 1; !ended_; ++n)
                {
                    std::this_thread::sleep_for(milliseconds(100));
                    std::lock_guard const lock(mutex_);
                    if (n % 12 == 0 && server_ != nullptr)
                        write_entry();
                }
            });
    }
    ~stream_worker()
    {
        ended_ = true;
        heartbeat_.join();
        server_.reset();
    }

    /// The process ends, and starts again with other software.
    void crash_and_start(std::string const& version)
    {
        std::unique_ptr<http_server> old;
        {
            std::lock_guard const lock(mutex_);
            old = std::move(server_);
        }
        around_.log().line("%s ends", id_.c_str());
        stopping_ = true;
        old.reset();
        std::this_thread::sleep_for(down_time);
        stopping_ = false;
        std::lock_guard const lock(mutex_);
        start(version);
    }

    std::string const& id() const { return id_; }

private:
    void start(std::string const& version)
    {
        version_ = version;
        sequence_ = 0;
        born_ = std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
        server_ = std::make_unique<http_server>(
            at_, [this, version](message const& request, channel& conn)
            { return serve(request, conn, version); });
        write_entry();
        around_.log().line("%s starts with software %s; its entry is written",
                           id_.c_str(), version.c_str());
    }

    void write_entry()
    {
        around_.platform().put("servers", id_,
                               {{"service", "kafi81c"},
                                {"address", at_.text()},
                                {"zone", deployment::zones[0]},
                                {"version", version_},
                                {"slots", 64},
                                {"state", "ready"},
                                {"cold_remaining_ms", 0},
                                {"born", born_},
                                {"sequence", ++sequence_}});
    }

    bool serve(message const& request, channel& conn,
               std::string const& version)
    {
        auto const attempt = value_or(request.fields, "Attempt-Id");
        headers fields{{"Attempt-Id", attempt}, {"Instance-Id", id_}};
        if (value_or(request.fields, "Expect-Instance", id_) != id_)
            return conn.write(
                make_message("HTTP/1.1 421 Misdirected Request", fields, ""));
        auto const after =
            std::stoi(value_or(request.fields, "Last-Event-Id", "0"));
        around_.log().line("%s (software %s) runs %s after event %d",
                           id_.c_str(), version.c_str(), attempt.c_str(),
                           after);
        auto head = std::string("HTTP/1.1 200 OK\r\nContent-Type: "
                                "text/event-stream\r\nTransfer-Encoding: "
                                "chunked\r\nResponse-Signature: ") +
                    id_ + "." + attempt + "\r\n";
        for (auto const& [name, value] : fields)
            head += name + ": " + value + "\r\n";
        if (!conn.write(head + "\r\n"))
            return false;
        for (int n = after + 1; n <= events; ++n)
        {
            if (stopping_ || ended_ || conn.peer_gone())
                return false;
            auto const event = "id: " + std::to_string(n) + "\ndata: piece " +
                               std::to_string(n) + " of software " + version +
                               "\n\n";
            char size[20];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!conn.write(size + event + "\r\n"))
                return false;
            std::this_thread::sleep_for(event_gap);
        }
        return conn.write("0\r\n\r\n");
    }

    deployment& around_;
    address at_;
    std::string id_;
    std::string version_;
    std::int64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::mutex mutex_;
    std::unique_ptr<http_server> server_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> ended_{false};
    std::thread heartbeat_;
};

/// The software versions whose pieces are in an answer.
std::set<std::string> versions_in(std::string const& body)
{
    std::set<std::string> res;
    std::string const mark = "of software ";
    for (auto at = body.find(mark); at != std::string::npos;
         at = body.find(mark, at + 1))
        res.insert(body.substr(at + mark.size(), 2));
    return res;
}

json configuration()
{
    return {{"version", 7},
            {"routes", json::array({{{"name", "r-1"},
                                     {"hostname", "jepu9.example"},
                                     {"prefix", "/lepu270/"},
                                     {"route_type", "streaming"},
                                     {"timeout_ms", 15000},
                                     {"target_latency_ms", 600},
                                     {"target_gap_ms", 800},
                                     {"priority", 0},
                                     {"service", "kafi81c"},
                                     {"max_attempts", 2},
                                     {"public", false},
                                     {"sticky", false},
                                     {"resumable", true}}})},
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
            {"tenants", json::array({{{"name", "sese880"},
                                      {"api_keys", json::array({"key1"})},
                                      {"isolated", false}}})}};
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    auto const trouble = std::string(argv[3]) != "0";
    deployment world(argv[1], argv[2]);
    // The bounds of the site's sheet.
    for (auto const& [name, value] :
         std::map<std::string, std::string>{{"contact_ms", "4000"},
                                            {"ack_ms", "6000"},
                                            {"catch_up_s", "6"},
                                            {"drain_ms", "3000"},
                                            {"config_apply_ms", "3000"},
                                            {"max_skew_ms", "6000"},
                                            {"retry_budget_extra", "98"},
                                            {"recovery_s", "15"},
                                            {"version_ms", "12000"},
                                            {"version_all_ms", "17000"}})
        world.bounds[name] = value;
    auto& log = world.log();
    world.platform().put("op", "config", configuration());
    std::vector<std::unique_ptr<stream_worker>> servers;
    for (int n = 0; n < workers; ++n)
        servers.push_back(std::make_unique<stream_worker>(
            world, world.app(11 + n), "i-" + std::to_string(n + 1)));
    for (int n = 1; n <= routers; ++n)
        world.start_edge(n);
    for (int n = 1; n <= routers; ++n)
    {
        if (!world.wait_ready(n))
            return 2;
    }
    std::this_thread::sleep_for(milliseconds(4000));
    std::atomic<bool> over{false};
    std::atomic<int> served{0};
    std::atomic<int> joined{0};
    std::vector<std::thread> all;
    for (int n = 0; n < consumers; ++n)
    {
        all.emplace_back(
            [&, n]
            {
                channel_ptr conn;
                std::mt19937 random(static_cast<unsigned>(n));
                for (int it = 0; !over; ++it)
                {
                    // Consumers don't send at the same moment.
                    std::this_thread::sleep_for(milliseconds(random() % 300));
                    if (conn == nullptr)
                        conn = channel::connect(world.front(1 + n % routers),
                                                milliseconds(1000));
                    if (conn == nullptr)
                    {
                        std::this_thread::sleep_for(milliseconds(100));
                        continue;
                    }
                    auto const id =
                        "c" + std::to_string(n) + "-" + std::to_string(it);
                    auto const res =
                        send_request(log, *conn, "POST", "/lepu270/2f",
                                     {{"Host", "jepu9.example"},
                                      {"Attempt-Id", id},
                                      {"Key", "key1"}},
                                     "prompt", milliseconds(15000));
                    if (res.how != read_result::complete || res.status != 200)
                    {
                        conn = nullptr;
                        std::this_thread::sleep_for(milliseconds(100));
                        continue;
                    }
                    if (value_or(res.answer.fields, "Connection") == "close")
                        conn = nullptr;
                    ++served;
                    auto const found = versions_in(res.answer.body);
                    if (found.size() > 1)
                    {
                        ++joined;
                        log.line("ORDER: the answer to %s is 200 and whole, "
                                 "with pieces of %zu software versions",
                                 id.c_str(), found.size());
                    }
                }
            });
    }
    std::this_thread::sleep_for(milliseconds(3000));
    for (int round = 0; trouble && round < 3; ++round)
    {
        auto const version = "v" + std::to_string(round + 2);
        log.line("the workers crash one after the other, and start with %s",
                 version.c_str());
        for (auto const& it : servers)
        {
            it->crash_and_start(version);
            std::this_thread::sleep_for(crash_gap);
        }
        std::this_thread::sleep_for(milliseconds(6000));
    }
    if (!trouble)
        std::this_thread::sleep_for(milliseconds(12000));
    over = true;
    for (auto& it : all)
        it.join();
    log.line("ORDER: %d of %d whole answers hold pieces of two software "
             "versions",
             joined.load(), served.load());
    world.stop_all();
    return served == 0 ? 2 : joined > 0 ? 1 : 0;
}
