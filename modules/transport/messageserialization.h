#pragma once

#include <lagoonroute/dispatch/messages.h>

#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace lagoonroute
{

template <class Archive>
void serialize(Archive &archive, NodeId &value)
{
    archive(value.value);
}

template <class Archive>
void serialize(Archive &archive, Digest &value)
{
    archive(value.high, value.low);
}

template <class Archive>
void serialize(Archive &archive, JobId &value)
{
    archive(value.digest);
}

template <class Archive>
void serialize(Archive &archive, TaskId &value)
{
    archive(value.job, value.index);
}

template <class Archive>
void serialize(Archive &archive, Resources &value)
{
    archive(value.cpuMillis, value.memoryMegabytes, value.accelerators);
}

template <class Archive>
void serialize(Archive &archive, TaskSpec &value)
{
    archive(value.body, value.need, value.declaredRunTime);
}

template <class Archive>
void serialize(Archive &archive, JobRequest &value)
{
    archive(value.service, value.caller, value.bodyDigest, value.idempotent, value.timeRemaining, value.keyTime, value.tasks);
}

template <class Archive>
void serialize(Archive &archive, TaskResult &value)
{
    archive(value.status, value.body);
}

template <class Archive>
void serialize(Archive &archive, JobAnswer &value)
{
    archive(value.outcome, value.reason, value.detail, value.retryAfter, value.results, value.started);
}

template <class Archive>
void serialize(Archive &archive, ShardKey &value)
{
    archive(value.service, value.shard);
}

template <class Archive>
void serialize(Archive &archive, ShardView &value)
{
    archive(value.key, value.epoch, value.home, value.mirror, value.recordsKept, value.homeIncarnation, value.mirrorIncarnation);
}

template <class Archive>
void serialize(Archive &archive, RequestId &value)
{
    archive(value.entry, value.incarnation, value.sequence);
}

template <class Archive>
void serialize(Archive &archive, SubmitJob &value)
{
    archive(value.request, value.shard, value.epoch, value.job, value.content);
}

template <class Archive>
void serialize(Archive &archive, LookUpJob &value)
{
    archive(value.request, value.shard, value.epoch, value.job);
}

template <class Archive>
void serialize(Archive &archive, CancelJob &value)
{
    archive(value.request, value.shard, value.epoch, value.job);
}

template <class Archive>
void serialize(Archive &archive, AnswerRequest &value)
{
    archive(value.request, value.job, value.answer, value.epoch);
}

template <class Archive>
void serialize(Archive &archive, RedirectRequest &value)
{
    archive(value.request, value.shard, value.view);
}

template <class Archive>
void serialize(Archive &archive, Assignment &value)
{
    archive(value.task, value.worker, value.incarnation, value.attempt);
}

template <class Archive>
void serialize(Archive &archive, JobRecorded &value)
{
    archive(value.job, value.content);
}

template <class Archive>
void serialize(Archive &archive, AnswerRecorded &value)
{
    archive(value.job, value.answer);
}

template <class Archive>
void serialize(Archive &archive, JobExpired &value)
{
    archive(value.job);
}

template <class Archive>
void serialize(Archive &archive, RecordsLost &value)
{
    archive(value.age);
}

template <class Archive>
void serialize(Archive & /*archive*/, MirrorProbe & /*value*/)
{
}

template <class Archive>
void serialize(Archive &archive, UpdateMirror &value)
{
    archive(value.shard, value.epoch, value.sequence, value.records, value.complete);
}

template <class Archive>
void serialize(Archive &archive, MirrorUpdated &value)
{
    archive(value.shard, value.epoch, value.nextSequence, value.accepted);
}

template <class Archive>
void serialize(Archive &archive, StartTask &value)
{
    archive(value.shard, value.epoch, value.task, value.startWithin, value.timeout, value.path, value.body, value.need, value.incarnation, value.attempt);
}

template <class Archive>
void serialize(Archive &archive, TaskRefused &value)
{
    archive(value.shard, value.epoch, value.task, value.reason, value.attempt);
}

template <class Archive>
void serialize(Archive &archive, TaskFinished &value)
{
    archive(value.shard, value.epoch, value.task, value.failure, value.result, value.runTime);
}

template <class Archive>
void serialize(Archive &archive, AcknowledgeResults &value)
{
    archive(value.shard, value.tasks);
}

template <class Archive>
void serialize(Archive &archive, WithdrawTasks &value)
{
    archive(value.shard, value.epoch, value.stopStarted, value.tasks, value.incarnation);
}

template <class Archive>
void serialize(Archive &archive, TasksWithdrawn &value)
{
    archive(value.shard, value.epoch, value.withdrawn, value.started);
}

template <class Archive>
void serialize(Archive &archive, RecoverTasks &value)
{
    archive(value.shard, value.epoch, value.tasks, value.incarnation);
}

template <class Archive>
void serialize(Archive &archive, TasksRecovered &value)
{
    archive(value.shard, value.epoch, value.running, value.notStarted);
}

} // namespace lagoonroute
