#include "messagename.h"

#include <array>

namespace lagoonroute
{

std::string_view messageName(const DispatchMessage &message)
{
    static constexpr std::array<std::string_view, std::variant_size_v<DispatchMessage>> names{
        "submit-job",   "look-up-job",   "cancel-job",          "answer-request", "redirect-request", "update-mirror", "mirror-updated", "start-task",
        "task-refused", "task-finished", "acknowledge-results", "withdraw-tasks", "tasks-withdrawn",  "recover-tasks", "tasks-recovered"
    };
    return names[message.index()];
}

} // namespace lagoonroute
