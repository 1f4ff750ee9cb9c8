#include "support/child_process.hpp"

#include "support/wait.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <system_error>

namespace endiveward::test_support
{

namespace
{

void check(int error, std::string const& what)
{
    if (error != 0)
        throw std::system_error(error, std::generic_category(), what);
}

} // namespace

child_process::child_process(std::vector<std::string> arguments,
                             std::filesystem::path log_file)
    : arguments_(std::move(arguments))
    , log_file_(std::move(log_file))
{
}

child_process::~child_process()
{
    if (pid_ == 0)
        return;
    ::kill(pid_, SIGKILL);
    reap(0);
}

void child_process::start()
{
    if (running())
        return;
    status_.reset();
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null",
                                     O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_file_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // With a copy of a test's socket in the program, the peer does not notice
    // when the test closes it, and a port stays in use.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    std::vector<char*> argv;
    argv.reserve(arguments_.size() + 1);
    for (auto& it : arguments_)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    int const error = posix_spawn(&pid_, arguments_[0].c_str(), &files,
                                  &attributes, argv.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&files);
    if (error != 0)
        pid_ = 0;
    check(error, "start " + arguments_[0]);
}

void child_process::terminate()
{
    signal(SIGTERM);
}

void child_process::kill()
{
    signal(SIGKILL);
    if (pid_ != 0)
        reap(0);
}

void child_process::pause()
{
    signal(SIGSTOP);
}

void child_process::proceed()
{
    signal(SIGCONT);
}

bool child_process::running()
{
    return pid_ != 0 && !reap(WNOHANG);
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit)
{
    wait_until([this] { return !running(); }, limit);
    return status_;
}

bool child_process::succeeded() const
{
    return status_ && WIFEXITED(*status_) && WEXITSTATUS(*status_) == 0;
}

std::optional<int> child_process::exit_code() const
{
    if (!status_ || !WIFEXITED(*status_))
        return std::nullopt;
    return WEXITSTATUS(*status_);
}

std::string child_process::log() const
{
    std::ifstream in(log_file_);
    return {std::istreambuf_iterator<char>(in), {}};
}

void child_process::signal(int number)
{
    if (running() && ::kill(pid_, number) != 0)
        check(errno, "signal " + arguments_[0]);
}

bool child_process::reap(int flags)
{
    int status = 0;
    if (waitpid(pid_, &status, flags) != pid_)
        return false;
    status_ = status;
    pid_ = 0;
    return true;
}

} // namespace endiveward::test_support
