#pragma once

#include <lagoonroute/configuration/submitcore.h>

#include <optional>

namespace lagoonroute
{

/** What a submission knows and sends next: the data and the decisions of SubmitMachine. */
class SubmitStep
{
public:
    explicit SubmitStep(SubmitRequest request);

    /** Takes what the store holds under the configuration's key. Returns false when it is no configuration. */
    bool learnCurrent(const StoreReply &reply);

    /** Whether the store holds the reviewed revision, which may be none. */
    [[nodiscard]] bool isReviewedCurrent() const;

    /** Whether the revision after the reviewed one is this submission. */
    [[nodiscard]] bool isAccepted() const;

    /** Whether it can't be told any more whose the revision after the reviewed one is. */
    [[nodiscard]] bool isForgotten() const;

    /** Whether the store holds a value, which must be kept in the history before it is replaced. */
    [[nodiscard]] bool hasPredecessor() const
    {
        return m_current.has_value();
    }

    /** Whether the answer shows the replaced value, or a later one, in its place of the history. */
    [[nodiscard]] bool isKept(const StoreReply &reply) const;

    /** Takes the reviewed revision from its place of the history, when it is still there. */
    void learnReviewed(const StoreReply &reply);

    void readCurrent();
    void readReviewed();
    void keepPredecessor(StoreVersion expected);
    void swap();
    void finish(SubmitOutcome outcome);

    StoreOperation operation; /**< The call to send. */
    std::optional<SubmitResult> result;
    std::uint32_t failedCalls = 0;
    bool swapMayTakeEffect = false; /**< A swap was sent whose answer did not come. */

private:
    SubmitRequest m_request;
    std::optional<StoredConfiguration> m_current;
    std::optional<StoredConfiguration> m_reviewed;
    StoreVersion m_version = 0;
};

} // namespace lagoonroute
