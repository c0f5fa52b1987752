#include <lagoonroute/configuration/configurationjson.h>

#include "configurationfields.h"
#include "documentreader.h"
#include "fieldprinter.h"

#include <boost/json/serialize.hpp>

#include <utility>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

constexpr std::size_t indentWidth = 4;

void printIndented(const json::value &value, std::size_t depth, std::string &text);

/** Prints the entries of an object or array, each on its own line. */
template <typename Entries, typename PrintEntry>
void printEntries(const Entries &entries, char open, char close, std::size_t depth, std::string &text, PrintEntry printEntry)
{
    text += open;
    bool isFirst = true;
    for (const auto &entry : entries) {
        text += isFirst ? "\n" : ",\n";
        text.append((depth + 1) * indentWidth, ' ');
        printEntry(entry);
        isFirst = false;
    }
    if (!isFirst) {
        text += '\n';
        text.append(depth * indentWidth, ' ');
    }
    text += close;
}

void printIndented(const json::value &value, std::size_t depth, std::string &text)
{
    if (value.is_object()) {
        printEntries(value.get_object(), '{', '}', depth, text, [&](const json::key_value_pair &entry) {
            text += json::serialize(entry.key()) + ": ";
            printIndented(entry.value(), depth + 1, text);
        });
    } else if (value.is_array()) {
        printEntries(value.get_array(), '[', ']', depth, text, [&](const json::value &entry) { printIndented(entry, depth + 1, text); });
    } else {
        text += json::serialize(value);
    }
}

ParsedConfiguration parseFailure(std::vector<CheckFault> faults)
{
    return { std::nullopt, std::move(faults) };
}

} // namespace

std::string printConfiguration(const Configuration &configuration)
{
    std::string text;
    printIndented(toJson(configuration), 0, text);
    return text + "\n";
}

std::string compactConfiguration(const Configuration &configuration)
{
    return json::serialize(toJson(configuration));
}

ParsedConfiguration parseConfiguration(std::string_view text)
{
    ReadDocument<Configuration> document = readDocument<Configuration>(text);
    if (!document.faults.empty()) {
        return parseFailure(std::move(document.faults));
    }
    return { std::move(document.value), {} };
}

Configuration readConfiguration(std::string_view text)
{
    ParsedConfiguration parsed = parseConfiguration(text);
    if (!parsed.configuration) {
        throw InvalidConfiguration(std::move(parsed.faults));
    }
    return *std::move(parsed.configuration);
}

} // namespace lagoonroute
