#include "standins.h"

#include "http.h"

#include <boost/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>

namespace standins
{

namespace
{

namespace json = boost::json;

struct Item
{
    std::string value; // base64, as it came
    std::int64_t revision = 0;
    std::int64_t created = 0;
};

struct Event
{
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    bool isTombstone = false;
};

/** Percent-decodes a value of a query. */
std::string decoded(const std::string &text)
{
    std::string out;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            out += text[index];
        }
    }
    return out;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string part = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
        if (part.rfind(name + "=", 0) == 0) {
            return decoded(part.substr(name.size() + 1));
        }
        begin = end;
    }
    return {};
}

std::int64_t numberOf(const std::string &text)
{
    return text.empty() ? 0 : std::stoll(text);
}

/** The platform's store: keys with revisions, transactions under conditions, and watches. */
class Store
{
public:
    explicit Store(const std::string &configuration)
    {
        put("op/config", configuration);
    }

    Message handle(const Message &message)
    {
        const std::string path = message.target.substr(0, message.target.find('?'));
        if (path == "/api/kv-key") {
            return key(queryValue(message.target, "key"));
        }
        if (path == "/api/kv-range") {
            return range(queryValue(message.target, "prefix"), queryValue(message.target, "after"));
        }
        if (path == "/api/kv-watch") {
            return watch(queryValue(message.target, "prefix"), numberOf(queryValue(message.target, "after")), numberOf(queryValue(message.target, "wait-ms")));
        }
        if (path == "/api/kv-txn") {
            return transaction(json::parse(message.body).as_object());
        }
        return Message{ .status = 400, .body = "{}" };
    }

private:
    static Message respond(int status, const json::object &body)
    {
        return Message{ .status = status, .body = json::serialize(body) };
    }

    static json::object rowOf(const std::string &key, const Item &item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "create-revision", item.created }, { "lease", 0 } };
    }

    void put(const std::string &name, const std::string &value)
    {
        Item &item = m_items[name];
        item.value = value;
        item.revision = ++m_revision;
        item.created = item.created == 0 ? m_revision : item.created;
        m_events.push_back(Event{ name, value, m_revision, false });
    }

    Message key(const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_items.find(name);
        json::object body = found == m_items.end() ? json::object{} : rowOf(name, found->second);
        body["as-of"] = m_revision;
        return respond(found == m_items.end() ? 404 : 200, body);
    }

    Message range(const std::string &prefix, const std::string &after)
    {
        const std::lock_guard lock(m_mutex);
        json::array items;
        for (const auto &[name, item] : m_items) {
            if (name.rfind(prefix, 0) == 0 && name > after) {
                items.push_back(rowOf(name, item));
            }
        }
        return respond(200, { { "items", items }, { "truncated", false }, { "as-of", m_revision } });
    }

    Message watch(const std::string &prefix, std::int64_t after, std::int64_t waitMs)
    {
        std::unique_lock lock(m_mutex);
        json::array events;
        const auto collect = [&] {
            for (const Event &event : m_events) {
                if (event.revision > after && event.key.rfind(prefix, 0) == 0) {
                    json::object row{ { "key", event.key }, { "revision", event.revision } };
                    if (event.isTombstone) {
                        row["tombstone"] = true;
                    } else {
                        row["value"] = event.value;
                        row["create-revision"] = event.revision;
                        row["lease"] = 0;
                    }
                    events.push_back(row);
                }
            }
            return !events.empty();
        };
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
        return respond(200, { { "events", events }, { "as-of", m_revision } });
    }

    Message transaction(const json::object &call)
    {
        const std::lock_guard lock(m_mutex);
        bool holds = true;
        json::array current;
        for (const json::value &row : call.at("expected").as_array()) {
            const std::string name(row.at("key").as_string());
            const auto found = m_items.find(name);
            const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("revision").to_number<std::int64_t>();
            if (found != m_items.end()) {
                current.push_back(rowOf(name, found->second));
            }
        }
        if (!holds) {
            return respond(412, { { "items", current } });
        }
        for (const json::value &row : call.at("writes").as_array()) {
            put(std::string(row.at("key").as_string()), std::string(row.at("value").as_string()));
        }
        for (const json::value &name : call.at("deletes").as_array()) {
            m_items.erase(std::string(name.as_string()));
            m_events.push_back(Event{ std::string(name.as_string()), "", ++m_revision, true });
        }
        m_changed.notify_all();
        return respond(200, { { "revision", m_revision } });
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::int64_t m_revision = 100;
};

} // namespace

void runStore(int port, const std::string &configurationBase64)
{
    Store store(configurationBase64);
    serve(port, [&store](const Message &message) { return store.handle(message); });
}

} // namespace standins
