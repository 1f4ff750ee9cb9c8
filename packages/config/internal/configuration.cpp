#include "config/configuration.hpp"

#include "config/selector.hpp"
#include "config/types/routing_key.hpp"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <bit>
#include <map>
#include <set>

namespace endiveward::config
{

namespace
{

constexpr std::size_t word_bits = 64;

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(),
           digest.data());
    std::string res;
    for (auto const it : digest)
        res += fmt::format("{:02x}", it);
    return res;
}

label_set select_labels(label_set const& labels,
                        std::set<std::string> const& keys)
{
    label_set res;
    for (auto const& it : labels)
        if (keys.contains(it.first))
            res.insert(it);
    return res;
}

std::optional<std::size_t>
first_common_bit(std::vector<std::uint64_t> const& lhs,
                 std::vector<std::uint64_t> const& rhs)
{
    for (std::size_t i = 0; i < lhs.size(); ++i)
        if (auto const both = lhs[i] & rhs[i]; both != 0)
            return i * word_bits +
                   static_cast<std::size_t>(std::countr_zero(both));
    return std::nullopt;
}

} // namespace

/// Groups objects by the labels that a list of selectors uses.
struct configuration::class_table
{
    class_table(std::vector<selector> const& criteria,
                std::vector<object_class>& out)
        : selectors(criteria)
        , classes(out)
    {
        for (auto const& it : selectors)
            it.collect_keys(keys);
    }

    std::size_t add(std::string id, label_set const& labels)
    {
        auto selected = select_labels(labels, keys);
        auto const [it, inserted] = index.try_emplace(selected, index.size());
        if (inserted)
        {
            object_class next;
            next.rules.resize((selectors.size() + word_bits - 1) / word_bits);
            for (std::size_t i = 0; i < selectors.size(); ++i)
                if (selectors[i].matches(selected))
                    next.rules[i / word_bits] |= std::uint64_t{1}
                                                 << (i % word_bits);
            next.labels = std::move(selected);
            classes.push_back(std::move(next));
        }
        classes[it->second].members.push_back(std::move(id));
        return it->second;
    }

    std::vector<selector> const& selectors;
    std::vector<object_class>& classes;
    std::set<std::string> keys;
    std::map<label_set, std::size_t> index;
};

/// Compiles the rules of a configuration.
class configuration::compiler
{
public:
    explicit compiler(configuration& out)
        : out_(out)
        , data_(*out.data_)
    {
    }

    kernel::result<kernel::done> run()
    {
        collect_rules();
        if (auto res = parse_rules(); !kernel::ok(res))
            return res;
        group_objects();
        list_endpoints();
        return kernel::done();
    }

private:
    void collect_rules()
    {
        for (auto const& [id, move] : data_.moves)
            for (auto const& stage : move->stages)
                if (stage.name == move->stage)
                    add_stage(id, stage);
        std::vector<rule_entry const*> base;
        for (auto const& it : data_.rules)
            base.push_back(it.second.get());
        // The map is sorted by id, and the stable sort keeps that order for
        // rules with equal `order`.
        std::stable_sort(base.begin(), base.end(),
                         [](auto const* lhs, auto const* rhs)
                         { return lhs->order < rhs->order; });
        for (auto const* it : base)
            out_.rules_.push_back(
                {fmt::format("rule/{}", it->id), it->selectors});
    }

    void add_stage(std::string const& id, move_stage const& stage)
    {
        for (std::size_t i = 0; i < stage.rules.size(); ++i)
            out_.rules_.push_back(
                {fmt::format("move/{}/{}/{}", id, stage.name, i),
                 stage.rules[i]});
    }

    kernel::result<kernel::done> parse_rules()
    {
        for (auto const& it : out_.rules_)
        {
            auto workspaces = selector::parse(it.selectors.workspaces);
            auto models = selector::parse(it.selectors.models);
            auto endpoints = selector::parse(it.selectors.endpoints);
            for (auto const* res : {&workspaces, &models, &endpoints})
                if (!kernel::ok(*res))
                    return kernel::failure(*res);
            workspace_selectors_.push_back(kernel::value(workspaces));
            model_selectors_.push_back(kernel::value(models));
            endpoint_selectors_.push_back(kernel::value(endpoints));
        }
        return kernel::done();
    }

    void group_objects()
    {
        class_table workspaces(workspace_selectors_, out_.workspace_classes_);
        for (auto const& [id, it] : data_.workspaces)
            out_.workspaces_[id] = workspaces.add(id, it->labels);
        class_table versions(model_selectors_, out_.version_classes_);
        for (auto const& [id, model] : data_.models)
            for (auto const& it : model->versions)
                out_.versions_[id].emplace_back(
                    it.version.str(),
                    versions.add(fmt::format("{}/{}", id, it.version.str()),
                                 it.labels));
        class_table services(model_selectors_, out_.service_classes_);
        for (auto const& [id, it] : data_.services)
            out_.services_[id] = services.add(id, it->labels);
    }

