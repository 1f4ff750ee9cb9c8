#ifndef ENDIVEWARD_STORAGE_HTTP_VM_LIST_HPP
#define ENDIVEWARD_STORAGE_HTTP_VM_LIST_HPP

#include "storage/i_vm_list.hpp"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>

namespace endiveward::storage
{

class http_client;

/// The platform's list of VMs over HTTP. Entries that cannot be read are left
/// out and logged.
class http_vm_list : public i_vm_list
{
public:
    http_vm_list(std::shared_ptr<http_client> client, std::string base_url);

    void list(std::chrono::milliseconds timeout, handler on_done) override;

private:
    std::shared_ptr<http_client> client_;
    std::string base_url_;
    /// Unreadable entries of the last list; shared with calls in progress.
    std::shared_ptr<std::atomic<std::size_t>> ignored_;
};

} // namespace endiveward::storage

#endif
