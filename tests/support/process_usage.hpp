#ifndef ENDIVEWARD_TEST_SUPPORT_PROCESS_USAGE_HPP
#define ENDIVEWARD_TEST_SUPPORT_PROCESS_USAGE_HPP

#include <sys/types.h>

#include <cstddef>
#include <cstdint>

namespace endiveward::test_support
{

/// Largest resident memory that the process has had, in bytes; 0 if it is gone.
std::size_t peak_memory(pid_t process);
/// Number of open descriptors.
std::size_t open_descriptors(pid_t process);
/// Bytes that have been received for connections to this local port and that
/// the process has not read.
std::size_t unread_bytes(std::uint16_t port);

} // namespace endiveward::test_support

#endif
