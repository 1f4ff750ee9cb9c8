#ifndef ENDIVEWARD_STAND_INS_MODEL_SET_HPP
#define ENDIVEWARD_STAND_INS_MODEL_SET_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace endiveward::stand_ins
{

/// The loaded weights versions and the fencing number of orders.
class model_set
{
public:
    using model_version = std::pair<std::string, std::string>;

    explicit model_set(bool checks_fencing);

    /// Whether an order with this number is carried out.
    bool accept_order(std::uint64_t fencing_number);
    void add(model_version const& which) { loaded_.insert(which); }
    void remove(model_version const& which) { loaded_.erase(which); }
    /// The version that serves a request: the one asked for, or the last of
    /// the model if none is asked for; none if it is not loaded.
    std::optional<std::string> find(std::string const& model,
                                    std::string const& version) const;
    std::set<model_version> const& loaded() const { return loaded_; }

private:
    bool checks_fencing_;
    std::uint64_t highest_number_ = 0;
    std::set<model_version> loaded_;
};

/// Reads `model@version,...`.
std::set<model_set::model_version> parse_weights(std::string const& text);

} // namespace endiveward::stand_ins

#endif
