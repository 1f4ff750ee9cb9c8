#include "gateway/origin_watch.hpp"

#include "gateway/endpoint_directory.hpp"
#include "gateway/gateway_metrics.hpp"
#include "observe/decision_log.hpp"
#include "resumption/resumption_policy.hpp"
#include "resumption/stream_key.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>
#include <vector>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

/// Until the configuration is known.
constexpr milliseconds initial_lifetime{30000};
/// Agents answer within a few milliseconds, or after a tenth of a second if
/// their share of the processor is used up.
constexpr milliseconds max_inquiry{200};
constexpr std::size_t own_capacity = 8192;
constexpr std::size_t max_inquiries = 1024;

std::string to_text(std::set<kernel::software_version> const& versions)
{
    std::string res;
    for (auto const& it : versions)
        res += (res.empty() ? "" : ",") + it.str();
    return res;
}

} // namespace

origin_watch::origin_watch(asio::io_context& context,
                           kernel::i_clock const& clock,
                           gateway_metrics& metrics, observe::decision_log& log)
    : context_(context)
    , clock_(clock)
    , metrics_(metrics)
    , log_(log)
    , lifetime_(initial_lifetime)
    , own_(own_capacity)
    , inquiry_timer_(context)
{
    listed_.set_retention(lifetime_);
}

void origin_watch::set_handlers(news_handler on_news, query_handler on_query)
{
    on_news_ = std::move(on_news);
    on_query_ = std::move(on_query);
}

void origin_watch::set_lifetime(milliseconds lifetime)
{
    lifetime_ = lifetime;
    listed_.set_retention(lifetime);
}

void origin_watch::on_endpoints(endpoint_directory const& endpoints)
{
    resumption::listed_versions::listing current;
    endpoints.for_each(
        [&](endpoint_record const& it, upstream_pool&)
        {
            current.emplace(it.entry().service, it.entry().software);
            services_.insert(it.entry().service);
        });
    listed_.update(std::move(current), clock_.now());
    update_reported();
}

void origin_watch::on_versions(resumption::recorded_versions recorded)
{
    recorded_ = std::move(recorded);
    update_reported();
    std::vector<std::uint64_t> known;
    for (auto& it : inquiries_)
    {
        it.awaits_versions =
            it.awaits_versions && !recorded_.known_at(it.asked_at);
        if (it.is_answered())
            known.push_back(it.query.id);
    }
    for (auto const id : known)
    {
        if (auto const it = find(id); it != inquiries_.end())
            finish(it, std::nullopt);
    }
}

std::set<kernel::software_version>
origin_watch::versions_of(kernel::service_id const& service) const
{
    auto const now = clock_.now();
    auto res = recorded_.versions_of(service, lifetime_, now);
    auto const listed = listed_.versions_of(service, now);
    res.insert(listed.begin(), listed.end());
    return res;
}

/// Streams that began while their service had one version were not reported.
/// They are when it gets a second one.
void origin_watch::update_reported()
{
    std::set<kernel::service_id> several;
    for (auto const& it : services_)
    {
        if (versions_of(it).size() > 1)
            several.insert(it);
    }
    std::set<kernel::service_id> added;
    std::set_difference(several.begin(), several.end(), reported_.begin(),
                        reported_.end(), std::inserter(added, added.end()));
    reported_ = std::move(several);
    if (added.empty())
        return;
    own_.for_each(clock_.now(),
                  [&](wire::stream_origin const& it)
                  {
                      if (added.contains(it.service))
                          report(it);
                  });
}

void origin_watch::on_sent(std::string_view begun_by,
                           kernel::service_id const& service,
                           kernel::software_version const& software)
{
    wire::stream_origin const origin{resumption::stream_key(begun_by), service,
                                     software, lifetime_};
    own_.add(origin, clock_.now());
    if (reported_.contains(service))
        report(origin);
}

void origin_watch::report(wire::stream_origin const& origin)
{
    news_.origins.push_back(origin);
    plan_news();
}

/// Reports what is sent at the same moment together, and without delay: the
/// streams of a router that ends before its report cannot be taken up.
void origin_watch::plan_news()
{
    if (std::exchange(news_planned_, true))
        return;
    asio::post(context_,
               [this]
               {
                   news_planned_ = false;
                   auto news = std::exchange(news_, {});
                   if (on_news_)
                       on_news_(std::move(news));
               });
}

