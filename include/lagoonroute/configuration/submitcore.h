#pragma once

#include <lagoonroute/configuration/storedconfiguration.h>
#include <lagoonroute/store/storeport.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace lagoonroute
{

/** What an operator asks for. */
struct SubmitRequest
{
    Configuration configuration;
    Revision reviewed = 0; /**< Revision that the operator reviewed; 0 when there was none. */
    std::string author;
    std::string reason;
    WallTime time{};
    std::string mark; /**< Text that no other submission carries; asking again about a submission repeats it. */
};

/** How a submission ended. */
enum class SubmitOutcome : std::uint8_t {
    Accepted, /**< It is, or was, the configuration in force. */
    Conflict, /**< Another submission replaced the reviewed revision; this one had no effect. */
    NotSubmitted, /**< The store could not be reached before anything was sent that can take effect. */
    Unknown, /**< The store was lost after the swap was sent: ask again with the same mark. */
    TooLarge, /**< The value exceeds what the store holds; it had no effect. */
    Unreadable, /**< The store holds something that is no configuration; nothing was written. */
};

/** Outcome of a submission with what the operator should see. */
struct SubmitResult
{
    SubmitOutcome outcome = SubmitOutcome::Unknown;
    Revision revision = 0; /**< When accepted: the revision that it became. */
    std::optional<StoredConfiguration> current; /**< What the store held at its last answer. */
    std::optional<StoredConfiguration> reviewed; /**< On a conflict, the reviewed revision, where it is still kept. */
};

/**
 * Decides about one submission: reads, compares with the reviewed revision, keeps the replaced value in the history,
 * swaps, and finds out what became of a swap whose answer was lost.
 *
 * The swap's version ties it to the reviewed revision, so that it can take effect only once and only as the revision after
 * it; whose mark that revision carries tells what happened. Pure: the owner sends nextCall() and passes the answer to handle().
 */
class SubmitCore
{
public:
    /** Failed calls after which the core gives up. */
    static constexpr std::uint32_t maxFailedCalls = 5;

    /** Creates the core of one submission. */
    explicit SubmitCore(SubmitRequest request);
    ~SubmitCore();

    SubmitCore(const SubmitCore &) = delete;
    SubmitCore &operator=(const SubmitCore &) = delete;

    /** Returns the call to send now; nothing once there is a result. */
    [[nodiscard]] std::optional<StoreCall> nextCall() const;

    /** Takes the answer to the last call; answers to others are ignored. */
    void handle(const StoreReply &reply);

    /** Returns the result, once there is one. */
    [[nodiscard]] const std::optional<SubmitResult> &result() const;

    /** Number of failed calls so far, from which the owner derives how long to wait before the next. */
    [[nodiscard]] std::uint32_t failedCalls() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
