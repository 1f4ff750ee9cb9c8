#ifndef ENDIVEWARD_TEST_SUPPORT_CHILD_PROCESS_HPP
#define ENDIVEWARD_TEST_SUPPORT_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::test_support
{

/// A program that a test starts, with its output in a log file. Ends with the
/// object. Errors of the operating system throw `std::system_error`.
class child_process
{
public:
    /// `arguments` starts with the program's path.
    child_process(std::vector<std::string> arguments,
                  std::filesystem::path log_file);
    /// Kills the process if it is running.
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// Starts the program, again if it has ended; the log is appended to.
    void start();
    /// Sends SIGTERM.
    void terminate();
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Sends SIGSTOP.
    void pause();
    /// Sends SIGCONT.
    void proceed();

    bool running();
    /// The wait status as of waitpid; none if it runs beyond the limit.
    std::optional<int> wait(std::chrono::milliseconds limit);
    /// Whether it ended by itself with exit code 0.
    bool succeeded() const;
    /// The exit code; none if it runs or was ended by a signal.
    std::optional<int> exit_code() const;

    pid_t pid() const { return pid_; }
    std::string log() const;

private:
    void signal(int number);
    bool reap(int flags);

    std::vector<std::string> arguments_;
    std::filesystem::path log_file_;
    /// 0 if not running.
    pid_t pid_ = 0;
    std::optional<int> status_;
};

} // namespace endiveward::test_support

#endif
