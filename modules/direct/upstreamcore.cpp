#include <lagoonroute/direct/upstreamcore.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** The upstream's clock may run this much slower than ours. */
constexpr double slowestClock = 1.02;
/** On top of a lease end, for the way of the order. */
constexpr Duration leaseMargin = 20ms;
/** Longest lease that an upstream grants, as its clock runs at worst; what an earlier life of the agent left is over by then. */
constexpr Duration longestForeignLease = 1100ms;
/** Pause between two tries to reach an upstream that does not answer. */
constexpr Duration lookRetry = 200ms;
/** Time that an upstream takes to stop a run, with room for its answer. */
constexpr Duration stopTime = 60ms;
/** Pause before a stop without an answer is sent again. */
constexpr Duration stopRetry = 10ms;
/** By which a refused token is raised first, in milliseconds of the time of day; it doubles with each refusal. */
constexpr std::uint64_t firstTokenStep = 1000;
/** Looks in a row without an answer before the upstream counts as silent: single answers may be lost. */
constexpr std::uint32_t tolerableFailedLooks = 2;
/** Answers to two looks may overtake each other by this much, a look's own time-out. */
constexpr Duration staleListTime = 300ms;
/** A link that says nothing after it was opened is closed. */
constexpr Duration greetingTime = 2s;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

UpstreamCore::Options UpstreamCore::Options::withNode(std::string name, std::string availabilityZone, Incarnation life) const
{
    Options changed = *this;
    changed.node = std::move(name);
    changed.zone = std::move(availabilityZone);
    changed.incarnation = life;
    return changed;
}

UpstreamCore::Options UpstreamCore::Options::withFirstToken(std::uint64_t token) const
{
    Options changed = *this;
    changed.firstToken = token;
    return changed;
}

UpstreamCore::Options UpstreamCore::Options::withLease(Duration term) const
{
    Options changed = *this;
    changed.lease = term;
    return changed;
}

UpstreamCore::Options UpstreamCore::Options::withOfferLifetime(Duration time) const
{
    Options changed = *this;
    changed.offerLifetime = time;
    return changed;
}

UpstreamCore::UpstreamCore(Options options)
    : m_options(std::move(options))
    , m_phase(Phase::Fencing)
    , m_token(m_options.firstToken)
{
}

void UpstreamCore::handle(const UpstreamReport &report, Instant now, UpstreamActions &actions)
{
    const bool isSameLife = m_hasReport && report.id == m_report.id && report.born == m_report.born;
    if (isSameLife && report.sequence <= m_report.sequence) {
        return;
    }
    if (m_born != 0 && report.born != 0 && report.born != m_born) {
        // Either a new life, or a late report of an old one: the upstream's own list tells.
        m_otherLife = report;
        lookSoon(now, 0ms);
        elapse(now, actions);
        return;
    }
    adopt(report, now, actions);
    elapse(now, actions);
}

void UpstreamCore::adopt(const UpstreamReport &report, Instant now, UpstreamActions &actions)
{
    if (!m_hasReport || report.id != m_report.id || report.born != m_report.born || report.isDraining != m_report.isDraining) {
        note(actions, "upstream-report", report.id, report.isDraining ? "draining" : "ready");
    }
    m_report = report;
    UpstreamReport kept = report;
    kept.sequence = 0; // a next life takes every report that follows
    if (report.born != 0 && kept != m_kept) {
        m_kept = kept;
        actions.emplace_back(KeepReport{ kept });
    }
    m_hasReport = true;
    m_reportedAt = now;
    roomHasChanged();
    if (m_phase == Phase::Unknown) {
        beginFencing(now, actions);
    }
}

void UpstreamCore::recall(const UpstreamReport &kept, Instant now, UpstreamActions &actions)
{
    m_recalled = kept;
    useRecalled(now, actions);
    elapse(now, actions);
}

void UpstreamCore::useRecalled(Instant now, UpstreamActions &actions)
{
    if (!m_recalled || m_born == 0) {
        return;
    }
    const UpstreamReport kept = *std::exchange(m_recalled, std::nullopt);
    if (!m_hasReport && kept.born == m_born) {
        m_kept = kept;
        adopt(kept, now, actions);
    }
}

void UpstreamCore::handle(const UpstreamLeft &left, Instant now, UpstreamActions &actions)
{
    if (!m_hasReport || left.id != m_report.id) {
        return;
    }
    loseUpstream("left", actions);
    elapse(now, actions);
}

