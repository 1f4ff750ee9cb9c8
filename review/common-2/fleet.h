// A small deployment on loopback: the project's programs with the commands of
// the deploy file, workers as processes, the store in this process.
#pragma once
#include "store.h"
#include "worker.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <sstream>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

namespace rv
{

class process
{
public:
    process() = default;
    // `words`: program and arguments; `env`: NAME=VALUE.
    process(std::vector<std::string> const& words,
            std::vector<std::string> const& env, std::string const& output)
    {
        std::vector<char*> argv;
        std::vector<char*> envp;
        for (auto const& it : words)
            argv.push_back(const_cast<char*>(it.c_str()));
        for (auto const& it : env)
            envp.push_back(const_cast<char*>(it.c_str()));
        argv.push_back(nullptr);
        envp.push_back(nullptr);
        auto const parent = getpid();
        pid_ = fork();
        if (pid_ != 0)
            return;
        // Ends with the test, also if that is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        int const fd =
            open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, 1);
        dup2(fd, 2);
        execve(argv[0], argv.data(), envp.data());
        _exit(127);
    }
    void signal(int number) const
    {
        if (pid_ > 0)
            kill(pid_, number);
    }
    void end()
    {
        if (pid_ <= 0)
            return;
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    bool running()
    {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) != 0)
            pid_ = -1;
        return pid_ > 0;
    }

private:
    pid_t pid_ = -1;
};

inline std::string quoted(std::string const& text)
{
    return "\"" + text + "\"";
}

struct deployment_options
{
    int edges = 2;
    int engines = 4;
    int plain = 2;
    // Figures of sites/hcpc-passnet.toml.
    double grace_s = 8;
    worker_options engine;
    worker_options call;
};

class fleet
{
public:
    static constexpr char const* model = "daka510000";

    explicit fleet(deployment_options options)
        : options_(options)
    {
        char name[] = "/tmp/review-2-XXXXXX";
        folder = mkdtemp(name);
        // A loopback network of this test's own, so that ports are free.
        auto const n = static_cast<unsigned>(getpid());
        net_ = "127." + std::to_string(20 + n % 200) + "." +
               std::to_string(n / 200 % 250) + ".";
        store_ip = net_ + "200";
    }
    ~fleet()
    {
        for (auto& it : routers)
            it.end();
        for (auto& it : agents)
            it.end();
        for (auto& it : engines)
            it.end();
        for (auto& it : plain)
            it.end();
        std::string const command = "rm -rf '" + folder + "'";
        if (std::getenv("KEEP") == nullptr && std::system(command.c_str()) != 0)
            std::fprintf(stderr, "%s is left\n", folder.c_str());
    }

    std::string edge_ip(int n) const { return net_ + std::to_string(10 + n); }
    std::string side_ip(int n) const { return net_ + std::to_string(50 + n); }
    std::string plain_ip(int n) const { return net_ + std::to_string(100 + n); }
    int front_port = 8782;
    int ready_port = 8789;
    int app_port = 8785;

    void configure(std::string const& text) { rows.put("op", "config", text); }

    bool start()
    {
        if (!rows.start(store_ip, 8784))
            return false;
        routers.resize(options_.edges);
        agents.resize(options_.engines);
        engines.resize(options_.engines);
        engine_ids.resize(options_.engines);
        plain.resize(options_.plain);
        plain_ids.resize(options_.plain);
        for (int n = 0; n < options_.engines; ++n)
            start_engine(n);
        for (int n = 0; n < options_.plain; ++n)
            start_plain(n);
        for (int n = 0; n < options_.engines; ++n)
            start_agent(n);
        for (int n = 0; n < options_.edges; ++n)
            start_router(n, true);
        for (int n = 0; n < options_.edges; ++n)
        {
            if (!wait_ready(n, 10000))
                return false;
        }
        return true;
    }

    // A worker is listed under a new id at each start.
    void start_engine(int n)
    {
        auto it = options_.engine;
        it.engine = true;
        it.ip = side_ip(n);
        engine_ids[n] = new_id();
        start_worker(engines[n], it, engine_ids[n], "engine");
        list_engine(n, "ready");
    }
    void start_plain(int n)
    {
        auto it = options_.call;
        it.engine = false;
        it.ip = plain_ip(n);
        plain_ids[n] = new_id();
        start_worker(plain[n], it, plain_ids[n], "plain");
        list(plain_ids[n], "gate-app", it.ip, "ready", 6, false);
    }
    void list_engine(int n, char const* state)
    {
        list(engine_ids[n], "lm-desk", side_ip(n), state, 64, true);
    }
    void remove(std::string const& id) { rows.remove("servers", id); }

