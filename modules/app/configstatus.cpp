#include "configstatus.h"

#include <lagoonroute/app/addresstext.h>

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <limits>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

constexpr int nameWidth = 32;
constexpr int addressWidth = 24;

/** Status of one process; one line of the printed report. */
struct NodeLine
{
    std::string address;
    std::optional<NodeRevision> revision;
};

std::vector<NodeAddress> parseAddresses(const std::string &list)
{
    std::vector<NodeAddress> addresses;
    for (std::size_t start = 0; start <= list.size();) {
        const std::size_t end = std::min(list.find(',', start), list.size());
        addresses.push_back(addressFromText(list.substr(start, end - start)));
        start = end + 1;
    }
    return addresses;
}

void printLine(const NodeLine &line, Revision newest, std::ostream &out)
{
    out << std::left << std::setw(addressWidth) << line.address;
    if (!line.revision) {
        out << "not reached\n";
        return;
    }
    out << std::setw(nameWidth) << line.revision->node << "revision " << line.revision->revision << (line.revision->ready ? "" : ", not ready");
    if (line.revision->revision < newest) {
        out << ", lags by " << newest - line.revision->revision;
    }
    out << "\n";
}

} // namespace

std::optional<NodeRevision> parseNodeRevision(const std::string &text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *node = object == nullptr ? nullptr : object->if_contains("node");
    const json::value *revision = object == nullptr ? nullptr : object->if_contains("revision");
    if (node == nullptr || !node->is_string() || revision == nullptr || !revision->is_number()) {
        return std::nullopt;
    }
    const auto number = revision->to_number<Revision>(error);
    if (error) {
        return std::nullopt;
    }
    const json::value *ready = object->if_contains("ready");
    return NodeRevision{ std::string(node->get_string()), ready != nullptr && ready->is_bool() && ready->get_bool(), number };
}

ConfigExit printStatus(const ConfigOptions &options, const ConfigPorts &ports)
{
    std::vector<NodeLine> lines;
    for (const NodeAddress &address : parseAddresses(options.nodes)) {
        lines.push_back({ address.ip + ":" + std::to_string(address.port), ports.revisionAt(address) });
    }
    Revision newest = 0;
    Revision lowest = std::numeric_limits<Revision>::max();
    std::size_t reached = 0;
    for (const NodeLine &line : lines) {
        if (line.revision) {
            ++reached;
            newest = std::max(newest, line.revision->revision);
            lowest = std::min(lowest, line.revision->revision);
        }
    }
    for (const NodeLine &line : lines) {
        printLine(line, newest, ports.out);
    }
    if (reached > 0) {
        ports.out << "lowest revision in force " << lowest << ", highest " << newest << ", " << lines.size() - reached << " not reached\n";
    }
    return reached == lines.size() && lowest == newest ? ConfigExit::Done : ConfigExit::Lagging;
}

} // namespace lagoonroute