void UpstreamCore::beginFencing(Instant now, UpstreamActions &actions)
{
    m_phase = Phase::Fencing;
    m_strays = 0;
    roomHasChanged();
    look(now, 0ms, actions);
}

void UpstreamCore::meetLife(std::int64_t born, Instant now, UpstreamActions &actions)
{
    if (m_otherLife && m_otherLife->born == born) {
        const UpstreamReport report = *std::exchange(m_otherLife, std::nullopt);
        m_born = born;
        adopt(report, now, actions);
    }
    m_otherLife.reset();
    m_born = born;
    if (m_hasReport && m_report.born != 0 && m_report.born != born) {
        m_hasReport = false;
    }
    note(actions, "upstream-life", m_report.id, "born " + std::to_string(born));
    // Orders that the earlier life never carried out may still reach this one; a higher token shuts them out.
    m_token = std::max(m_token + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(0, born)));
    m_lastSeenEnd = 0;
    m_strays = 0;
    // What the earlier life was running is gone; an order that it never answered may still reach this one.
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        const auto current = run++;
        if (current->second.neverConfirmed) {
            current->second.phase = RunPhase::Stopping;
            current->second.retryStopAt = now;
        } else {
            finish(current, RunEnd::Lost, "", actions);
        }
    }
    m_phase = Phase::Fencing;
    roomHasChanged();
}

void UpstreamCore::handle(const LookAnswered &answer, Instant now, UpstreamActions &actions)
{
    const bool isNewest = answer.look >= std::max(m_waitingLook, m_renewingLook) || answer.result == OrderResult::Accepted;
    if (answer.look == m_waitingLook) {
        m_waitingLook = 0;
    }
    if (answer.look == m_renewingLook) {
        m_renewingLook = 0;
    }
    m_nextLookAt = now;
    switch (answer.result) {
    case OrderResult::Accepted:
        break;
    case OrderResult::FenceTooLow:
        m_tokenStep = std::max(m_tokenStep * 2, firstTokenStep);
        m_token += m_tokenStep;
        m_phase = Phase::Fencing;
        roomHasChanged();
        elapse(now, actions);
        return;
    case OrderResult::Refused:
        loseUpstream("refuses connections", actions);
        m_nextLookAt = now + lookRetry;
        elapse(now, actions);
        return;
    case OrderResult::OtherLife:
        // Without an expected life the next look tells which one it is.
        m_hasReport = false;
        m_report.id.clear();
        elapse(now, actions);
        return;
    default:
        if (isNewest && ++m_failedLooks == tolerableFailedLooks + 1) {
            note(actions, "upstream-silent", m_report.id, std::to_string(m_failedLooks) + " looks had no answer", true);
            roomHasChanged();
        }
        m_nextLookAt = m_failedLooks > tolerableFailedLooks ? now + lookRetry : now;
        elapse(now, actions);
        return;
    }
    if (std::exchange(m_failedLooks, 0U) > tolerableFailedLooks) {
        note(actions, "upstream-answers", m_report.id, "");
        roomHasChanged();
    }
    m_lookedAt = now;
    if (answer.clock) {
        m_clock = answer.clock;
        m_clockAt = now;
    }
    if (answer.born && *answer.born != m_born) {
        const bool isFirst = m_born == 0 && m_runs.empty();
        if (isFirst) {
            m_born = *answer.born;
            if (m_hasReport && m_report.born != 0 && m_report.born != m_born) {
                m_hasReport = false;
            }
        } else {
            meetLife(*answer.born, now, actions);
        }
    }
    m_otherLife.reset();
    useRecalled(now, actions);
    takeEnds(answer, now, actions);
    takeRunning(answer, now, actions);
    if (m_phase == Phase::Fencing) {
        // The upstream takes this token, so no life of the agent has used a higher one.
        ++m_token;
        m_tokenStep = 0;
        m_phase = Phase::Clearing;
    } else if (m_phase == Phase::Unknown) {
        m_phase = Phase::Fencing;
    } else if (m_phase == Phase::Clearing && answer.running.empty()) {
        m_phase = Phase::Serving;
        note(actions, "upstream-serving", m_report.id, "token " + std::to_string(m_token));
        roomHasChanged();
    }
    elapse(now, actions);
}

