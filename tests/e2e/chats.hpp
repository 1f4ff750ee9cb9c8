#ifndef ENDIVEWARD_E2E_CHATS_HPP
#define ENDIVEWARD_E2E_CHATS_HPP

#include "support/http_client.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstddef>
#include <future>
#include <string>
#include <vector>

namespace endiveward::test_support
{
class deployment;
}

namespace endiveward::e2e
{

/// Which answers `chats` asks for.
enum class form
{
    streamed,
    whole,
    mixed
};

/// URLs of all routers of a deployment.
std::vector<std::string> all_routers(test_support::deployment const& running);

/// Concurrent chats of the first workspace through routers in turn.
class chats
{
public:
    chats(std::vector<std::string> const& routers, form kind, std::size_t count,
          std::size_t tokens);
    /// Waits for the answers.
    ~chats() = default;
    chats(chats const&) = delete;
    chats& operator=(chats const&) = delete;

    /// Waits until each streamed answer has at least that many pieces.
    bool wait_for_pieces(std::size_t count) const;
    /// Waits for the answers; once only.
    std::vector<test_support::http_answer> answers() { return answers_.get(); }
    /// Waits for the answers; each must be exactly the right one.
    void check_answers();

private:
    std::vector<nlohmann::json> bodies_;
    std::vector<test_support::http_call> calls_;
    std::vector<std::atomic<std::size_t>> pieces_;
    std::future<std::vector<test_support::http_answer>> answers_;
};

} // namespace endiveward::e2e

#endif
