#include "agent/internal/http_transport.hpp"

#include "kernel/response_head_checker.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <mutex>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>

namespace endiveward::agent
{

namespace
{

constexpr long connect_timeout_ms = 2000;
constexpr int poll_timeout_ms = 1000;

struct curl_global
{
    curl_global() { curl_global_init(CURL_GLOBAL_DEFAULT); }
    ~curl_global() { curl_global_cleanup(); }
};

void init_curl_once()
{
    static curl_global const global;
}

std::string to_lower(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return out;
}

std::string_view trim(std::string_view text)
{
    constexpr auto space = " \t\r\n";
    auto const first = text.find_first_not_of(space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(space) - first + 1);
}

} // namespace

class http_transport::impl : public std::enable_shared_from_this<impl>
{
    asio::io_context& context_;

public:
    explicit impl(asio::io_context& context)
        : context_(context)
    {
        init_curl_once();
        multi_ = curl_multi_init();
    }

    void start_thread()
    {
        thread_ = std::thread([this] { run_loop(); });
    }

    void shut_down()
    {
        stopping_ = true;
        curl_multi_wakeup(multi_);
        thread_.join();
        active_.clear();
        curl_multi_cleanup(multi_);
    }

    std::uint64_t start(http_request request, http_handlers handlers)
    {
        auto const id = ++last_id_;
        auto it = std::make_shared<transfer>();
        it->id = id;
        it->request = std::move(request);
        it->owner = this;
        receivers_[id] = {std::move(handlers), it, false, 0};
        enqueue([this, it] { add(it); });
        return id;
    }

    void pause(std::uint64_t id)
    {
        auto const it = receivers_.find(id);
        if (it != receivers_.end())
            it->second.paused = true;
    }

    void resume(std::uint64_t id)
    {
        auto const it = receivers_.find(id);
        if (it == receivers_.end())
            return;
        it->second.paused = false;
        consume(it->second, std::exchange(it->second.deferred_bytes, 0));
    }

    void cancel(std::uint64_t id)
    {
        receivers_.erase(id);
        enqueue([this, id] { remove(id); });
    }

private:
    /// Accessed on the curl thread only, except for `unconsumed_bytes`.
    struct transfer
    {
        transfer() = default;
        transfer(transfer const&) = delete;
        transfer& operator=(transfer const&) = delete;
        ~transfer()
        {
            if (easy != nullptr)
                curl_easy_cleanup(easy);
            curl_slist_free_all(headers);
        }

        std::uint64_t id = 0;
        impl* owner = nullptr;
        http_request request;
        http_head head;
        CURL* easy = nullptr;
        curl_slist* headers = nullptr;
        std::atomic<std::size_t> unconsumed_bytes{0};
        bool started = false;
        bool paused = false;
        bool head_sent = false;
        kernel::response_head_checker head_checker;
        /// Whether the blank line after the header fields has arrived.
        bool head_complete = false;
        bool has_two_lengths = false;
    };

    /// Accessed on the context's thread only.
    struct receiver
    {
        http_handlers handlers;
        std::shared_ptr<transfer> source;
        bool paused = false;
        /// Bytes passed to the handler while paused. They count as consumed
        /// only after `resume`.
        std::size_t deferred_bytes = 0;
    };

    void enqueue(std::function<void()> task)
    {
        {
            std::lock_guard const lock(mutex_);
            commands_.push_back(std::move(task));
        }
        curl_multi_wakeup(multi_);
    }

    void consume(receiver& from, std::size_t n)
    {
        if (n == 0)
            return;
        auto const before = from.source->unconsumed_bytes.fetch_sub(n);
        if (before >= window_bytes && before - n < window_bytes)
            enqueue([this, id = from.source->id] { unpause(id); });
    }

    void run_loop()
    {
        while (!stopping_)
        {
            run_commands();
            int running = 0;
            curl_multi_perform(multi_, &running);
            collect_finished();
            curl_multi_poll(multi_, nullptr, 0, poll_timeout_ms, nullptr);
        }
        for (auto const& [id, it] : active_)
            curl_multi_remove_handle(multi_, it->easy);
    }