bool UpstreamCore::wasOverLately(const DirectTaskId &task, std::uint32_t run, Instant now) const
{
    return std::any_of(
        m_lately.begin(), m_lately.end(), [&](const OverRun &over) { return over.task == task && over.run == run && now - over.at < staleListTime; });
}

void UpstreamCore::takeEnds(const LookAnswered &answer, Instant now, UpstreamActions &actions)
{
    while (!m_lately.empty() && now - m_lately.front().at >= staleListTime) {
        m_lately.pop_front();
    }
    for (const ListedEnd &end : answer.ended) {
        if (end.number <= m_lastSeenEnd) {
            continue;
        }
        m_lastSeenEnd = end.number;
        m_lately.push_back(OverRun{ end.task, end.run, now });
        const auto run = m_runs.find(end.task);
        if (run != m_runs.end() && run->second.run == end.run) {
            finish(run, end.end, end.checkpoint, actions);
        }
    }
}

void UpstreamCore::takeRunning(const LookAnswered &answer, Instant now, UpstreamActions &actions)
{
    std::map<DirectTaskId, std::uint32_t> listed;
    m_strays = 0;
    for (const ListedRun &row : answer.running) {
        listed[row.task] = row.run;
        const auto run = m_runs.find(row.task);
        if (run == m_runs.end() || run->second.run != row.run) {
            if (wasOverLately(row.task, row.run, now)) {
                continue;
            }
            ++m_strays;
            note(actions, "stray-run", row.task.job, "run " + std::to_string(row.run) + " is not known here and is stopped", true);
            actions.emplace_back(OrderStop{ header(), row.task, row.run });
            lookSoon(now, stopTime);
            continue;
        }
        if (run->second.phase == RunPhase::Starting || run->second.phase == RunPhase::Doubtful) {
            run->second.neverConfirmed = false;
            run->second.phase = RunPhase::Running;
            run->second.phaseLook = m_lastLook;
            if (run->second.stopRequested) {
                requestStop(row.task, run->second, now, actions);
            }
        }
        if (run->second.phase == RunPhase::Running) {
            if (const auto forecast = run->second.progress.observe(row.percent, now)) {
                actions.emplace_back(SendOnLink{ run->second.link, RunForecast{ row.task, row.run, forecast->remaining, forecast->isStalled } });
            }
        }
    }
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        const auto current = run++;
        const auto row = listed.find(current->first);
        const bool isListed = row != listed.end() && row->second == current->second.run;
        if (isListed || answer.look <= current->second.phaseLook) {
            continue;
        }
        if (current->second.phase == RunPhase::Doubtful) {
            requestStop(current->first, current->second, now, actions);
        } else if (current->second.phase == RunPhase::Confirmed) {
            if (current->second.neverConfirmed) {
                finishUnstarted(current, StartRefusal::Unanswered, actions);
            } else {
                finish(current, RunEnd::Stopped, "", actions);
            }
        } else if (current->second.phase == RunPhase::Running) {
            finish(current, RunEnd::Lost, "", actions);
        }
    }
    if (m_strays > 0) {
        roomHasChanged();
    }
}

void UpstreamCore::handle(const StartAnswered &answer, Instant now, UpstreamActions &actions)
{
    const auto found = m_runs.find(answer.task);
    if (found == m_runs.end() || found->second.run != answer.run) {
        return;
    }
    Run &run = found->second;
    switch (answer.result) {
    case OrderResult::Accepted:
        run.neverConfirmed = false;
        if (run.phase == RunPhase::Starting || run.phase == RunPhase::Doubtful) {
            run.phase = RunPhase::Running;
            run.phaseLook = m_lastLook;
            if (run.stopRequested) {
                requestStop(answer.task, run, now, actions);
            }
        }
        break;
    case OrderResult::NoAnswer:
        if (run.phase == RunPhase::Starting) {
            note(actions, "start-unanswered", answer.task.job, "run " + std::to_string(answer.run), true);
            run.phase = RunPhase::Doubtful;
            run.phaseLook = m_lastLook;
            run.changed = now;
            lookSoon(now, 0ms);
        }
        break;
    case OrderResult::RunTooLow:
        finishUnstarted(found, run.stopRequested ? StartRefusal::Unanswered : StartRefusal::RunTooLow, actions);
        break;
    case OrderResult::NoRoom:
        note(actions, "account-differs", answer.task.job, "the upstream has no room for what fits the account", true);
        finishUnstarted(found, StartRefusal::NoRoom, actions);
        break;
    case OrderResult::Unhealthy:
        finishUnstarted(found, StartRefusal::Unhealthy, actions);
        break;
    case OrderResult::Invalid:
        finish(found, RunEnd::Failed, "", actions);
        break;
    case OrderResult::FenceTooLow:
    case OrderResult::OtherLife:
        finishUnstarted(found, StartRefusal::Closed, actions);
        beginFencing(now, actions);
        break;
    case OrderResult::TooLate:
        finishUnstarted(found, StartRefusal::Closed, actions);
        break;
    case OrderResult::Refused:
        finishUnstarted(found, StartRefusal::Closed, actions);
        loseUpstream("refuses connections", actions);
        m_nextLookAt = now + lookRetry;
        break;
    }
    elapse(now, actions);
}

