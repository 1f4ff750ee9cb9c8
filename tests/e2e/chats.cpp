#include "e2e/chats.hpp"

#include "e2e/callers.hpp"
#include "support/deployment.hpp"
#include "support/wait.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace endiveward::e2e
{

std::vector<std::string> all_routers(test_support::deployment const& running)
{
    std::vector<std::string> urls;
    for (std::size_t n = 0; n < running.router_count(); ++n)
        urls.push_back(running.router_url(n));
    return urls;
}

chats::chats(std::vector<std::string> const& routers, form kind,
             std::size_t count, std::size_t tokens)
    : calls_(count)
    , pieces_(count)
{
    for (std::size_t n = 0; n < count; ++n)
    {
        bool const stream =
            kind == form::mixed ? n % 3 != 0 : kind == form::streamed;
        bodies_.push_back(chat(fmt::format("chat-{}", n), stream, tokens));
        calls_[n] = chat_call(routers[n % routers.size()], bodies_[n]);
        calls_[n].on_data = [this, n](std::string_view)
        {
            ++pieces_[n];
            return true;
        };
    }
    answers_ =
        std::async(std::launch::async, [this] { return send_all(calls_); });
}

bool chats::wait_for_pieces(std::size_t count) const
{
    return test_support::wait_until(
        [&]
        {
            for (std::size_t n = 0; n < pieces_.size(); ++n)
                if (bodies_[n]["stream"] && pieces_[n] < count)
                    return false;
            return true;
        });
}

void chats::check_answers()
{
    auto const all = answers();
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        INFO(n << ": " << describe(all[n]));
        CHECK(is_right(all[n], bodies_[n]));
    }
}

} // namespace endiveward::e2e