    void list_endpoints()
    {
        out_.endpoints_[""] = endpoint_lists_for("");
        for (auto const& it : data_.services)
            out_.endpoints_[it.first] = endpoint_lists_for(it.first);
    }

    std::vector<list_pointer>
    endpoint_lists_for(std::string const& service) const
    {
        std::vector<list_pointer> res;
        for (auto const& it : endpoint_selectors_)
        {
            endpoint_list list;
            for (auto const& entry : data_.endpoints)
                if (entry.second->service.str() == service &&
                    it.matches(entry.second->labels))
                    list.push_back(entry.second->id);
            res.push_back(
                std::make_shared<endpoint_list const>(std::move(list)));
        }
        return res;
    }

    configuration& out_;
    config_data const& data_;
    std::vector<selector> workspace_selectors_;
    std::vector<selector> model_selectors_;
    std::vector<selector> endpoint_selectors_;
};

configuration::configuration()
    : data_(std::make_shared<config_data const>())
    , no_endpoints_(std::make_shared<endpoint_list const>())
{
}

kernel::result<std::shared_ptr<configuration const>>
configuration::compile(std::shared_ptr<config_data const> data)
{
    auto res = std::make_shared<configuration>();
    res->data_ = std::move(data);
    if (auto const compiled = compiler(*res).run(); !kernel::ok(compiled))
        return kernel::failure(compiled);
    return std::shared_ptr<configuration const>(std::move(res));
}

kernel::config_version configuration::version() const
{
    return data_->version;
}

workspace_entry const*
configuration::find_workspace(kernel::workspace_id const& id) const
{
    auto const it = data_->workspaces.find(id.str());
    return it == data_->workspaces.end() ? nullptr : it->second.get();
}

model_entry const* configuration::find_model(kernel::model_id const& id) const
{
    auto const it = data_->models.find(id.str());
    return it == data_->models.end() ? nullptr : it->second.get();
}

service_entry const*
configuration::find_service(kernel::service_id const& id) const
{
    auto const it = data_->services.find(id.str());
    return it == data_->services.end() ? nullptr : it->second.get();
}

endpoint_entry const*
configuration::find_endpoint(kernel::endpoint_id const& id) const
{
    auto const it = data_->endpoints.find(id.str());
    return it == data_->endpoints.end() ? nullptr : it->second.get();
}

std::vector<kernel::model_id> configuration::models() const
{
    std::vector<kernel::model_id> res;
    for (auto const& it : data_->models)
        res.push_back(it.second->id);
    return res;
}

workspace_entry const*
configuration::authenticate(std::string_view api_key) const
{
    // The lookup by hash is not constant-time, but its duration depends only on
    // the SHA-256 of what the caller sent, from which no key can be derived.
    auto const hash = sha256_hex(api_key);
    auto const it = data_->key_owners.find(hash);
    if (it == data_->key_owners.end() ||
        CRYPTO_memcmp(it->first.data(), hash.data(), hash.size()) != 0)
        return nullptr;
    return find_workspace(kernel::workspace_id(it->second));
}

configuration::object_class const*
configuration::target_class(routing_key const& key) const
{
    if (!key.service.empty())
    {
        auto const it = services_.find(key.service.str());
        return it == services_.end() ? nullptr : &service_classes_[it->second];
    }
    auto const model = versions_.find(key.model.str());
    if (model == versions_.end())
        return nullptr;
    for (auto const& [version, index] : model->second)
        if (version == key.version.str())
            return &version_classes_[index];
    return nullptr;
}

std::optional<std::size_t>
configuration::workspace_class(kernel::workspace_id const& id) const
{
    auto const it = workspaces_.find(id.str());
    if (it == workspaces_.end())
        return std::nullopt;
    return it->second;
}

std::optional<std::size_t>
configuration::first_matching_rule(routing_key const& key) const
{
    auto const workspace = workspaces_.find(key.workspace.str());
    auto const* target = target_class(key);
    if (workspace == workspaces_.end() || target == nullptr)
        return std::nullopt;
    return first_common_bit(workspace_classes_[workspace->second].rules,
                            target->rules);
}

std::shared_ptr<configuration::endpoint_list const>
configuration::allowed_endpoints(routing_key const& key) const
{
    auto const rule = first_matching_rule(key);
    if (!rule)
        return no_endpoints_;
    return endpoints_.at(key.service.str())[*rule];
}

bool configuration::allows(routing_key const& key,
                           kernel::endpoint_id const& endpoint) const
{
    auto const list = allowed_endpoints(key);
    return std::binary_search(list->begin(), list->end(), endpoint,
                              [](auto const& lhs, auto const& rhs)
                              { return lhs.str() < rhs.str(); });
}

} // namespace endiveward::config