void UpstreamCore::handle(const StopAnswered &answer, Instant now, UpstreamActions &actions)
{
    const auto found = m_runs.find(answer.task);
    if (found == m_runs.end() || found->second.run != answer.run || found->second.phase != RunPhase::Stopping) {
        return;
    }
    Run &run = found->second;
    if (answer.result == OrderResult::Refused) {
        loseUpstream("refuses connections", actions);
        m_nextLookAt = now + lookRetry;
    } else if (answer.result == OrderResult::Accepted || answer.result == OrderResult::RunTooLow) {
        run.phase = RunPhase::Confirmed;
        run.phaseLook = m_lastLook;
        run.changed = now;
        // A run that never began is over at once; one that is being stopped is listed until it is.
        lookSoon(now, 0ms);
    } else {
        if (answer.result == OrderResult::FenceTooLow) {
            beginFencing(now, actions);
        }
        run.retryStopAt = now + stopRetry;
    }
    elapse(now, actions);
}

void UpstreamCore::openLink(LinkId link, Instant now, UpstreamActions &actions)
{
    Link &opened = m_links[link];
    opened = Link{};
    opened.contactUntil = now + greetingTime;
    elapse(now, actions);
}

void UpstreamCore::closeLink(LinkId link, Instant now, UpstreamActions &actions)
{
    if (m_links.erase(link) == 0) {
        return;
    }
    for (auto &[task, run] : m_runs) {
        if (run.link == link) {
            requestStop(task, run, now, actions);
        }
    }
    elapse(now, actions);
}

void UpstreamCore::dropLink(LinkId link, const std::string &reason, Instant now, UpstreamActions &actions)
{
    const auto found = m_links.find(link);
    if (found == m_links.end()) {
        return;
    }
    note(actions, "link-dropped", found->second.entry, reason, true);
    actions.emplace_back(CloseLink{ link });
    closeLink(link, now, actions);
}

void UpstreamCore::stalled(Instant now, UpstreamActions &actions)
{
    note(actions, "stalled", m_options.node, "all links are dropped", true);
    while (!m_links.empty()) {
        dropLink(m_links.begin()->first, "this process stood still", now, actions);
    }
}

void UpstreamCore::beginStop(Instant now, UpstreamActions &actions)
{
    if (!std::exchange(m_isStopping, true)) {
        note(actions, "stop-begun", m_options.node, std::to_string(m_runs.size()) + " runs left");
    }
    roomHasChanged();
    elapse(now, actions);
}

void UpstreamCore::receive(LinkId linkId, const LinkMessage &message, Instant now, UpstreamActions &actions)
{
    const auto found = m_links.find(linkId);
    if (found == m_links.end()) {
        return;
    }
    Link &link = found->second;
    if (const auto *hello = std::get_if<EntryHello>(&message)) {
        link.entry = hello->node;
        link.address = hello->address;
        link.contactUntil = now + greetingTime;
    } else if (const auto *echo = std::get_if<EntryEcho>(&message)) {
        link.contactUntil = std::max(link.contactUntil, Instant(Duration(echo->clock)) + m_options.linkSilence);
    } else if (const auto *start = std::get_if<StartTasks>(&message)) {
        for (const TaskStart &task : start->tasks) {
            startRun(linkId, link, *start, task, now, actions);
        }
    } else if (const auto *stop = std::get_if<StopTask>(&message)) {
        const auto run = m_runs.find(stop->task);
        if (run != m_runs.end() && run->second.run == stop->run && run->second.link == linkId) {
            requestStop(stop->task, run->second, now, actions);
        }
    } else if (const auto *offered = std::get_if<OfferDocument>(&message)) {
        link.documentVersion = std::max(link.documentVersion, offered->version);
        if (offered->version > m_document.version) {
            m_document = *offered;
        }
        spreadDocument(actions);
    }
    elapse(now, actions);
}

