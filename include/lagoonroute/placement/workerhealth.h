#pragma once

#include <lagoonroute/configuration/ejectionrules.h>
#include <lagoonroute/configuration/stragglerrules.h>
#include <lagoonroute/placement/taskdemand.h>

#include <map>

namespace lagoonroute
{

/**
 * Judges workers by what their tasks became, against the rest of the fleet.
 *
 * A worker whose failure rate stands out is ejected: it gets nothing for a while, then single tasks as probes, then one
 * more with each success. The pause doubles at each probe that fails. The share of ejected workers is capped, so that
 * a service is never emptied. A worker that is slow against the fleet's median is a straggler: it stays in use, with
 * the slowdown told to the policy. A worker that refuses is left alone for a short time.
 */
class WorkerHealth
{
public:
    /** What a worker may get now. */
    struct Standing
    {
        std::uint32_t allowance = 0; /**< Tasks that it may hold at once, before its slots are looked at. */
        double slowdown = 1; /**< 1 unless the worker is a straggler. */
    };

    /** Creates the judge under the given rules. */
    WorkerHealth(EjectionRules ejection, StragglerRules straggler);

    /** Replaces the rules. What was decided stays until the next attempt ends. */
    void setRules(EjectionRules ejection, StragglerRules straggler);

    /** Adds a worker, or keeps it; a new incarnation starts with a clean record. */
    void add(NodeId worker, Incarnation incarnation);

    /** Forgets a worker. */
    void forget(NodeId worker);

    /** Learns from an attempt that ended. `expected` is the estimate made when the task was placed. */
    void record(NodeId worker, AttemptResult result, Duration runTime, Duration expected, Instant now);

    /** Marks a worker whose tasks do not end: it gets no new ones until one of them does. */
    void setStalled(NodeId worker, bool stalled);

    [[nodiscard]] Standing standing(NodeId worker, Instant now) const;

    /** Tells whether a worker is ejected, its probes included. */
    [[nodiscard]] bool isEjected(NodeId worker) const;

    /** Tells whether a worker is a straggler or stalled. */
    [[nodiscard]] bool isStraggling(NodeId worker) const;

    /** First moment after `now` at which a standing changes by time alone. */
    [[nodiscard]] std::optional<Instant> nextChange(Instant now) const;

private:
    enum class Phase : std::uint8_t {
        Healthy,
        Ejected, // until `until`, then probed
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
        double logSlowness = 0;
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
    void compareSpeeds(Instant now);
    void lookForTrouble();
    [[nodiscard]] bool standsOut(const Record &record) const;
    [[nodiscard]] bool mayEjectOneMore() const;

    EjectionRules m_ejection;
    StragglerRules m_straggler;
    std::map<NodeId, Record> m_records;
    Instant m_compared;
    bool m_hasTrouble = false; // some worker's standing is not that of a healthy one
};

} // namespace lagoonroute
