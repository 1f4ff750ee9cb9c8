#ifndef ENDIVEWARD_AVAILABILITY_LEAVING_TRACKER_HPP
#define ENDIVEWARD_AVAILABILITY_LEAVING_TRACKER_HPP

namespace endiveward::availability
{

/// Tracks at an agent whether its engine is leaving, from the answers to the
/// agent's calls.
class leaving_tracker
{
public:
    bool leaving() const { return leaving_; }

    /// An answer announced the exit. Returns true if none did before.
    bool on_announced();
    /// A report is requested from the engine.
    void on_report_requested();
    /// The requested report has arrived. Returns true if it shows that the
    /// engine has restarted.
    bool on_report();

private:
    bool leaving_ = false;
    bool leaving_at_request_ = false;
    bool announced_since_request_ = false;
};

} // namespace endiveward::availability

#endif