    void start_agent(int n)
    {
        auto const path = folder + "/agent-" + std::to_string(n) + ".toml";
        write_settings(path, "side-" + std::to_string(n), side_ip(n), false);
        agents[n] = process({"target/bin/endiveward-agent", "--platform"},
                            environment(path),
                            folder + "/agent-" + std::to_string(n) + ".log");
    }
    void start_router(int n, bool first)
    {
        auto const path = folder + "/router-" + std::to_string(n) + ".toml";
        write_settings(path, "edge-" + std::to_string(n), edge_ip(n), true,
                       first);
        routers[n] = process({"target/bin/endiveward", "run", "--platform"},
                             environment(path),
                             folder + "/router-" + std::to_string(n) + ".log");
    }
    bool ready(int n) const
    {
        int const fd = connect_to(edge_ip(n), ready_port, 300);
        if (fd < 0)
            return false;
        send_all(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        reader in(fd);
        in.until = steady::now() + ms(500);
        message it;
        auto const res = in.head(it) && it.status() == 200;
        close(fd);
        return res;
    }
    bool wait_ready(int n, long timeout_ms) const
    {
        auto const end = steady::now() + ms(timeout_ms);
        while (steady::now() < end)
        {
            if (ready(n))
                return true;
            nap(50);
        }
        return false;
    }

    std::string folder;
    std::string store_ip;
    // Outlives its server threads.
    store& rows = *new store;
    std::vector<process> routers;
    std::vector<process> agents;
    std::vector<process> engines;
    std::vector<process> plain;
    std::vector<std::string> engine_ids;
    std::vector<std::string> plain_ids;

private:
    std::string new_id()
    {
        char text[32];
        std::snprintf(text, sizeof(text), "i-%04x%06x",
                      static_cast<unsigned>(getpid()) & 0xffffU, ++last_id_);
        return text;
    }
    void start_worker(process& res, worker_options const& it,
                      std::string const& id, std::string const& kind)
    {
        auto const born =
            std::chrono::duration_cast<ms>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
        born_[id] = std::to_string(born);
        res = process({"/proc/self/exe", "worker", it.engine ? "llm" : "plain",
                       it.ip, std::to_string(app_port), id, born_[id], model,
                       std::to_string(it.prefill_ms),
                       std::to_string(it.events), std::to_string(it.event_ms),
                       std::to_string(it.call_ms)},
                      {}, folder + "/" + kind + "s.log");
    }
    void list(std::string const& id, char const* service, std::string const& ip,
              char const* state, int slots, bool engine)
    {
        std::ostringstream out;
        out << R"({"service":")" << service << R"(","address":")" << ip << ":"
            << app_port << R"(","zone":"hall-a","version":"v1","slots":)"
            << slots << R"(,"state":")" << state
            << R"(","cold_remaining_ms":0,"born":)" << born_[id];
        if (engine)
            out << R"(,"stage":"unified","models":[{"name":")" << model
                << R"(","version":1,"adapters":[]}])";
        out << R"(,"sequence":1})";
        rows.put("servers", id, out.str());
    }
    std::vector<std::string> environment(std::string const& path) const
    {
        return {"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C",
                "ENDIVEWARD_BOOT=" + path,
                // As in the deploy file.
                "ENDIVEWARD_CLUSTER_KEY="
                "replace-this-text-for-each-deployment-0001"};
    }
    void write_settings(std::string const& path, std::string const& name,
                        std::string const& ip, bool edge,
                        bool first = true) const
    {
        std::ofstream out(path);
        out << "node_name = " << quoted(name)
            << "\nrole = " << quoted(edge ? "router" : "agent")
            << "\nmachine_class = " << quoted(edge ? "edge" : "side")
            << "\nserves = [" << quoted(edge ? "edge" : "side")
            << "]\nip = " << quoted(ip)
            << "\nzone = \"hall-a\"\nregion = \"be\""
               "\ninternal_ports = [7340,7355]\nseed_nodes = []\nbootstrap = "
            << (first ? "true" : "false")
            << "\nloss_counts = false\ndiscovery = \"platform\""
               "\nentry = \"vip\"\nheartbeat_ms = 1200\n";
        if (!edge)
            out << "app = " << quoted(ip + ":" + std::to_string(app_port))
                << "\nservice = \"lm-desk\"\n";
        out << "[zones]\nhall-a = \"be\"\n[listen]\n";
        if (edge)
            out << "front = "
                << quoted(ip + ":" + std::to_string(front_port))
                << "\nready = "
                << quoted(ip + ":" + std::to_string(ready_port)) << "\n";
        out << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000"
               "\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = "
            << options_.grace_s
            << "\nloss_slack_ms = 200\nconfig_apply_ms = 2000"
               "\ndowngrade_slack_ms = 250\nmax_skew_ms = 5000"
               "\nrevoke_partitioned = false\nrevoke_ms = 5000"
               "\nretry_budget_ratio = 0.2\nbudget_window_s = 10"
               "\nretry_budget_extra = 56\nrecovery_s = 12"
               "\nmax_transit_ms = 120\nreuse_window_s = 10"
               "\nrequire_fencing = true\nlease_ms = 3000"
               "\nthaw_slack_ms = 300\nversion_ms = 10000"
               "\nversion_all_ms = 14000\n[provider]\naddress = "
            << quoted(store_ip + ":8784")
            << "\nform = \"table\"\nwrites_per_s = 400\nreads_per_s = 2000"
               "\ntxn_ms = 3.0\npart_writes_s = 300\nrow_bytes = 65536"
               "\nacross = true\nhistory_s = 20\n";
    }

    deployment_options options_;
    std::string net_;
    std::map<std::string, std::string> born_;
    unsigned last_id_ = 0;
};