void UpstreamCore::spreadDocument(UpstreamActions &actions)
{
    for (auto &[id, link] : m_links) {
        if (link.greeted && link.documentVersion < m_document.version) {
            link.documentVersion = m_document.version;
            actions.emplace_back(SendOnLink{ id, m_document });
        }
    }
}

std::optional<StartRefusal> UpstreamCore::refusalOf(const DirectTaskId &task, const Resources &need, const Link &link, Instant now) const
{
    if (!isOpen() || !link.greeted || now > link.contactUntil || !leaseEndAt(now)) {
        return StartRefusal::Closed;
    }
    if (m_runs.count(task) != 0 || !need.fitsInto(freeRoom())) {
        return StartRefusal::NoRoom;
    }
    return std::nullopt;
}

void UpstreamCore::startRun(LinkId linkId, Link &link, const StartTasks &order, const TaskStart &task, Instant now, UpstreamActions &actions)
{
    ++link.startsHandled;
    link.roomChanged = true;
    const DirectTaskId id{ order.job, task.step, task.index };
    if (const auto reason = refusalOf(id, task.need, link, now)) {
        refuse(linkId, id, task.run, *reason, actions);
        return;
    }
    Run &run = m_runs[id];
    run = Run{ .link = linkId, .entry = link.entry, .run = task.run, .phase = RunPhase::Starting, .need = task.need, .changed = now };
    run.phaseLook = m_lastLook;
    run.progress = RunProgress(now);
    m_used = m_used + task.need;
    roomHasChanged();
    const auto leaseTime = std::chrono::duration_cast<Duration>(m_options.lease * slowestClock);
    m_leaseUntil = std::max(m_leaseUntil, now + leaseTime + leaseMargin);
    actions.emplace_back(OrderStart{ header(), id, task.run, order.spec, task.checkpoint, *leaseEndAt(now) });
}

void UpstreamCore::refuse(LinkId link, const DirectTaskId &task, std::uint32_t run, StartRefusal reason, UpstreamActions &actions)
{
    actions.emplace_back(SendOnLink{ link, StartRefused{ task, run, reason } });
}

void UpstreamCore::requestStop(const DirectTaskId &task, Run &run, Instant now, UpstreamActions &actions)
{
    run.stopRequested = true;
    if (run.phase == RunPhase::Stopping || run.phase == RunPhase::Confirmed) {
        return;
    }
    run.phase = RunPhase::Stopping;
    run.changed = now;
    run.retryStopAt = now + (m_options.orderTimeout * 2);
    actions.emplace_back(OrderStop{ header(), task, run.run });
}

void UpstreamCore::finish(std::map<DirectTaskId, Run>::iterator run, RunEnd end, const std::string &checkpoint, UpstreamActions &actions)
{
    if (m_links.count(run->second.link) != 0) {
        actions.emplace_back(SendOnLink{ run->second.link, TaskEnded{ run->first, run->second.run, end, checkpoint } });
    }
    m_used = m_used - run->second.need;
    m_runs.erase(run);
    roomHasChanged();
}

void UpstreamCore::finishUnstarted(std::map<DirectTaskId, Run>::iterator run, StartRefusal reason, UpstreamActions &actions)
{
    if (m_links.count(run->second.link) != 0) {
        refuse(run->second.link, run->first, run->second.run, reason, actions);
    }
    m_used = m_used - run->second.need;
    m_runs.erase(run);
    roomHasChanged();
}

void UpstreamCore::loseAllRuns(UpstreamActions &actions)
{
    while (!m_runs.empty()) {
        finish(m_runs.begin(), RunEnd::Lost, "", actions);
    }
}

void UpstreamCore::loseUpstream(const std::string &reason, UpstreamActions &actions)
{
    if (m_hasReport || !m_runs.empty()) {
        note(actions, "upstream-lost", m_report.id, reason + ", " + std::to_string(m_runs.size()) + " runs lost", true);
    }
    loseAllRuns(actions);
    m_hasReport = false;
    m_phase = Phase::Unknown;
    m_strays = 0;
    roomHasChanged();
}

