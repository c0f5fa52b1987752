#include "configsubmit.h"

#include "configstore.h"

#include <lagoonroute/configuration/configurationdiff.h>

#include <random>

namespace lagoonroute
{

namespace
{

std::string generateMark(const ConfigOptions &options, const ConfigPorts &ports)
{
    std::random_device device;
    const std::uint64_t random = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return Digest::of(options.author + "/" + std::to_string(ports.wallTime().time_since_epoch().count()) + "/" + std::to_string(random)).toString();
}

void printRecord(const AuditRecord &record, const ConfigPorts &ports)
{
    ports.out << "revision " << record.from << " -> " << record.to << "  " << toString(record.time) << "  " << record.author << ": " << record.reason << "\n";
    for (const std::string &change : record.changes) {
        ports.out << "    " << change << "\n";
    }
    if (record.omittedChanges > 0) {
        ports.out << "    and " << record.omittedChanges << " more\n";
    }
}

ConfigExit reportConflict(const SubmitResult &result, Revision reviewed, const ConfigPorts &ports)
{
    const Revision current = result.current ? result.current->revision() : 0;
    ports.err << "conflict: revision " << current << " is in force, not the reviewed " << reviewed << "; nothing was submitted\n";
    if (!result.current) {
        return ConfigExit::Conflict;
    }
    ports.out << "last change:\n";
    printRecord(result.current->audit, ports);
    if (result.reviewed) {
        ports.out << "since revision " << reviewed << ":\n" << toString(diff(result.reviewed->configuration, result.current->configuration));
    }
    return ConfigExit::Conflict;
}

ConfigExit report(const SubmitResult &result, const SubmitRequest &request, const ConfigPorts &ports)
{
    switch (result.outcome) {
    case SubmitOutcome::Accepted:
        ports.out << "accepted as revision " << result.revision << "\n";
        return ConfigExit::Done;
    case SubmitOutcome::Conflict:
        return reportConflict(result, request.reviewed, ports);
    case SubmitOutcome::NotSubmitted:
        ports.err << "the store cannot be reached; nothing was submitted\n";
        return ConfigExit::StoreUnreachable;
    case SubmitOutcome::TooLarge:
        ports.err << "the configuration exceeds the store's " << maxStoreValueBytes << " bytes; nothing was submitted\n";
        return ConfigExit::Invalid;
    case SubmitOutcome::Unreadable:
        ports.err << "the value in the store is not a valid configuration; nothing was submitted\n";
        return ConfigExit::Invalid;
    case SubmitOutcome::Unknown:
        break;
    }
    ports.err << "unknown whether it was accepted: repeat the command with --mark=" << request.mark << "\n";
    return ConfigExit::Unknown;
}

} // namespace

std::string missingSubmitFlag(const ConfigOptions &options)
{
    if (!options.reviewed) {
        return "reviewed";
    }
    if (options.author.empty()) {
        return "author";
    }
    if (options.reason.empty()) {
        return "reason";
    }
    return options.arguments[0] == "rollback" && options.target == 0 ? "to" : "";
}

ConfigExit submitConfiguration(const Configuration &configuration, const ConfigOptions &options, const ConfigPorts &ports)
{
    const SubmitRequest request{ .configuration = configuration,
                                 .reviewed = *options.reviewed,
                                 .author = options.author,
                                 .reason = options.reason,
                                 .time = ports.wallTime(),
                                 .mark = options.mark.empty() ? generateMark(options, ports) : options.mark };
    ports.out << "mark " << request.mark << std::endl; // Printed before the first store call, so that the operator can retry if this process is killed.
    return report(runSubmission(request, ports), request, ports);
}

ConfigExit rollBack(const ConfigOptions &options, const ConfigPorts &ports)
{
    const ConfigRead read = readConfiguration(historyKey(options.target), ports);
    if (!read.isStoreReached) {
        ports.err << "the store cannot be reached; nothing was submitted\n";
        return ConfigExit::StoreUnreachable;
    }
    if (!read.stored || read.stored->revision() != options.target) {
        ports.err << "revision " << options.target << " is not in the history\n";
        return ConfigExit::Invalid;
    }
    return submitConfiguration(read.stored->configuration, options, ports);
}

ConfigExit printHistory(const ConfigOptions &options, const ConfigPorts &ports)
{
    ConfigRead read = readConfiguration(std::string(configurationKey), ports);
    for (std::uint32_t count = 0; count < options.limit && read.isStoreReached && read.stored; ++count) {
        const AuditRecord record = read.stored->audit;
        if (options.asJson) {
            ports.out << record.toJsonLine() << "\n";
        } else {
            printRecord(record, ports);
        }
        if (record.from == 0) {
            return ConfigExit::Done;
        }
        read = readConfiguration(historyKey(record.from), ports);
        if (read.stored && read.stored->revision() != record.from) {
            return ConfigExit::Done;
        }
    }
    if (!read.isStoreReached) {
        ports.err << "the store cannot be reached\n";
        return ConfigExit::StoreUnreachable;
    }
    return ConfigExit::Done;
}

} // namespace lagoonroute
