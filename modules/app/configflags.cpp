#include "configcommand.h"

#include <gflags/gflags.h>

DEFINE_string(against, "", "Configuration file that `config diff` compares with, instead of the store.");
DEFINE_string(author, "", "Who submits the configuration.");
DEFINE_string(reason, "", "Why the configuration changes.");
DEFINE_string(mark, "", "Mark of an earlier `config submit` whose outcome is unknown; without it a new mark is generated.");
DEFINE_int64(reviewed, -1, "Revision that the author reviewed; 0 when there is none yet.");
DEFINE_uint64(to, 0, "Revision whose content `config rollback` submits again.");
DEFINE_uint32(limit, 20, "Number of changes that `config history` shows, the newest first.");
DEFINE_bool(json, false, "Prints `config history` as JSON lines.");
DEFINE_string(nodes, "", "HTTP addresses of the processes that `config status` queries: IP addresses and ports, separated by commas.");

namespace lagoonroute
{

ConfigOptions ConfigOptions::fromFlags(std::vector<std::string> arguments)
{
    ConfigOptions options;
    options.arguments = std::move(arguments);
    options.against = FLAGS_against;
    options.author = FLAGS_author;
    options.reason = FLAGS_reason;
    options.mark = FLAGS_mark;
    if (FLAGS_reviewed >= 0) {
        options.reviewed = static_cast<Revision>(FLAGS_reviewed);
    }
    options.target = FLAGS_to;
    options.limit = FLAGS_limit;
    options.asJson = FLAGS_json;
    options.nodes = FLAGS_nodes;
    return options;
}

std::string configUsage()
{
    return "lagoonroute config COMMAND [flags]\n\n"
           "  check FILE                                            list every fault in the file\n"
           "  diff FILE [--against=FILE]                            show what the file would change\n"
           "  submit FILE --reviewed=N --author=A --reason=R        put the file in force, in place of the reviewed revision\n"
           "  rollback --to=N --reviewed=N --author=A --reason=R    put the content of an earlier revision in force again\n"
           "  history [--limit=N] [--json]                          show who changed what, when and why\n"
           "  status --nodes=IP:PORT,...                            show the revision in force on each process\n\n"
           "Exit codes: 0 done, 1 faulty file, 2 usage, 3 conflict, 4 outcome unknown (repeat with the same --mark),\n"
           "5 store unreachable and nothing changed, 6 a process lags behind or is unreachable.\n";
}

} // namespace lagoonroute