// Writes what the workers ran: the time since `begun`, the worker, and the id.
inline void record_runs(fleet const& f, std::ostream& record, long begun)
{
    for (char const* const kind : {"engine", "plain"})
    {
        std::ifstream log(f.folder + "/" + kind + "s.log");
        std::string line;
        while (std::getline(log, line))
        {
            std::istringstream in(line);
            std::string what, worker, id;
            long at = 0;
            if (in >> what >> at >> worker >> id && what == "runs")
                record << at - begun << " ms " << worker << " runs " << id
                       << "\n";
        }
    }
}

inline long wall_ms()
{
    return std::chrono::duration_cast<ms>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// What a consumer saw of one attempt.
struct attempt_result
{
    int status = 0; // 0: no answer
    bool complete = false;
    bool connected = false;
    std::string retry_after;
    std::string body;
    headers fields;
    long took_ms = 0;
};

inline attempt_result attempt(std::string const& ip, int port,
                              std::string const& request, long timeout_ms)
{
    attempt_result res;
    auto const begun = steady::now();
    int const fd = connect_to(ip, port, std::min(1000L, timeout_ms));
    if (fd < 0)
        return res;
    res.connected = true;
    reader in(fd);
    in.until = begun + ms(timeout_ms);
    message it;
    if (send_all(fd, request) && in.head(it))
    {
        res.status = it.status();
        res.complete = in.body(it, true);
        res.retry_after = it.field("Retry-After");
        res.body = it.body;
        res.fields = it.fields;
    }
    close(fd);
    res.took_ms =
        std::chrono::duration_cast<ms>(steady::now() - begun).count();
    return res;
}

inline int run_worker(char** argv)
{
    worker_options it;
    it.engine = std::string(argv[2]) == "llm";
    it.ip = argv[3];
    it.port = std::atoi(argv[4]);
    it.id = argv[5];
    it.born = argv[6];
    it.model = argv[7];
    it.prefill_ms = std::atol(argv[8]);
    it.events = std::atoi(argv[9]);
    it.event_ms = std::atol(argv[10]);
    it.call_ms = std::atol(argv[11]);
    static worker self(it);
    // The address of a worker that was killed is free at once.
    for (int n = 0; !self.start(); ++n)
    {
        if (n == 50)
            return 1;
        nap(20);
    }
    while (true)
        pause();
}

} // namespace rv