bool UpstreamCore::isOpen() const
{
    return m_phase == Phase::Serving && m_hasReport && !m_report.isDraining && !m_isStopping && m_failedLooks <= tolerableFailedLooks;
}

Resources UpstreamCore::freeRoom() const
{
    // The size of a stray run is not known, so nothing fits beside it.
    if (!isOpen() || m_strays > 0) {
        return {};
    }
    return m_report.capacity - m_used;
}

std::size_t UpstreamCore::entries() const
{
    return static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(), [](const auto &item) { return item.second.greeted; }));
}

bool UpstreamCore::looksWait() const
{
    return m_phase == Phase::Serving && m_failedLooks == 0;
}

std::optional<std::int64_t> UpstreamCore::leaseEndAt(Instant now) const
{
    if (!m_clock) {
        return std::nullopt;
    }
    return *m_clock + milliseconds(now - m_clockAt) + milliseconds(m_options.lease);
}

OrderHeader UpstreamCore::header() const
{
    return OrderHeader{ m_hasReport ? m_report.id : std::string(), m_token };
}

AgentOffer UpstreamCore::offer() const
{
    if (!m_hasReport) {
        return AgentOffer{};
    }
    return AgentOffer{ isOpen(), m_report.service, m_report.capacity, m_report.labels };
}

void UpstreamCore::look(Instant now, Duration wait, UpstreamActions &actions)
{
    std::uint64_t &slot = wait > 0ms ? m_waitingLook : m_renewingLook;
    if (slot != 0) {
        return;
    }
    slot = ++m_lastLook;
    OrderLook order{ header(), slot, m_lastSeenEnd, std::nullopt, wait };
    if (!m_runs.empty() && m_phase == Phase::Serving) {
        order.leaseEnd = leaseEndAt(now);
        const auto leaseTime = std::chrono::duration_cast<Duration>(m_options.lease * slowestClock);
        m_leaseUntil = std::max(m_leaseUntil, now + leaseTime + leaseMargin);
    }
    actions.emplace_back(std::move(order));
}

void UpstreamCore::lookSoon(Instant now, Duration delay)
{
    const Instant due = now + delay;
    if (!m_extraLookAt || due < *m_extraLookAt) {
        m_extraLookAt = due;
    }
}

void UpstreamCore::keepLease(Instant now, UpstreamActions &actions)
{
    const bool isDue = m_extraLookAt && now >= *m_extraLookAt;
    const bool isLow = !m_runs.empty() && m_phase == Phase::Serving && m_leaseUntil - now < m_options.lease / 2;
    const bool isBlind = !m_runs.empty() && m_phase == Phase::Serving && now - m_lookedAt >= m_options.progressInterval;
    if ((isDue || isLow || isBlind) && m_renewingLook == 0 && now >= m_nextLookAt) {
        m_extraLookAt.reset();
        look(now, 0ms, actions);
    }
}

void UpstreamCore::recheckRuns(Instant now, UpstreamActions &actions)
{
    if (!m_runs.empty() && now > m_leaseUntil) {
        note(actions, "lease-lapsed", m_report.id, std::to_string(m_runs.size()) + " runs lost", true);
        loseAllRuns(actions);
    }
    for (auto &[task, run] : m_runs) {
        if (run.phase == RunPhase::Stopping && now >= run.retryStopAt) {
            run.retryStopAt = now + (m_options.orderTimeout * 2);
            actions.emplace_back(OrderStop{ header(), task, run.run });
        }
    }
}

bool UpstreamCore::mayGreet(const Link &link, LinkId linkId, Instant now) const
{
    if (link.greeted || link.entry.empty()) {
        return false;
    }
    const bool isCleared = m_phase == Phase::Serving || (m_startedAt && now > *m_startedAt + longestForeignLease);
    const bool hasOrphans
        = std::any_of(m_runs.begin(), m_runs.end(), [&](const auto &item) { return item.second.entry == link.entry && item.second.link != linkId; });
    return isCleared && !hasOrphans;
}

