#ifndef ENDIVEWARD_STAND_INS_EXECUTION_LOG_HPP
#define ENDIVEWARD_STAND_INS_EXECUTION_LOG_HPP

#include <cstdint>
#include <map>
#include <string>

namespace endiveward::stand_ins
{

/// Counts executions of gate checks, so that a test finds repeated ones.
class execution_log
{
public:
    /// Gives the number of executions of this pass so far.
    std::uint64_t add(std::string const& pass, std::string const& request_id)
    {
        ++total_;
        if (!request_id.empty())
            ++by_request_[request_id];
        return ++by_pass_[pass];
    }
    std::uint64_t total() const { return total_; }
    std::map<std::string, std::uint64_t> const& by_pass() const
    {
        return by_pass_;
    }
    std::map<std::string, std::uint64_t> const& by_request() const
    {
        return by_request_;
    }

private:
    std::uint64_t total_ = 0;
    std::map<std::string, std::uint64_t> by_pass_;
    std::map<std::string, std::uint64_t> by_request_;
};

} // namespace endiveward::stand_ins

#endif
