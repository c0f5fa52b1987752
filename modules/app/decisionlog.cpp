#include <lagoonroute/app/decisionlog.h>

#include <lagoonroute/observation/log.h>

namespace lagoonroute
{

void logDecision(const DecisionNote &note)
{
    logLine(note.isWarning ? LogLevel::Warning : LogLevel::Info, note.event, { { "subject", note.subject }, { "detail", note.detail } });
}

} // namespace lagoonroute
