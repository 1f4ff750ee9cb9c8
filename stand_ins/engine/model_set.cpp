#include "engine/model_set.hpp"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace endiveward::stand_ins
{

model_set::model_set(bool checks_fencing)
    : checks_fencing_(checks_fencing)
{
}

bool model_set::accept_order(std::uint64_t fencing_number)
{
    if (checks_fencing_ && fencing_number < highest_number_)
        return false;
    highest_number_ = std::max(highest_number_, fencing_number);
    return true;
}

std::optional<std::string> model_set::find(std::string const& model,
                                           std::string const& version) const
{
    std::optional<std::string> found;
    for (auto const& [loaded_model, loaded_version] : loaded_)
        if (loaded_model == model &&
            (version.empty() || loaded_version == version))
            found = loaded_version;
    return found;
}

std::set<model_set::model_version> parse_weights(std::string const& text)
{
    std::set<model_set::model_version> weights;
    std::istringstream in(text);
    std::string item;
    while (std::getline(in, item, ','))
    {
        auto const at = item.find('@');
        if (at == std::string::npos)
            throw std::invalid_argument("write weights as model@version: " +
                                        item);
        weights.emplace(item.substr(0, at), item.substr(at + 1));
    }
    return weights;
}

} // namespace endiveward::stand_ins
