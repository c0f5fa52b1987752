#include "store.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace review
{

namespace
{

namespace json = boost::json;

std::string encodeBase64(const std::string &bytes)
{
    std::string text(boost::beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(boost::beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string parameter(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    const std::string text = query == std::string::npos ? std::string() : "&" + target.substr(query + 1);
    const std::size_t found = text.find("&" + name + "=");
    if (found == std::string::npos) {
        return {};
    }
    const std::size_t begin = found + name.size() + 2;
    return text.substr(begin, text.find('&', begin) - begin);
}

Response answer(unsigned status, const json::object &body)
{
    return { status, json::serialize(body), {} };
}

} // namespace

Store::Store(std::uint16_t port)
    : m_service(std::make_unique<HttpService>(port, [this](const Request &request) { return serve(request); }))
{
}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_service.reset();
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_items[key] = Item{ encodeBase64(value), ++m_revision };
    m_changed.notify_all();
}

json::object Store::itemOf(const std::string &key) const
{
    const Item &item = m_items.at(key);
    return { { "key", key }, { "value", item.encoded }, { "revision", item.revision }, { "lease", 0 }, { "as-of", m_revision } };
}

Response Store::serve(const Request &request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/api/kv-key") {
        return read(parameter(request.target, "key"));
    }
    if (path == "/api/kv-range") {
        return range(parameter(request.target, "prefix"));
    }
    if (path == "/api/kv-watch") {
        return watch(parameter(request.target, "prefix"),
                     std::stoull(parameter(request.target, "after")),
                     std::chrono::milliseconds(std::stoll(parameter(request.target, "wait-ms"))));
    }
    if (path == "/api/kv-txn") {
        return transact(request.body);
    }
    return answer(404, {});
}

Response Store::read(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    return m_items.count(key) != 0 ? answer(200, itemOf(key)) : answer(404, { { "as-of", m_revision } });
}

Response Store::range(const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    json::array items;
    for (const auto &[key, item] : m_items) {
        if (key.rfind(prefix, 0) == 0) {
            items.push_back(itemOf(key));
        }
    }
    return answer(200, { { "items", items }, { "truncated", false }, { "as-of", m_revision } });
}

json::array Store::eventsAfter(const std::string &prefix, std::uint64_t after) const
{
    json::array events;
    for (const auto &[key, item] : m_items) {
        if (key.rfind(prefix, 0) == 0 && item.revision > after) {
            events.push_back(itemOf(key));
        }
    }
    return events;
}

Response Store::watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return m_isStopping || !eventsAfter(prefix, after).empty(); });
    return answer(200, { { "events", eventsAfter(prefix, after) }, { "as-of", m_revision } });
}

Response Store::transact(const std::string &body)
{
    const json::value call = json::parse(body);
    const std::lock_guard lock(m_mutex);
    for (const json::value &row : call.at("expected").as_array()) {
        const auto item = m_items.find(std::string(row.at("key").as_string()));
        const std::uint64_t revision = item == m_items.end() ? 0 : item->second.revision;
        if (row.at("revision").to_number<std::uint64_t>() != revision) {
            return answer(412, { { "items", json::array() } });
        }
    }
    ++m_revision;
    for (const json::value &row : call.at("writes").as_array()) {
        m_items[std::string(row.at("key").as_string())] = Item{ std::string(row.at("value").as_string()), m_revision };
    }
    m_changed.notify_all();
    return answer(200, { { "revision", m_revision } });
}

} // namespace review