void origin_watch::locate(std::string const& request_id,
                          std::string const& begun_by,
                          kernel::service_id const& service,
                          decision_handler on_done)
{
    auto const now = clock_.now();
    inquiry it;
    it.query = {++last_query_, resumption::stream_key(begun_by), service};
    it.request_id = request_id;
    it.begun_by = begun_by;
    it.asked_at = now;
    it.until = now + max_inquiry;
    it.on_done = std::move(on_done);
    auto const own = own_.find(it.query.stream, now);
    auto const decision = decide(it, own);
    if (!std::holds_alternative<resumption::ask_agents>(decision))
        return conclude(it, decision, own, "own");
    if (inquiries_.size() >= max_inquiries)
        finish(inquiries_.begin(), std::nullopt);
    it.facts.asked = true;
    auto const query = it.query;
    inquiries_.push_back(std::move(it));
    if (inquiries_.size() == 1)
        arm();
    if (on_query_)
        on_query_(query);
    else
        on_asked(query.id, 0, true, false);
}

void origin_watch::on_asked(std::uint64_t query, std::size_t agents,
                            bool list_is_current, bool reads_versions)
{
    auto const it = find(query);
    if (it == inquiries_.end())
        return;
    it->open_answers = agents;
    it->facts.linked = agents > 0;
    it->facts.list_is_current = list_is_current;
    it->was_sent = true;
    it->awaits_versions = reads_versions && !recorded_.known_at(it->asked_at);
    if (it->is_answered())
        finish(it, std::nullopt);
}

void origin_watch::on_answer(wire::origin_answer const& answer)
{
    auto const it = find(answer.id);
    if (it == inquiries_.end())
        return;
    it->facts.answered = true;
    it->facts.versions.insert(answer.versions.begin(), answer.versions.end());
    if (it->open_answers > 0)
        --it->open_answers;
    if (answer.origin || it->is_answered())
        finish(it, answer.origin);
}

std::deque<origin_watch::inquiry>::iterator
origin_watch::find(std::uint64_t query)
{
    return std::find_if(inquiries_.begin(), inquiries_.end(),
                        [query](auto const& it)
                        { return it.query.id == query; });
}

/// Ends the inquiry with what is known by now.
void origin_watch::finish(std::deque<inquiry>::iterator const& it,
                          std::optional<wire::stream_origin> const& origin)
{
    auto done = std::move(*it);
    inquiries_.erase(it);
    auto const decision = decide(done, origin);
    conclude(done, decision, origin, "agent");
}

resumption::resumption_decision
origin_watch::decide(inquiry& it,
                     std::optional<wire::stream_origin> const& origin) const
{
    auto& facts = it.facts;
    if (origin)
        facts.origin = origin->software;
    facts.versions.merge(versions_of(it.query.service));
    facts.history_complete =
        recorded_.complete(it.query.service, lifetime_, clock_.now()) &&
        recorded_.known_at(it.asked_at);
    return resumption::decide_resumption(facts);
}

void origin_watch::conclude(inquiry const& it,
                            resumption::resumption_decision const& decision,
                            std::optional<wire::stream_origin> const& origin,
                            std::string_view source)
{
    auto const* const found = std::get_if<resumption::resume_at>(&decision);
    if (!origin && found != nullptr)
        source = "single_version";
    else if (!origin)
        source = it.facts.history_complete ? "unknown" : "unknown_history";
    metrics_.on_taken_up(std::string(source));
    log_.write("stream_located",
               "id={} resumes={} source={} service={} software=\"{}\" "
               "versions={} agents_answered={} linked={} list_current={} "
               "history_complete={}",
               it.request_id, it.begun_by, source,
               origin ? origin->service.str() : it.query.service.str(),
               found != nullptr ? found->software.str() : "",
               to_text(it.facts.versions), it.facts.answered, it.facts.linked,
               it.facts.list_is_current, it.facts.history_complete);
    it.on_done(decision,
               origin ? std::optional(origin->service) : std::nullopt);
}

void origin_watch::arm()
{
    if (inquiries_.empty())
        return;
    inquiry_timer_.expires_at(inquiries_.front().until);
    inquiry_timer_.async_wait(
        [this](std::error_code ec)
        {
            if (ec)
                return;
            auto const now = clock_.now();
            while (!inquiries_.empty() && inquiries_.front().until <= now)
                finish(inquiries_.begin(), std::nullopt);
            arm();
        });
}

} // namespace endiveward::gateway
