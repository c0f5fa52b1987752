#pragma once

#include <lagoonroute/configuration/ejectionrules.h>
#include <lagoonroute/configuration/stragglerrules.h>
#include <lagoonroute/placement/taskdemand.h>

#include <map>

namespace lagoonroute
{

/**
 * Detects failing and slow workers by comparing the results of their tasks with the rest of the fleet.
 *
 * A worker whose failure rate is far above the fleet's is ejected: it gets no tasks for some time, then single tasks as probes,
 * then one task more with each success. The ejection time doubles with each failed probe. The share of ejected workers is
 * limited, so that a service never loses all its workers. A worker that is slow compared with the fleet's median is a
 * straggler: it stays in use, and the policy takes its slowdown into account. A worker that refuses a task gets no new tasks
 * for a short time.
 */
class WorkerHealth
{
public:
    /** Limits on placement that currently apply to a worker. */
    struct PlacementLimits
    {
        std::uint32_t allowance = 0; /**< Largest number of assigned tasks, regardless of the worker's slots. */
        double slowdown = 1; /**< 1 unless the worker is a straggler. */
    };

    /** Creates the detector with the given rules. */
    WorkerHealth(EjectionRules ejection, StragglerRules straggler);

    /** Replaces the rules. They apply from the next recorded attempt. */
    void setRules(EjectionRules ejection, StragglerRules straggler);

    /** Adds a worker. Has no effect on a known worker, except that a new incarnation resets its record. */
    void add(NodeId worker, Incarnation incarnation);

    /** Removes a worker. */
    void remove(NodeId worker);

    /** Records the result of an attempt. `expected` is the run time that was estimated when the task was placed. */
    void record(NodeId worker, AttemptResult result, Duration runTime, Duration expected, Instant now);

    /** Sets whether a worker is stalled. A stalled worker gets no new tasks until one of its tasks succeeds or fails. */
    void setStalled(NodeId worker, bool stalled);

    /** Returns the limits on placement that apply to a worker at the given time. */
    [[nodiscard]] PlacementLimits placementLimits(NodeId worker, Instant now) const;

    /** Returns whether a worker is ejected, including the time in which it is probed. */
    [[nodiscard]] bool isEjected(NodeId worker) const;

    /** Returns whether a worker is a straggler or stalled. */
    [[nodiscard]] bool isStraggling(NodeId worker) const;

    /** Returns the first time after `now` at which the limits of a worker change without an event. */
    [[nodiscard]] std::optional<Instant> nextChange(Instant now) const;

private:
    enum class Phase : std::uint8_t {
        Healthy,
        Ejected, // no tasks before `until`, single probes afterwards
        Recovering,
    };

    struct Record
    {
        Incarnation incarnation = 0;
        Phase phase = Phase::Healthy;
        Instant until; // end of the ejection
        std::uint32_t ejections = 0;
        std::uint32_t probesPassed = 0;
        std::uint32_t allowance = 0; // while recovering
        double succeeded = 0;
        double failed = 0;
        Instant counted;
        double logRunTimeRatio = 0;
        std::uint32_t samples = 0;
        Instant lastSample;
        double slowdown = 1;
        Instant avoidUntil;
        std::uint32_t refusals = 0;
        bool stalled = false;
    };

    void succeed(Record &record, Duration runTime, Duration expected, Instant now);
    void fail(Record &record, Instant now);
    void passProbe(Record &record, Instant now) const;
    static void refuse(Record &record, Instant now);
    void eject(Record &record, Instant now) const;
    static void decay(Record &record, Instant now);
    void updateSlowdowns(Instant now);
    void updateAnyDegraded();
    [[nodiscard]] bool hasOutlyingFailureRate(const Record &record) const;
    [[nodiscard]] bool canEjectAnother() const;

    EjectionRules m_ejection;
    StragglerRules m_straggler;
    std::map<NodeId, Record> m_records;
    Instant m_slowdownsUpdated;
    bool m_anyDegraded = false; // whether any worker is limited; avoids look-ups while none is
};

} // namespace lagoonroute
