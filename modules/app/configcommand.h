#pragma once

#include "configports.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Exit codes of the `config` commands. */
enum class ConfigExit : std::uint8_t {
    Done = 0,
    Faulty = 1, /**< The file has faults, or cannot be read. */
    Usage = 2, /**< An argument is missing or wrong. */
    Conflict = 3, /**< Another submission replaced the reviewed revision. */
    Unknown = 4, /**< The store was lost after the swap was sent: ask again with the same mark. */
    StoreLost = 5, /**< The store cannot be reached; nothing was changed. */
    Lagging = 6, /**< A process lags behind or cannot be reached. */
};

/** Arguments of the `config` commands. */
struct ConfigOptions
{
    std::vector<std::string> arguments; /**< The command and the file it works on, for example "check" and "ndimbal.json". */
    std::string against; /**< File to compare with; empty compares with the store. */
    std::string author;
    std::string reason;
    std::string mark; /**< Empty mints a new one. */
    std::optional<Revision> reviewed;
    Revision target = 0; /**< Revision whose content a rollback submits again. */
    std::uint32_t limit = 20; /**< Number of changes that the history shows. */
    bool asJson = false; /**< Whether the history is printed as JSON lines. */
    std::string nodes; /**< Addresses of the processes that status asks, separated by commas. */

    /** Returns the options that the command line's flags set. `arguments` begins behind the word "config". */
    static ConfigOptions fromFlags(std::vector<std::string> arguments);
};

/** Runs check, diff, submit, history, rollback or status. */
ConfigExit runConfigCommand(const ConfigOptions &options, const ConfigPorts &ports);

/** Returns the description of the commands and their flags. */
std::string configUsage();

} // namespace lagoonroute
