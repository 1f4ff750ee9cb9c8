#ifndef ENDIVEWARD_GATEWAY_ENDPOINT_DIRECTORY_HPP
#define ENDIVEWARD_GATEWAY_ENDPOINT_DIRECTORY_HPP

#include "gateway/endpoint_record.hpp"
#include "gateway/upstream_pool.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace endiveward::gateway
{

/// The registered endpoints, each with its estimated state and its connection
/// pool.
class endpoint_directory
{
public:
    using record_list = std::vector<std::shared_ptr<endpoint_record>>;
    using pool_factory = std::function<std::shared_ptr<upstream_pool>(
        asio::ip::tcp::endpoint const&)>;

    /// `seed` should differ between processes.
    explicit endpoint_directory(pool_factory make_pool, std::uint64_t seed = 0);

    /// Replaces the whole list. Endpoints that are no longer listed get no new
    /// requests; requests in progress continue. Returns the endpoints whose
    /// entry is of an earlier incarnation and therefore ignored.
    std::vector<kernel::endpoint_id>
    update(std::vector<endpoint_entry> entries);
    /// Returns the endpoint with this id, or null.
    std::shared_ptr<endpoint_record> find(kernel::endpoint_id const& id) const;
    record_list const& of_service(kernel::service_id const& id) const;
    std::shared_ptr<upstream_pool> pool_of(endpoint_record const& record);
    std::vector<kernel::endpoint_id>
    ids_with_model(kernel::model_id const& model) const;

    void for_each(std::function<void(endpoint_record&, upstream_pool&)> const&
                      visit) const;

private:
    struct registration
    {
        std::shared_ptr<endpoint_record> record;
        std::shared_ptr<upstream_pool> pool;
    };

    void remember(std::shared_ptr<endpoint_record> record);
    std::shared_ptr<endpoint_record>
    take_removed(kernel::endpoint_id const& id);
    std::shared_ptr<endpoint_record>
    make_record(endpoint_entry const& entry) const;

    pool_factory make_pool_;
    std::uint64_t seed_;
    std::unordered_map<kernel::endpoint_id, registration> records_;
    std::unordered_map<kernel::service_id, record_list> by_service_;
    /// Endpoints that are no longer listed, oldest first.
    std::deque<std::shared_ptr<endpoint_record>> removed_;
    record_list const empty_list_;
};

} // namespace endiveward::gateway

#endif
