#ifndef ENDIVEWARD_EXPLAIN_REQUEST_STORY_HPP
#define ENDIVEWARD_EXPLAIN_REQUEST_STORY_HPP

#include "explain/types/log_record.hpp"
#include "explain/types/verdict.hpp"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace endiveward::explain
{

/// What the logs of several processes tell of one request: its own lines and
/// those that tell of its endpoints and its router at that time.
class request_story
{
public:
    explicit request_story(std::string request_id);

    /// Lines may come in any order.
    void add(log_record record);

    /// All lines of the story by time. Those of other requests tell of trouble
    /// at the same endpoints.
    std::vector<log_record> lines() const;
    bool found() const { return !own_.empty(); }
    verdict explain() const;

private:
    std::set<std::string> endpoints() const;
    bool is_related(log_record const& it,
                    std::set<std::string> const& endpoints) const;
    verdict explain_refusal(log_record const& last) const;
    verdict explain_resumption(std::string const& reason) const;
    verdict explain_overload() const;
    verdict explain_quarantine(std::string const& reason) const;
    bool suspects_own_key(log_record const& it) const;
    verdict explain_endpoint_refusal() const;
    verdict explain_no_endpoint(std::string const& reason) const;
    bool refused_without_endpoint() const;
    bool excludes_endpoint(log_record const& it) const;
    std::string excluded_endpoints(std::string const& event) const;
    verdict explain_failure(std::string const& reason) const;
    verdict explain_answer(log_record const& last) const;
    verdict explain_absence() const;
    log_record const* last_of(std::string const& event) const;
    log_record last_or_empty(std::string const& event) const;
    std::string trouble_at(std::string const& endpoint) const;

    std::string id_;
    /// By time.
    std::vector<log_record> own_;
    std::vector<log_record> others_;
};

} // namespace endiveward::explain

#endif
