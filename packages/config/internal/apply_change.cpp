#include "config/apply_change.hpp"

#include "config/selector.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace endiveward::config
{

namespace
{

using outcome = kernel::result<kernel::done>;

// Indexed by object_kind.
constexpr std::array<std::string_view, 6> kind_names{
    "endpoint", "workspace", "model", "service", "rule", "move"};

constexpr std::size_t max_id_size = 128;
constexpr std::size_t key_hash_digits = 64;

kernel::error make_error(kernel::error_kind kind, std::string message)
{
    return {kind, std::move(message), kernel::run_state::not_run, std::nullopt};
}

outcome invalid_request_error(std::string message)
{
    return make_error(kernel::error_kind::invalid_request, std::move(message));
}

outcome not_found_error(std::string const& object)
{
    return make_error(
        kernel::error_kind::not_found,
        fmt::format("{} does not exist; create it first", object));
}

bool is_valid_id(std::string_view text)
{
    return !text.empty() && text.size() <= max_id_size &&
           std::all_of(text.begin(), text.end(),
                       [](char it)
                       {
                           return (it >= 'a' && it <= 'z') ||
                                  (it >= 'A' && it <= 'Z') ||
                                  (it >= '0' && it <= '9') || it == '.' ||
                                  it == '_' || it == '-';
                       });
}

outcome check_id(object_kind kind, std::string const& id)
{
    if (is_valid_id(id))
        return kernel::done();
    return invalid_request_error(
        fmt::format("{} id \"{}\" is not valid; use 1 to 128 "
                    "letters, digits, '.', '_' or '-'",
                    to_string(kind), id));
}

outcome check_label(std::string const& key, std::string const& value)
{
    if (!is_label_key(key))
        return invalid_request_error(
            fmt::format("label key \"{}\" is not valid; use 1 to "
                        "128 letters, digits, '.', '_', '-' or '/'",
                        key));
    if (!is_label_value(value))
        return invalid_request_error(
            fmt::format("label value \"{}\" of {} is not valid; use "
                        "at most 128 letters, digits, '.', '_', "
                        "'-', '/' or ':'",
                        value, key));
    return kernel::done();
}

outcome check_labels(label_set const& labels)
{
    for (auto const& [key, value] : labels)
        if (auto res = check_label(key, value); !kernel::ok(res))
            return res;
    return kernel::done();
}

outcome check_selectors(std::string const& where, rule_selectors const& rule)
{
    for (auto const* it : {&rule.workspaces, &rule.models, &rule.endpoints})
        if (auto const res = selector::parse(*it); !kernel::ok(res))
            return invalid_request_error(
                fmt::format("{}: {}", where, kernel::failure(res).message));
    return kernel::done();
}

template <typename Entry>
auto const& id_text(Entry const& entry)
{
    if constexpr (requires { entry.id.str(); })
        return entry.id.str();
    else
        return entry.id;
}

constexpr object_kind kind_of(endpoint_entry const*)
{
    return object_kind::endpoint;
}
constexpr object_kind kind_of(workspace_entry const*)
{
    return object_kind::workspace;
}
constexpr object_kind kind_of(model_entry const*)
{
    return object_kind::model;
}
constexpr object_kind kind_of(service_entry const*)
{
    return object_kind::service;
}
constexpr object_kind kind_of(rule_entry const*)
{
    return object_kind::rule;
}
constexpr object_kind kind_of(move_entry const*)
{
    return object_kind::move;
}

template <typename Entry>
constexpr object_kind kind_for()
{
    return kind_of(static_cast<Entry const*>(nullptr));
}

/// Returns the key of the object that an operation affects.
struct affected_object_key
{
    template <typename Entry>
    std::string operator()(put_object<Entry> const& it) const
    {
        return object_key(kind_for<Entry>(), id_text(it.entry));
    }
    std::string operator()(delete_object const& it) const
    {
        return object_key(it.kind, it.id);
    }
    std::string operator()(set_label const& it) const
    {
        return object_key(it.target.kind, it.target.id);
    }
    std::string operator()(remove_label const& it) const
    {
        return object_key(it.target.kind, it.target.id);
    }
    std::string operator()(set_stage const& it) const
    {
        return object_key(object_kind::move, it.move);
    }
};

/// Validates and applies one operation.
class operation_applier
{
public:
    explicit operation_applier(config_data& data)
        : data_(data)
    {
    }

    template <typename Entry>
    outcome operator()(put_object<Entry> const& it)
    {
        auto const kind = kind_for<Entry>();
        if (auto res = check_id(kind, id_text(it.entry)); !kernel::ok(res))
            return res;
        if constexpr (requires { it.entry.labels; })
            if (auto res = check_labels(it.entry.labels); !kernel::ok(res))
                return res;
        if (auto res = check(it.entry); !kernel::ok(res))
            return res;
        update_key_owners(id_text(it.entry), &it.entry);
        entries_of(&it.entry)[id_text(it.entry)] =
            std::make_shared<Entry const>(it.entry);
        return kernel::done();
    }

    outcome operator()(delete_object const& it)
    {
        switch (it.kind)
        {
        case object_kind::endpoint:
            return erase<endpoint_entry>(it.id);
        case object_kind::workspace:
            return erase<workspace_entry>(it.id);
        case object_kind::model:
            if (auto res = check_version_references(it.id, nullptr);
                !kernel::ok(res))
                return res;
            return erase<model_entry>(it.id);
        case object_kind::service:
            return erase_service(it.id);
        case object_kind::rule:
            return erase<rule_entry>(it.id);
        case object_kind::move:
            return erase<move_entry>(it.id);
        }
        return not_found_error(object_key(it.kind, it.id));
    }

    outcome operator()(set_label const& it)
    {
        if (auto res = check_label(it.key, it.value); !kernel::ok(res))
            return res;
        return edit_labels(it.target, [&](label_set& labels)
                           { labels[it.key] = it.value; });
    }

    outcome operator()(remove_label const& it)
    {
        return edit_labels(it.target,
                           [&](label_set& labels) { labels.erase(it.key); });
    }

    outcome operator()(set_stage const& it)
    {
        auto const found = data_.moves.find(it.move);
        if (found == data_.moves.end())
            return not_found_error(object_key(object_kind::move, it.move));
        auto next = *found->second;
        next.stage = it.stage;
        if (auto res = check(next); !kernel::ok(res))
            return res;
        found->second = std::make_shared<move_entry const>(std::move(next));
        return kernel::done();
    }

private:
    auto& entries_of(endpoint_entry const*) { return data_.endpoints; }
    auto& entries_of(workspace_entry const*) { return data_.workspaces; }
    auto& entries_of(model_entry const*) { return data_.models; }
    auto& entries_of(service_entry const*) { return data_.services; }
    auto& entries_of(rule_entry const*) { return data_.rules; }
    auto& entries_of(move_entry const*) { return data_.moves; }

    outcome check(endpoint_entry const& entry) const
    {
        if ((entry.kind == endpoint_kind::service) == entry.service.empty())
            return invalid_request_error(
                fmt::format("endpoint {}: set service if and only if kind is "
                            "\"service\"",
                            entry.id.str()));
        if (entry.kind == endpoint_kind::service &&
            !data_.services.contains(entry.service.str()))
            return not_found_error(
                object_key(object_kind::service, entry.service.str()));
        return check_models(entry);
    }

    outcome check_models(endpoint_entry const& entry) const
    {
        if (entry.kind == endpoint_kind::service && !entry.models.empty())
            return invalid_request_error(
                fmt::format("endpoint {}: only engines load models; "
                            "remove models",
                            entry.id.str()));
        for (auto const& it : entry.models)
        {
            if (std::count(entry.models.begin(), entry.models.end(), it) > 1)
                return invalid_request_error(fmt::format(
                    "endpoint {}: version {} of model {} appears twice",
                    entry.id.str(), it.version.str(), it.model.str()));
            auto const found = data_.models.find(it.model.str());
            if (found == data_.models.end() ||
                !has_version(*found->second, it.version))
                return not_found_error(fmt::format(
                    "version {} of {}", it.version.str(),
                    object_key(object_kind::model, it.model.str())));
        }
        return kernel::done();
    }

    static bool has_version(model_entry const& entry,
                            kernel::model_version const& version)
    {
        return std::any_of(entry.versions.begin(), entry.versions.end(),
                           [&](auto const& it)
                           { return it.version == version; });
    }

    /// Rejects a replacement of the model by `next` that drops a version listed
    /// by an endpoint; a null `next` stands for deletion.
    outcome check_version_references(std::string const& model,
                                     model_entry const* next) const
    {
        for (auto const& [name, entry] : data_.endpoints)
        {
            for (auto const& it : entry->models)
            {
                if (it.model.str() != model ||
                    (next != nullptr && has_version(*next, it.version)))
                    continue;
                return invalid_request_error(fmt::format(
                    "version {} of model {} is listed by endpoint {}; change "
                    "the endpoint's models first",
                    it.version.str(), model, name));
            }
        }
        return kernel::done();
    }

    outcome check(workspace_entry const& entry) const
    {
        for (auto const& it : entry.key_hashes)
        {
            bool const hex =
                it.size() == key_hash_digits &&
                it.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (!hex)
                return invalid_request_error(fmt::format(
                    "workspace {}: a key hash must be the SHA-256 of the key "
                    "as 64 lower-case hexadecimal digits",
                    entry.id.str()));
            auto const owner = data_.key_owners.find(it);
            if (owner != data_.key_owners.end() &&
                owner->second != entry.id.str())
                return invalid_request_error(fmt::format(
                    "workspace {}: a key hash belongs to workspace {}; create "
                    "another key",
                    entry.id.str(), owner->second));
        }
        return kernel::done();
    }

    outcome check(model_entry const& entry) const
    {
        std::set<std::string> versions;
        for (auto const& it : entry.versions)
        {
            if (!is_valid_id(it.version.str()) ||
                !versions.insert(it.version.str()).second)
                return invalid_request_error(fmt::format(
                    "model {}: version \"{}\" is not valid or appears twice",
                    entry.id.str(), it.version.str()));
            if (auto res = check_labels(it.labels); !kernel::ok(res))
                return res;
        }
        return check_version_references(entry.id.str(), &entry);
    }

    outcome check(service_entry const& entry) const
    {
        for (auto const& it : entry.idempotent_operations)
            if (it.method.empty() || !it.path.starts_with('/'))
                return invalid_request_error(fmt::format(
                    "service {}: an operation needs a method and a path that "
                    "starts with '/'",
                    entry.id.str()));
        return kernel::done();
    }

    outcome check(rule_entry const& entry) const
    {
        return check_selectors(fmt::format("rule {}", entry.id),
                               entry.selectors);
    }

    outcome check(move_entry const& entry) const
    {
        std::set<std::string> names;
        for (auto const& it : entry.stages)
        {
            if (!is_valid_id(it.name) || !names.insert(it.name).second)
                return invalid_request_error(fmt::format(
                    "move {}: stage \"{}\" is not valid or appears twice",
                    entry.id, it.name));
            for (auto const& rule : it.rules)
                if (auto res = check_selectors(
                        fmt::format("move {}, stage {}", entry.id, it.name),
                        rule);
                    !kernel::ok(res))
                    return res;
        }
        if (!entry.stage.empty() && !names.contains(entry.stage))
            return invalid_request_error(
                fmt::format("move {} has no stage \"{}\"; use one "
                            "of its stages or an empty one",
                            entry.id, entry.stage));
        return kernel::done();
    }

    template <typename Entry>
    void update_key_owners(std::string const&, Entry const*)
    {
    }

    void update_key_owners(std::string const& id, workspace_entry const* next)
    {
        auto const found = data_.workspaces.find(id);
        if (found != data_.workspaces.end())
            for (auto const& it : found->second->key_hashes)
                data_.key_owners.erase(it);
        if (next == nullptr)
            return;
        for (auto const& it : next->key_hashes)
            data_.key_owners[it] = id;
    }

    template <typename Entry>
    outcome erase(std::string const& id)
    {
        Entry const* const none = nullptr;
        if (!entries_of(none).contains(id))
            return not_found_error(object_key(kind_for<Entry>(), id));
        update_key_owners(id, none);
        entries_of(none).erase(id);
        return kernel::done();
    }

    outcome erase_service(std::string const& id)
    {
        for (auto const& [name, it] : data_.endpoints)
            if (it->service.str() == id)
                return invalid_request_error(
                    fmt::format("service {} is served by endpoint "
                                "{}; delete the endpoint first",
                                id, name));
        return erase<service_entry>(id);
    }

    template <typename Entry, typename Edit>
    outcome edit_entry_labels(std::string const& id, Edit const& edit)
    {
        auto& entries = entries_of(static_cast<Entry const*>(nullptr));
        auto const found = entries.find(id);
        if (found == entries.end())
            return not_found_error(object_key(kind_for<Entry>(), id));
        auto next = *found->second;
        edit(next.labels);
        found->second = std::make_shared<Entry const>(std::move(next));
        return kernel::done();
    }

    template <typename Edit>
    outcome edit_labels(label_target const& target, Edit const& edit)
    {
        switch (target.kind)
        {
        case object_kind::endpoint:
            return edit_entry_labels<endpoint_entry>(target.id, edit);
        case object_kind::workspace:
            return edit_entry_labels<workspace_entry>(target.id, edit);
        case object_kind::service:
            return edit_entry_labels<service_entry>(target.id, edit);
        case object_kind::model:
            return edit_version_labels(target, edit);
        default:
            return invalid_request_error(
                fmt::format("a {} has no labels", to_string(target.kind)));
        }
    }

    template <typename Edit>
    outcome edit_version_labels(label_target const& target, Edit const& edit)
    {
        auto const object = object_key(object_kind::model, target.id);
        auto const found = data_.models.find(target.id);
        if (found == data_.models.end())
            return not_found_error(object);
        auto next = *found->second;
        auto const it =
            std::find_if(next.versions.begin(), next.versions.end(),
                         [&](auto const& version)
                         { return version.version.str() == target.version; });
        if (it == next.versions.end())
            return not_found_error(
                fmt::format("version {} of {}", target.version, object));
        edit(it->labels);
        found->second = std::make_shared<model_entry const>(std::move(next));
        return kernel::done();
    }

    config_data& data_;
};

} // namespace

std::string_view to_string(object_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string object_key(object_kind kind, std::string_view id)
{
    return fmt::format("{}/{}", to_string(kind), id);
}

std::set<std::string> affected_objects(change const& candidate)
{
    std::set<std::string> res;
    for (auto const& it : candidate.operations)
        res.insert(std::visit(affected_object_key(), it));
    return res;
}

kernel::config_version object_version(config_data const& data,
                                      std::string const& object)
{
    auto const it = data.last_changes.find(object);
    return it == data.last_changes.end() ? 0 : it->second->version;
}

kernel::result<kernel::done> apply_change(config_data& data,
                                          change const& candidate)
{
    operation_applier applier(data);
    for (auto const& it : candidate.operations)
        if (auto res = std::visit(applier, it); !kernel::ok(res))
            return res;
    ++data.version;
    auto const info = std::make_shared<change_info const>(
        change_info{data.version, candidate.id, candidate.author});
    for (auto const& it : affected_objects(candidate))
        data.last_changes[it] = info;
    return kernel::done();
}

} // namespace endiveward::config
