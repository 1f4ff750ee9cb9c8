#ifndef ENDIVEWARD_PLACEMENT_RETRY_BUDGET_HPP
#define ENDIVEWARD_PLACEMENT_RETRY_BUDGET_HPP

#include <mutex>

namespace endiveward::placement
{

/// Token bucket that limits retries to a ratio of the requests, so that retries
/// cannot multiply the load of an overloaded system. Safe for concurrent use.
class retry_budget
{
public:
    /// Each request adds `ratio` tokens, up to `burst` tokens in total.
    retry_budget(double ratio, double burst);

    void on_request();
    /// Consumes a token; returns false if less than one is available.
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
