#ifndef ENDIVEWARD_PLACEMENT_RETRY_BUDGET_HPP
#define ENDIVEWARD_PLACEMENT_RETRY_BUDGET_HPP

#include <mutex>

namespace endiveward::placement
{

/// Limits retries to a share of requests, so that retries cannot multiply the
/// load of an overloaded system. Safe for concurrent use.
class retry_budget
{
public:
    /// `share` tokens are earned per request, at most `burst` are kept.
    retry_budget(double ratio, double burst);

    void on_request();
    /// Takes a token; false if there is none.
    bool try_retry();
    double tokens() const;

private:
    double const ratio_;
    double const burst_;
    mutable std::mutex mutex_;
    double tokens_;
};

} // namespace endiveward::placement

#endif
