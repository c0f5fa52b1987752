#pragma once

#include <lagoonroute/direct/direct.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** An upstream that runs tasks under a lease, as a value under virtual time. It starts whatever it is told to. */
class UpstreamModel
{
public:
    /** What it is. */
    struct Options
    {
        std::string id;
        Resources capacity{ 64'000, 262'144, 0 };
        double speed = 1; /**< Work done in the time of one sound, plain upstream. */
        double clockRate = 1; /**< Of its steady clock against true time. */
        Duration longestLease = std::chrono::milliseconds(1000);
    };

    /** Work and size of a task, which the upstream finds in the spec in reality. */
    struct TaskTruth
    {
        Duration work{ 0 }; /**< On an upstream of speed 1. */
        Resources need;
        bool alwaysFails = false;
    };

    /** Looks a task up. */
    using TruthOf = std::function<TaskTruth(const DirectTaskId &)>;

    UpstreamModel(Options options, TruthOf truthOf);

    /** Starts a new life: nothing runs, and no token was seen. */
    void rebirth(Instant now);

    OrderResult start(const OrderStart &order, Instant now);
    OrderResult stop(const OrderStop &order, Instant now);

    /** Carries the query out without waiting. */
    StatusQueryAnswered queryStatus(const OrderStatusQuery &order, Instant now);

    /** Lets the runs go on until now. Returns whether one has ended. */
    bool advance(Instant now);

    /** Earliest time at which a run ends if nothing else happens. */
    [[nodiscard]] std::optional<Instant> nextEnd() const;

    /** Changes how fast it works from now on; 0 stands still. */
    void setSlowdown(double factor, Instant now);

    /** From now on the given share of runs fails at half of its work. */
    void setFailing(bool failing);

    /** What it reports of itself. */
    [[nodiscard]] UpstreamReport report(bool isDraining, std::uint64_t sequence) const;

    /** Runs now, by task. */
    [[nodiscard]] std::vector<DirectTaskId> running() const;

    /** Most that ever ran at once, against the capacity. */
    [[nodiscard]] bool wasOverfull() const noexcept
    {
        return m_wasOverfull;
    }

    [[nodiscard]] std::int64_t incarnationStart() const noexcept
    {
        return m_incarnationStart;
    }

private:
    struct Run
    {
        std::uint32_t run = 0;
        double left = 0; // microseconds of work
        double whole = 0;
        bool fails = false;
    };

    [[nodiscard]] std::int64_t clock(Instant now) const;
    [[nodiscard]] double rate() const;
    void end(std::map<DirectTaskId, Run>::iterator run, RunEnd how);
    void extendLease(std::int64_t leaseEnd, Instant now);
    bool isFenced(std::uint64_t token);

    Options m_options;
    TruthOf m_truthOf;
    std::int64_t m_incarnationStart = 0;
    Instant m_startedAt;
    Instant m_advanced;
    double m_slowdown = 1;
    bool m_isFailing = false;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<DirectTaskId, Run> m_runs;
    std::map<DirectTaskId, std::uint32_t> m_highestOver;
    std::vector<ListedEnd> m_ends;
    std::uint64_t m_lastEnd = 0;
    Resources m_used;
    bool m_wasOverfull = false;
};

} // namespace lagoonroute
