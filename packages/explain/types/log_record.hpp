#ifndef ENDIVEWARD_EXPLAIN_TYPES_LOG_RECORD_HPP
#define ENDIVEWARD_EXPLAIN_TYPES_LOG_RECORD_HPP

#include <chrono>
#include <map>
#include <string>

namespace endiveward::explain
{

/// One line of a process's log: a decision with its inputs.
struct log_record
{
    std::chrono::sys_time<std::chrono::milliseconds> time;
    std::string process;
    std::string event;
    std::map<std::string, std::string> fields;

    /// Empty if the line has no such field.
    std::string value(std::string const& name) const
    {
        auto const found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

} // namespace endiveward::explain

#endif
