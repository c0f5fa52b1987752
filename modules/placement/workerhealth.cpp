#include <lagoonroute/placement/workerhealth.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace lagoonroute
{

namespace
{

constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t firstRecoveryAllowance = 2;
constexpr std::uint32_t fullRecoveryAllowance = 16;
constexpr Duration firstAvoidance = std::chrono::milliseconds(10);
constexpr std::uint32_t maxAvoidanceDoublings = 7;
constexpr std::uint32_t maxEjectionDoublings = 16;
constexpr Duration maxEjection = std::chrono::minutes(2);
constexpr Duration halfLife = std::chrono::seconds(10);
constexpr Duration stragglerRecheck = std::chrono::seconds(10);
constexpr double percent = 100;
constexpr double sampleTolerance = 0.9; // samples decay while they are collected, so that their sum stays below their number
constexpr double runTimeRatioGain = 1.0 / 8;
constexpr Duration slowdownInterval = std::chrono::milliseconds(250);

} // namespace

WorkerHealth::WorkerHealth(EjectionRules ejection, StragglerRules straggler)
    : m_ejection(ejection)
    , m_straggler(straggler)
{
}

void WorkerHealth::setRules(EjectionRules ejection, StragglerRules straggler)
{
    m_ejection = ejection;
    m_straggler = straggler;
}

void WorkerHealth::add(NodeId worker, Incarnation incarnation)
{
    Record &record = m_records[worker];
    if (record.incarnation != incarnation) {
        record = Record{ .incarnation = incarnation };
    }
}

void WorkerHealth::remove(NodeId worker)
{
    m_records.erase(worker);
}

void WorkerHealth::record(NodeId worker, AttemptResult result, Duration runTime, Duration expected, Instant now)
{
    const auto found = m_records.find(worker);
    if (found == m_records.end()) {
        return;
    }
    Record &record = found->second;
    switch (result) {
    case AttemptResult::Succeeded:
        succeed(record, runTime, expected, now);
        break;
    case AttemptResult::FailedAtWorker:
        fail(record, now);
        break;
    case AttemptResult::RefusedNotStarted:
        refuse(record, now);
        break;
    }
    if (m_anyDegraded || result != AttemptResult::Succeeded) {
        updateAnyDegraded();
    }
}

void WorkerHealth::succeed(Record &record, Duration runTime, Duration expected, Instant now)
{
    decay(record, now);
    record.succeeded += 1;
    record.refusals = 0;
    record.stalled = false;
    if (record.phase == Phase::Ejected && now >= record.until) {
        passProbe(record, now);
    } else if (record.phase == Phase::Recovering && ++record.allowance >= fullRecoveryAllowance) {
        record.phase = Phase::Healthy;
    }
    const double ratio = static_cast<double>(std::max<Duration::rep>(1, runTime.count())) / static_cast<double>(std::max<Duration::rep>(1, expected.count()));
    const double gain = std::max(runTimeRatioGain, 1.0 / (record.samples + 1));
    record.logRunTimeRatio += gain * (std::log(ratio) - record.logRunTimeRatio);
    ++record.samples;
    record.lastSample = now;
    if (now - m_slowdownsUpdated >= slowdownInterval) {
        updateSlowdowns(now);
    }
}

void WorkerHealth::passProbe(Record &record, Instant now) const
{
    ++record.probesPassed;
    record.until = now + m_ejection.probeInterval;
    if (record.probesPassed >= m_ejection.probesToReadmit) {
        record.phase = Phase::Recovering;
        record.allowance = firstRecoveryAllowance;
        record.failed = 0;
    }
}

void WorkerHealth::fail(Record &record, Instant now)
{
    decay(record, now);
    record.failed += 1;
    record.stalled = false;
    switch (record.phase) {
    case Phase::Healthy:
        if (hasOutlyingFailureRate(record) && canEjectAnother()) {
            eject(record, now);
        }
        break;
    case Phase::Ejected:
        if (now >= record.until) {
            eject(record, now);
        }
        break;
    case Phase::Recovering:
        record.allowance /= 2;
        if (record.allowance == 0) {
            eject(record, now);
        }
        break;
    }
}

void WorkerHealth::refuse(Record &record, Instant now)
{
    record.avoidUntil = now + firstAvoidance * (1 << std::min(record.refusals, maxAvoidanceDoublings));
    ++record.refusals;
}

void WorkerHealth::eject(Record &record, Instant now) const
{
    const bool wasHealthyForLong = record.phase == Phase::Healthy && now - record.until > maxEjection;
    record.ejections = wasHealthyForLong ? 0 : record.ejections;
    const auto factor = static_cast<Duration::rep>(1) << std::min(record.ejections, maxEjectionDoublings);
    record.until = now + std::min(maxEjection, m_ejection.probeInterval * factor);
    record.phase = Phase::Ejected;
    record.probesPassed = 0;
    ++record.ejections;
}

void WorkerHealth::decay(Record &record, Instant now)
{
    const double halfLives = static_cast<double>((now - record.counted).count()) / static_cast<double>(halfLife.count());
    const double decayFactor = std::exp2(-std::max(0.0, halfLives));
    record.succeeded *= decayFactor;
    record.failed *= decayFactor;
    record.counted = now;
}

bool WorkerHealth::hasOutlyingFailureRate(const Record &record) const
{
    const double attempts = record.succeeded + record.failed;
    if (attempts < m_ejection.minimumSamples * sampleTolerance) {
        return false;
    }
    double othersFailed = 0;
    double othersAttempts = 0;
    for (const auto &[node, other] : m_records) {
        if (&other != &record && other.phase == Phase::Healthy) {
            othersFailed += other.failed;
            othersAttempts += other.succeeded + other.failed;
        }
    }
    if (othersAttempts == 0) {
        // A worker that fails quickly attracts tasks before any other worker has completed one. Without a fleet to compare with, twice
        // the number of samples is required.
        return record.succeeded == 0 && attempts >= 2 * m_ejection.minimumSamples * sampleTolerance;
    }
    const double fleetRate = othersFailed / othersAttempts;
    return percent * (record.failed / attempts - fleetRate) > m_ejection.failurePercentAboveFleet;
}

bool WorkerHealth::canEjectAnother() const
{
    const auto ejected = std::count_if(m_records.begin(), m_records.end(), [](const auto &item) { return item.second.phase == Phase::Ejected; });
    const auto workers = static_cast<double>(m_records.size());
    const double share = std::floor(workers * m_ejection.largestEjectedPercent / percent);
    const double allowed = m_ejection.largestEjectedPercent == 0 ? 0 : std::min(workers - 1, std::max(1.0, share));
    return static_cast<double>(ejected) + 1 <= allowed;
}

void WorkerHealth::updateSlowdowns(Instant now)
{
    m_slowdownsUpdated = now;
    std::vector<double> logRatios;
    logRatios.reserve(m_records.size());
    for (const auto &[node, record] : m_records) {
        if (record.samples >= m_straggler.minimumSamples) {
            logRatios.push_back(record.logRunTimeRatio);
        }
    }
    if (logRatios.size() < 2) {
        return;
    }
    const auto middle = logRatios.begin() + static_cast<std::ptrdiff_t>((logRatios.size() - 1) / 2);
    std::nth_element(logRatios.begin(), middle, logRatios.end());
    for (auto &[node, record] : m_records) {
        const double slowdown = record.samples >= m_straggler.minimumSamples ? std::exp(record.logRunTimeRatio - *middle) : 1;
        record.slowdown = percent * slowdown >= m_straggler.slowdownPercent ? slowdown : 1;
    }
    updateAnyDegraded();
}

void WorkerHealth::updateAnyDegraded()
{
    m_anyDegraded = std::any_of(m_records.begin(), m_records.end(), [](const auto &item) {
        const Record &record = item.second;
        return record.phase != Phase::Healthy || record.stalled || record.refusals > 0 || record.slowdown > 1;
    });
}

void WorkerHealth::setStalled(NodeId worker, bool stalled)
{
    const auto found = m_records.find(worker);
    if (found != m_records.end() && found->second.stalled != stalled) {
        found->second.stalled = stalled;
        updateAnyDegraded();
    }
}

WorkerHealth::PlacementLimits WorkerHealth::placementLimits(NodeId worker, Instant now) const
{
    if (!m_anyDegraded) {
        return { unlimited, 1 };
    }
    const auto found = m_records.find(worker);
    if (found == m_records.end()) {
        return {};
    }
    const Record &record = found->second;
    if (record.stalled || now < record.avoidUntil) {
        return {};
    }
    if (record.phase == Phase::Ejected) {
        return { now >= record.until ? 1U : 0U, 1 };
    }
    const std::uint32_t allowance = record.phase == Phase::Recovering ? record.allowance : unlimited;
    if (record.slowdown > 1 && now - record.lastSample >= stragglerRecheck) {
        return { 1, 1 };
    }
    return { allowance, record.slowdown };
}

bool WorkerHealth::isEjected(NodeId worker) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && found->second.phase == Phase::Ejected;
}

bool WorkerHealth::isStraggling(NodeId worker) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && (found->second.stalled || found->second.slowdown > 1);
}

std::optional<Instant> WorkerHealth::nextChange(Instant now) const
{
    std::optional<Instant> earliest;
    const auto consider = [&earliest, now](Instant moment) {
        if (moment > now && (!earliest || moment < *earliest)) {
            earliest = moment;
        }
    };
    for (const auto &[node, record] : m_records) {
        consider(record.avoidUntil);
        if (record.phase == Phase::Ejected) {
            consider(record.until);
        }
        if (record.slowdown > 1) {
            consider(record.lastSample + stragglerRecheck);
        }
    }
    return earliest;
}

} // namespace lagoonroute