    void run_commands()
    {
        std::vector<std::function<void()>> tasks;
        {
            std::lock_guard const lock(mutex_);
            tasks.swap(commands_);
        }
        for (auto const& it : tasks)
            it();
    }

    void add(std::shared_ptr<transfer> const& it)
    {
        it->easy = curl_easy_init();
        set_request(*it);
        set_callbacks(*it);
        active_[it->id] = it;
        curl_multi_add_handle(multi_, it->easy);
    }

    static void set_request(transfer& it)
    {
        auto* const easy = it.easy;
        auto const& request = it.request;
        curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(request.timeout.count()));
        // libcurl silently retries a request when a reused connection turns out
        // to be closed, which could run a call twice.
        if (request.at_most_once || request.uses_new_connection)
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        if (request.method == "HEAD")
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        if (!request.body.empty() || request.method == "POST")
        {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        }
        // Disables Expect: 100-continue, which would add a round trip to each
        // long prompt.
        it.headers = curl_slist_append(nullptr, "Expect:");
        for (auto const& field : request.headers)
        {
            auto const line = field.name + ": " + field.value;
            it.headers = curl_slist_append(it.headers, line.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, it.headers);
    }

    static void set_callbacks(transfer& it)
    {
        auto* const easy = it.easy;
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &it);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &impl::on_prereq);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &it);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &impl::on_header);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &it);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &impl::on_write);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &it);
    }

    // Called after the connection is established and before the first byte is
    // sent. A second call for a transfer means that libcurl retries the
    // request.
    static int on_prereq(void* data, char*, char*, int, int)
    {
        auto& it = *static_cast<transfer*>(data);
        bool const repeated = std::exchange(it.started, true);
        return repeated && it.request.at_most_once ? CURL_PREREQFUNC_ABORT
                                                   : CURL_PREREQFUNC_OK;
    }

    static std::size_t on_header(char* data, std::size_t size, std::size_t n,
                                 void* user)
    {
        auto& it = *static_cast<transfer*>(user);
        std::string_view const line(data, size * n);
        // Trailer fields of a chunked body are ignored.
        if (it.head_complete)
            return size * n;
        if (it.head_checker.complete())
            begin_next_head(it);
        // libcurl accepts heads that are not valid.
        if (it.head_checker.check(line) < line.size())
            return 0;
        // It takes a head that breaks off for the end of the response.
        if (it.head_checker.complete())
            it.head_complete = is_final(it);
        auto const colon = line.find(':');
        if (colon == std::string_view::npos)
            return size * n;
        auto const name = to_lower(line.substr(0, colon));
        it.has_two_lengths |=
            name == "content-length" && it.head.headers.contains(name);
        it.head.headers[name] = std::string(trim(line.substr(colon + 1)));
        return size * n;
    }

    /// Another head follows an informational one.
    static void begin_next_head(transfer& it)
    {
        it.head = {};
        it.head_checker.reset();
        it.has_two_lengths = false;
    }

    static bool is_final(transfer const& it)
    {
        constexpr long first_final_status = 200;
        long status = 0;
        curl_easy_getinfo(it.easy, CURLINFO_RESPONSE_CODE, &status);
        return status >= first_final_status;
    }

    static std::size_t on_write(char* data, std::size_t size, std::size_t n,
                                void* user)
    {
        auto& it = *static_cast<transfer*>(user);
        if (it.unconsumed_bytes.load() >= window_bytes)
        {
            it.paused = true;
            // The consumer may have drained the window before `paused` was set.
            if (it.unconsumed_bytes.load() >= window_bytes)
                return CURL_WRITEFUNC_PAUSE;
            it.paused = false;
        }
        it.owner->deliver_head(it);
        it.unconsumed_bytes += size * n;
        it.owner->deliver_data(it.id, std::string(data, size * n));
        return size * n;
    }

    void unpause(std::uint64_t id)
    {
        auto const it = active_.find(id);
        if (it == active_.end() || !std::exchange(it->second->paused, false))
            return;
        curl_easy_pause(it->second->easy, CURLPAUSE_CONT);
    }

    void remove(std::uint64_t id)
    {
        auto const it = active_.find(id);
        if (it == active_.end())
            return;
        curl_multi_remove_handle(multi_, it->second->easy);
        active_.erase(it);
    }

    void collect_finished()
    {
        int left = 0;
        while (auto* const msg = curl_multi_info_read(multi_, &left))
        {
            if (msg->msg != CURLMSG_DONE)
                continue;
            auto const code = msg->data.result;
            transfer* it = nullptr;
            curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &it);
            finish(*it, code);
        }
    }

    void finish(transfer& it, CURLcode code)
    {
        auto const whole = code == CURLE_OK && it.head_complete;
        if (whole)
            deliver_head(it);
        http_end end;
        end.started = it.started;
        end.complete = whole && has_delimited_body(it);
        if (it.head_checker.failed())
            end.reason = "the head of the response is invalid";
        else if (code != CURLE_OK)
            end.reason = curl_easy_strerror(code);
        else if (!it.head_complete)
            end.reason = "the head of the response is incomplete";
        else
            end.reason = "the answer has no length";
        auto const id = it.id;
        remove(id);
        asio::post(context_,
                   [self = shared_from_this(), id, end]
                   {
                       auto const to = self->receivers_.extract(id);
                       if (!to.empty())
                           to.mapped().handlers.on_end(end);
                   });
    }

    static bool has_delimited_body(transfer const& it)
    {
        auto const& headers = it.head.headers;
        auto const coding = headers.find("transfer-encoding");
        auto const has_length = headers.contains("content-length");
        if (coding != headers.end())
            return !has_length && to_lower(coding->second) == "chunked";
        return (has_length && !it.has_two_lengths) || it.head.status == 204 ||
               it.request.method == "HEAD";
    }

    void deliver_head(transfer& it)
    {
        if (std::exchange(it.head_sent, true))
            return;
        long status = 0;
        curl_easy_getinfo(it.easy, CURLINFO_RESPONSE_CODE, &status);
        it.head.status = static_cast<int>(status);
        asio::post(context_,
                   [self = shared_from_this(), id = it.id, head = it.head]
                   {
                       auto const to = self->receivers_.find(id);
                       if (to == self->receivers_.end())
                           return;
                       // Copied, because the handler may cancel the transfer.
                       auto const handler = to->second.handlers.on_head;
                       handler(head);
                   });
    }

    void deliver_data(std::uint64_t id, std::string bytes)
    {
        asio::post(context_, [self = shared_from_this(), id,
                              bytes = std::move(bytes)]() mutable
                   { self->receive_data(id, std::move(bytes)); });
    }

    void receive_data(std::uint64_t id, std::string bytes)
    {
        auto it = receivers_.find(id);
        if (it == receivers_.end())
            return;
        auto const n = bytes.size();
        auto const handler = it->second.handlers.on_data;
        handler(std::move(bytes));
        it = receivers_.find(id);
        if (it == receivers_.end())
            return;
        if (it->second.paused)
            it->second.deferred_bytes += n;
        else
            consume(it->second, n);
    }

    CURLM* multi_ = nullptr;
    std::thread thread_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<std::function<void()>> commands_;
    // Accessed on the curl thread only.
    std::unordered_map<std::uint64_t, std::shared_ptr<transfer>> active_;
    // Accessed on the context's thread only.
    std::unordered_map<std::uint64_t, receiver> receivers_;
    std::uint64_t last_id_ = 0;
};

http_transport::http_transport(asio::io_context& context)
    : impl_(std::make_shared<impl>(context))
{
    impl_->start_thread();
}

http_transport::~http_transport()
{
    impl_->shut_down();
}

std::uint64_t http_transport::start(http_request request,
                                    http_handlers handlers)
{
    return impl_->start(std::move(request), std::move(handlers));
}

void http_transport::pause(std::uint64_t id)
{
    impl_->pause(id);
}

void http_transport::resume(std::uint64_t id)
{
    impl_->resume(id);
}

void http_transport::cancel(std::uint64_t id)
{
    impl_->cancel(id);
}

} // namespace endiveward::agent