void UpstreamCore::greet(Instant now, UpstreamActions &actions)
{
    for (auto &[id, link] : m_links) {
        if (!mayGreet(link, id, now)) {
            continue;
        }
        link.greeted = true;
        link.contactUntil = now + m_options.linkSilence;
        link.lastBeat = now;
        link.roomChanged = true;
        actions.emplace_back(SendOnLink{ id, AgentHello{ m_options.node, m_options.zone, m_options.incarnation } });
        actions.emplace_back(SendOnLink{ id, offer() });
        actions.emplace_back(SendOnLink{ id, AgentBeat{ now.time_since_epoch().count() } });
        note(actions, "link-greeted", link.entry, link.address);
    }
    spreadDocument(actions);
}

void UpstreamCore::sayOffer(UpstreamActions &actions)
{
    const AgentOffer current = offer();
    if (current == m_saidOffer) {
        return;
    }
    m_saidOffer = current;
    for (auto &[id, link] : m_links) {
        if (link.greeted) {
            actions.emplace_back(SendOnLink{ id, current });
            link.roomChanged = true;
        }
    }
}

void UpstreamCore::roomHasChanged()
{
    for (auto &[id, link] : m_links) {
        link.roomChanged = true;
    }
}

void UpstreamCore::sayRoom(Instant now, UpstreamActions &actions)
{
    for (auto &[id, link] : m_links) {
        if (link.greeted && link.roomChanged && now >= link.roomSaidAt + m_options.roomInterval) {
            link.roomChanged = false;
            link.roomSaidAt = now;
            actions.emplace_back(SendOnLink{ id, AgentRoom{ freeRoom(), link.startsHandled } });
        }
    }
}

void UpstreamCore::elapse(Instant now, UpstreamActions &actions)
{
    if (!m_startedAt) {
        m_startedAt = now;
        m_nextLookAt = now;
    }
    if (m_hasReport && now - m_reportedAt > m_options.offerLifetime) {
        note(actions, "upstream-quiet", m_report.id, "no report for too long", true);
        m_hasReport = false;
        roomHasChanged();
    }
    for (auto link = m_links.begin(); link != m_links.end();) {
        const auto current = link++;
        if (now > current->second.contactUntil) {
            dropLink(current->first, "no echo", now, actions);
            return; // dropLink() has done the rest
        }
    }
    recheckRuns(now, actions);
    if (now >= m_nextLookAt) {
        look(now, looksWait() ? m_options.lookWait : Duration(0), actions);
    }
    keepLease(now, actions);
    greet(now, actions);
    sayOffer(actions);
    sayRoom(now, actions);
    for (auto &[id, link] : m_links) {
        if (link.greeted && now >= link.lastBeat + m_options.beatInterval) {
            link.lastBeat = now;
            actions.emplace_back(SendOnLink{ id, AgentBeat{ now.time_since_epoch().count() } });
        }
    }
}

std::optional<Instant> UpstreamCore::nextWake() const
{
    std::optional<Instant> earliest;
    const auto consider = [&earliest](Instant moment) {
        if (!earliest || moment < *earliest) {
            earliest = moment;
        }
    };
    if ((looksWait() ? m_waitingLook : m_renewingLook) == 0) {
        consider(m_nextLookAt);
    }
    if (m_extraLookAt && m_renewingLook == 0) {
        consider(std::max(*m_extraLookAt, m_nextLookAt));
    }
    if (!m_runs.empty()) {
        consider(m_leaseUntil + Duration(1));
        if (m_phase == Phase::Serving && m_renewingLook == 0) {
            consider(std::max(m_leaseUntil - (m_options.lease / 2) + Duration(1), m_nextLookAt));
            consider(std::max(m_lookedAt + m_options.progressInterval, m_nextLookAt));
        }
    }
    for (const auto &[task, run] : m_runs) {
        if (run.phase == RunPhase::Stopping) {
            consider(run.retryStopAt);
        }
    }
    for (const auto &[id, link] : m_links) {
        consider(link.contactUntil + Duration(1));
        if (link.greeted) {
            consider(link.lastBeat + m_options.beatInterval);
            if (link.roomChanged) {
                consider(link.roomSaidAt + m_options.roomInterval);
            }
        }
    }
    if (m_hasReport) {
        consider(m_reportedAt + m_options.offerLifetime + Duration(1));
    }
    return earliest;
}

void UpstreamCore::note(UpstreamActions &actions, std::string event, std::string subject, std::string detail, bool isWarning) const
{
    actions.emplace_back(DecisionNote{ std::move(event), std::move(subject), std::move(detail), isWarning });
}

} // namespace lagoonroute
