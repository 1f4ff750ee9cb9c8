#include "storage/http_client.hpp"

#include "kernel/parse_number.hpp"
#include "kernel/response_head_checker.hpp"

#include <curl/curl.h>
#include <fmt/format.h>

#include <atomic>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

namespace endiveward::storage
{

namespace
{

// Wakes the thread often enough to notice a stop if a wake-up is lost.
constexpr int poll_ms = 1000;
constexpr long max_connections = 64;

struct transfer
{
    http_request request;
    http_client::handler on_done;
    http_response response;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    kernel::response_head_checker head_checker;
    /// Whether the blank line after the header fields has arrived.
    bool head_complete = false;

    transfer(http_request what, http_client::handler handler)
        : request(std::move(what))
        , on_done(std::move(handler))
    {
    }
    ~transfer()
    {
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
    }
    transfer(transfer const&) = delete;
    transfer& operator=(transfer const&) = delete;
};

std::size_t take_body(char* data, std::size_t size, std::size_t count,
                      void* user)
{
    auto& body = static_cast<transfer*>(user)->response.body;
    auto const bytes = size * count;
    if (body.size() + bytes > http_client::max_response_bytes)
        return 0;
    body.append(data, bytes);
    return bytes;
}

/// libcurl accepts heads that are not valid, and takes one that breaks off for
/// the end of the response.
std::size_t take_header(char* data, std::size_t size, std::size_t count,
                        void* user)
{
    constexpr long first_final_status = 200;
    auto& it = *static_cast<transfer*>(user);
    std::string_view const line(data, size * count);
    // Trailer fields of a chunked body are ignored.
    if (it.head_complete)
        return line.size();
    // Another head follows an informational one.
    if (it.head_checker.complete())
        it.head_checker.reset();
    if (it.head_checker.check(line) < line.size())
        return 0;
    if (it.head_checker.complete())
    {
        long status = 0;
        curl_easy_getinfo(it.easy, CURLINFO_RESPONSE_CODE, &status);
        it.head_complete = status >= first_final_status;
    }
    return line.size();
}

void prepare(transfer& it)
{
    it.easy = curl_easy_init();
    auto* easy = it.easy;
    auto const& request = it.request;
    // "Expect: 100-continue" would add a pause before large bodies.
    it.headers = curl_slist_append(nullptr, "Expect:");
    for (auto const& header : request.headers)
        it.headers = curl_slist_append(it.headers, header.c_str());
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, it.headers);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                     static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &take_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &it);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &it);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &it);
    if (request.send_once)
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    if (request.method == "GET")
        return;
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

kernel::error transfer_error(transfer const& it, char const* reason)
{
    long sent = 0;
    if (it.easy != nullptr)
        curl_easy_getinfo(it.easy, CURLINFO_REQUEST_SIZE, &sent);
    return {kernel::error_kind::connection_lost,
            fmt::format("{} {}: {}; check that the service is running",
                        it.request.method, it.request.url, reason),
            sent == 0 ? kernel::run_state::not_run : kernel::run_state::unknown,
            std::nullopt};
}

/// Without a length or chunks, a body that breaks off looks complete.
bool has_delimited_body(transfer const& it, long status)
{
    constexpr long status_no_content = 204;
    auto const find = [&](char const* name)
    {
        curl_header* field = nullptr;
        auto const found = curl_easy_header(it.easy, name, 0, CURLH_HEADER, -1,
                                            &field) == CURLHE_OK;
        return found ? field : nullptr;
    };
    auto const* const length = find("Content-Length");
    auto const* const coding = find("Transfer-Encoding");
    if (coding != nullptr)
        return length == nullptr && coding->amount == 1 &&
               curl_strequal(coding->value, "chunked") != 0;
    return status == status_no_content ||
           (length != nullptr && length->amount == 1);
}

