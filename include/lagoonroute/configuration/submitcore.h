#pragma once

#include <lagoonroute/configuration/storedconfiguration.h>
#include <lagoonroute/store/storeport.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace lagoonroute
{

/** An operator's request to replace the configuration. */
struct SubmitRequest
{
    Configuration configuration;
    Revision reviewed = 0; /**< Revision that the operator reviewed; 0 when there was none. */
    std::string author;
    std::string reason;
    WallTime time{};
    std::string mark; /**< Identifies the submission; unique among all submissions, and repeated when this one is retried. */
};

/** Outcome of a submission. */
enum class SubmitOutcome : std::uint8_t {
    Accepted, /**< The submitted configuration is, or was, in force. */
    Conflict, /**< Another submission replaced the reviewed revision; the submission had no effect. */
    NotSubmitted, /**< The store was unreachable before any call that can replace the configuration was sent. */
    Unknown, /**< The store became unreachable after the swap was sent, or the marks no longer show what became of it; retry with the same mark. */
    TooLarge, /**< The value exceeds the size limit of the store; the submission had no effect. */
    Unreadable, /**< The value in the store is not a valid configuration; nothing was written. */
};

/** Outcome of a submission with the configurations to show to the operator. */
struct SubmitResult
{
    SubmitOutcome outcome = SubmitOutcome::Unknown;
    Revision revision = 0; /**< When accepted, the revision that the submission produced; otherwise 0. */
    std::optional<StoredConfiguration> current; /**< Configuration in the store according to its last answer. */
    std::optional<StoredConfiguration> reviewed; /**< On a conflict, the reviewed revision if the history still contains it. */
};

/**
 * Carries out one submission: reads the current value, compares it with the reviewed revision, stores the replaced value in the
 * history, swaps, and determines the result of a swap whose answer was lost.
 *
 * The swap expects the store version of the reviewed revision, so it can take effect only once and only as the following
 * revision. The mark of that revision shows whether this submission or another one produced it. Performs no I/O: the owner sends
 * nextCall() and passes the answer to handle().
 */
class SubmitCore
{
public:
    /** Number of failed calls after which the submission ends. */
    static constexpr std::uint32_t maxFailedCalls = 5;

    /** Creates the core of one submission. */
    explicit SubmitCore(SubmitRequest request);
    ~SubmitCore();

    SubmitCore(const SubmitCore &) = delete;
    SubmitCore &operator=(const SubmitCore &) = delete;

    /** Returns the call to send now, or nothing once there is a result. */
    [[nodiscard]] std::optional<StoreCall> nextCall() const;

    /** Processes the answer to the last call; answers to other calls are ignored. */
    void handle(const StoreReply &reply);

    /** Returns the result, once there is one. */
    [[nodiscard]] const std::optional<SubmitResult> &result() const;

    /** Returns the number of failed calls so far, from which the owner derives the delay before the next call. */
    [[nodiscard]] std::uint32_t failedCalls() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
