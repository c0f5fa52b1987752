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
    Invalid = 1, /**< The configuration or an address is invalid, unreadable or not found. */
    Usage = 2, /**< An argument is missing or wrong. */
    Conflict = 3, /**< Another submission has replaced the reviewed revision. */
    Unknown = 4, /**< No answer after the swap was sent: repeat the command with the same mark. */
    StoreUnreachable = 5, /**< The store cannot be reached; nothing was changed. */
    Lagging = 6, /**< A process has an older revision than others or is unreachable. */
};

/** Arguments of the `config` commands. */
struct ConfigOptions
{
    std::vector<std::string> arguments; /**< The command and its file, for example "check" and "ndimbal.json". */
    std::string against; /**< File that `diff` compares with; when empty, the configuration in the store. */
    std::string author;
    std::string reason;
    std::string mark; /**< Mark that identifies the submission in retries; a new one is generated when empty. */
    std::optional<Revision> reviewed;
    Revision target = 0; /**< Revision whose content `rollback` submits again. */
    std::uint32_t limit = 20; /**< Maximum number of changes that `history` prints. */
    bool asJson = false; /**< Whether `history` prints JSON lines. */
    std::string nodes; /**< Addresses of the processes that `status` queries, separated by commas. */

    /** Returns the options set by flags. `arguments` are the positional arguments after "config". */
    static ConfigOptions fromFlags(std::vector<std::string> arguments);
};

/** Runs the command `check`, `diff`, `submit`, `history`, `rollback` or `status`. */
ConfigExit runConfigCommand(const ConfigOptions &options, const ConfigPorts &ports);

/** Returns the description of the commands and their flags. */
std::string configUsage();

} // namespace lagoonroute