kernel::result<http_response> outcome_of(transfer& it, CURLcode code)
{
    if (it.head_checker.failed())
        return transfer_error(it, "the head of the response is invalid");
    if (code != CURLE_OK)
        return transfer_error(it, curl_easy_strerror(code));
    if (!it.head_complete)
        return transfer_error(it, "the head of the response is incomplete");
    long status = 0;
    curl_easy_getinfo(it.easy, CURLINFO_RESPONSE_CODE, &status);
    if (!has_delimited_body(it, status))
        return transfer_error(it, "the response has no length");
    it.response.status = static_cast<int>(status);
    curl_header* era = nullptr;
    if (curl_easy_header(it.easy, "Table-Era", 0, CURLH_HEADER, -1, &era) ==
        CURLHE_OK)
        it.response.table_era = kernel::parse_number<std::uint64_t>(era->value);
    curl_off_t retry_after = 0;
    curl_easy_getinfo(it.easy, CURLINFO_RETRY_AFTER, &retry_after);
    if (retry_after > 0)
        it.response.retry_after = std::chrono::seconds(retry_after);
    return std::move(it.response);
}

void init_curl_once()
{
    static CURLcode const code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (code != CURLE_OK)
        throw std::runtime_error("libcurl cannot be initialized");
}

} // namespace

class http_client::impl : public std::enable_shared_from_this<impl>
{
public:
    impl()
    {
        init_curl_once();
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                          max_connections);
    }

    ~impl() { curl_multi_cleanup(multi_); }

    void start()
    {
        thread_ = std::thread([self = shared_from_this()] { self->run(); });
    }

    /// A handler may hold the last reference to the client, which is then
    /// destroyed on the client's own thread. The thread cannot wait for itself;
    /// it ends after the handler and keeps this object until then.
    void stop()
    {
        stop_ = true;
        curl_multi_wakeup(multi_);
        if (thread_.get_id() == std::this_thread::get_id())
            thread_.detach();
        else
            thread_.join();
    }

    impl(impl const&) = delete;
    impl& operator=(impl const&) = delete;

    void send(http_request request, handler on_done)
    {
        auto next =
            std::make_unique<transfer>(std::move(request), std::move(on_done));
        {
            std::lock_guard const lock(mutex_);
            waiting_.push_back(std::move(next));
        }
        curl_multi_wakeup(multi_);
    }

private:
    void run()
    {
        while (!stop_)
        {
            start_waiting();
            int running = 0;
            curl_multi_perform(multi_, &running);
            finish_done();
            curl_multi_poll(multi_, nullptr, 0, poll_ms, nullptr);
        }
        abandon_all();
    }

    void start_waiting()
    {
        std::vector<std::unique_ptr<transfer>> next;
        {
            std::lock_guard const lock(mutex_);
            next.swap(waiting_);
        }
        for (auto& it : next)
        {
            prepare(*it);
            curl_multi_add_handle(multi_, it->easy);
            active_[it->easy] = std::move(it);
        }
    }

    void finish_done()
    {
        int left = 0;
        while (auto const* message = curl_multi_info_read(multi_, &left))
        {
            if (message->msg != CURLMSG_DONE)
                continue;
            auto const code = message->data.result;
            auto node = active_.extract(message->easy_handle);
            auto& it = *node.mapped();
            auto res = outcome_of(it, code);
            curl_multi_remove_handle(multi_, it.easy);
            it.on_done(std::move(res));
        }
    }

    void abandon_all()
    {
        for (auto& [easy, it] : active_)
        {
            auto error = transfer_error(*it, "the process is stopping");
            curl_multi_remove_handle(multi_, easy);
            it->on_done(std::move(error));
        }
        active_.clear();
        std::lock_guard const lock(mutex_);
        for (auto& it : waiting_)
            it->on_done(transfer_error(*it, "the process is stopping"));
        waiting_.clear();
    }

    CURLM* multi_ = nullptr;
    std::atomic<bool> stop_{false};
    std::mutex mutex_;
    std::vector<std::unique_ptr<transfer>> waiting_;
    std::map<CURL*, std::unique_ptr<transfer>> active_;
    std::thread thread_;
};

http_client::http_client()
    : impl_(std::make_shared<impl>())
{
    impl_->start();
}

http_client::~http_client()
{
    impl_->stop();
}

void http_client::send(http_request request, handler on_done)
{
    impl_->send(std::move(request), std::move(on_done));
}

std::string url_encoded(std::string const& text)
{
    std::unique_ptr<char, decltype(&curl_free)> const res(
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
        &curl_free);
    return res ? res.get() : "";
}

} // namespace endiveward::storage
