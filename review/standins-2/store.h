#pragma once

#include "http.h"

#include <boost/json/object.hpp>

#include <condition_variable>

namespace review
{

/** The platform's key-value store: reads, watches and transactions. It answers at once and loses nothing. */
class Store
{
public:
    explicit Store(std::uint16_t port);
    ~Store();

    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    /** Writes a key as the operator. */
    void put(const std::string &key, const std::string &value);

private:
    struct Item
    {
        std::string encoded;
        std::uint64_t revision = 0;
    };

    Response serve(const Request &request);
    Response read(const std::string &key);
    Response range(const std::string &prefix);
    Response watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait);
    Response transact(const std::string &body);
    [[nodiscard]] boost::json::object itemOf(const std::string &key) const;
    [[nodiscard]] boost::json::array eventsAfter(const std::string &prefix, std::uint64_t after) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    std::uint64_t m_revision = 1;
    std::map<std::string, Item> m_items;
    std::unique_ptr<HttpService> m_service;
};

} // namespace review
