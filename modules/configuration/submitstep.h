#pragma once

#include <lagoonroute/configuration/submitcore.h>

#include <optional>

namespace lagoonroute
{

/** Data of a submission, its next call to the store, and the conditions on which SubmitMachine decides. */
class SubmitStep
{
public:
    explicit SubmitStep(SubmitRequest request);

    /** Updates the current configuration from an answer of the store. Returns false when the value is not a valid configuration. */
    bool updateCurrent(const StoreReply &reply);

    /** Whether the current revision is the reviewed one; both may be 0 for none. */
    [[nodiscard]] bool isReviewedCurrent() const;

    /** Whether this submission produced the revision after the reviewed one. */
    [[nodiscard]] bool isAccepted() const;

    /** Whether the current value no longer contains the mark of the revision after the reviewed one. */
    [[nodiscard]] bool isOutcomeUnknown() const;

    /** Whether the store contains a value, which must be stored in the history before it is replaced. */
    [[nodiscard]] bool hasPredecessor() const
    {
        return m_current.has_value();
    }

    /** Whether the answer contains the replaced value, or a later one, under its key in the history. */
    [[nodiscard]] bool isPredecessorStored(const StoreReply &reply) const;

    /** Updates the reviewed configuration from an answer about its key in the history, if that still contains this revision. */
    void updateReviewed(const StoreReply &reply);

    void readCurrent();
    void readReviewed();
    void storePredecessor(StoreVersion expected);
    void swap();
    void finish(SubmitOutcome outcome);

    StoreOperation operation; /**< The next call to send. */
    std::optional<SubmitResult> result;
    std::uint32_t failedCalls = 0;
    bool swapMayTakeEffect = false; /**< A swap was sent and not answered. */

private:
    SubmitRequest m_request;
    std::optional<StoredConfiguration> m_current;
    std::optional<StoredConfiguration> m_reviewed;
    StoreVersion m_version = 0;
};

} // namespace lagoonroute
