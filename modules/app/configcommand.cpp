#include "configcommand.h"

#include "configstatus.h"
#include "configstore.h"
#include "configsubmit.h"

#include <lagoonroute/base/errors.h>
#include <lagoonroute/configuration/configuration.h>

#include <fstream>
#include <sstream>

namespace lagoonroute
{

namespace
{

ConfigExit usageError(const ConfigPorts &ports, const std::string &fault)
{
    ports.err << "lagoonroute config: " << fault << "\n\n" << configUsage();
    return ConfigExit::Usage;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw InvalidDocument(path + ": cannot be read");
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

/** Reads a configuration file. Prints every fault with file and document path, and returns nothing when there are any. */
std::optional<Configuration> readConfigurationFile(const std::string &path, const ConfigPorts &ports)
{
    ParsedConfiguration parsed = parseConfiguration(readFile(path));
    for (const CheckFault &fault : parsed.faults) {
        ports.err << path << ": " << fault.toString() << "\n";
    }
    return std::move(parsed.configuration);
}

ConfigExit runCheck(const ConfigOptions &options, const ConfigPorts &ports)
{
    const auto configuration = readConfigurationFile(options.arguments[1], ports);
    if (!configuration) {
        return ConfigExit::Invalid;
    }
    ports.out << options.arguments[1] << ": no faults; " << configuration->services().size() << " services, " << configuration->places().zones().size()
              << " availability zones, digest " << Digest::of(compactConfiguration(*configuration)).toString() << "\n";
    return ConfigExit::Done;
}

void printChanges(const Configuration &from, const Configuration &to, const ConfigPorts &ports)
{
    const std::string changes = toString(diff(from, to));
    ports.out << (changes.empty() ? "no differences\n" : changes);
}

ConfigExit runDiff(const ConfigOptions &options, const ConfigPorts &ports)
{
    const auto configuration = readConfigurationFile(options.arguments[1], ports);
    if (!configuration) {
        return ConfigExit::Invalid;
    }
    if (!options.against.empty()) {
        const auto other = readConfigurationFile(options.against, ports);
        if (!other) {
            return ConfigExit::Invalid;
        }
        printChanges(*other, *configuration, ports);
        return ConfigExit::Done;
    }
    const ConfigRead read = readConfiguration(std::string(configurationKey), ports);
    if (!read.isStoreReached) {
        ports.err << "the store cannot be reached\n";
        return ConfigExit::StoreUnreachable;
    }
    ports.out << "against revision " << (read.stored ? read.stored->revision() : 0) << "\n";
    printChanges(read.stored ? read.stored->configuration : Configuration(), *configuration, ports);
    return ConfigExit::Done;
}

ConfigExit runSubmit(const ConfigOptions &options, const ConfigPorts &ports)
{
    const auto configuration = readConfigurationFile(options.arguments[1], ports);
    return configuration ? submitConfiguration(*configuration, options, ports) : ConfigExit::Invalid;
}

bool needsFile(const std::string &command)
{
    return command == "check" || command == "diff" || command == "submit";
}

ConfigExit dispatch(const ConfigOptions &options, const ConfigPorts &ports)
{
    const std::string command = options.arguments.empty() ? std::string() : options.arguments[0];
    if (options.arguments.size() != (needsFile(command) ? 2U : 1U)) {
        return usageError(ports, needsFile(command) ? command + " needs exactly one file" : "expected one command without further arguments");
    }
    if (command == "submit" || command == "rollback") {
        const std::string missing = missingSubmitFlag(options);
        if (!missing.empty()) {
            return usageError(ports, command + " needs --" + missing);
        }
    }
    if (command == "check") {
        return runCheck(options, ports);
    }
    if (command == "diff") {
        return runDiff(options, ports);
    }
    if (command == "submit") {
        return runSubmit(options, ports);
    }
    if (command == "rollback") {
        return rollBack(options, ports);
    }
    if (command == "history") {
        return printHistory(options, ports);
    }
    if (command == "status") {
        return printStatus(options, ports);
    }
    return usageError(ports, "unknown command \"" + command + "\"");
}

} // namespace

ConfigExit runConfigCommand(const ConfigOptions &options, const ConfigPorts &ports)
{
    try {
        return dispatch(options, ports);
    } catch (const InvalidDocument &error) {
        ports.err << error.what() << "\n";
        return ConfigExit::Invalid;
    }
}

} // namespace lagoonroute
