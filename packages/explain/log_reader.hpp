#ifndef ENDIVEWARD_EXPLAIN_LOG_READER_HPP
#define ENDIVEWARD_EXPLAIN_LOG_READER_HPP

#include "explain/types/log_record.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace endiveward::explain
{

/// Reads the lines of one log. A collector may have put words before a line;
/// the last of them is then taken as the name of the process.
class log_reader
{
public:
    /// `process` names the writer until a line tells its name.
    explicit log_reader(std::string process);

    /// Gives none for a line that is no decision of endiveward.
    std::optional<log_record> read(std::string_view line);

    /// Lines that looked like JSON and could not be read.
    std::size_t unreadable() const { return unreadable_; }

private:
    std::string process_;
    std::size_t unreadable_ = 0;
};

} // namespace endiveward::explain

#endif
