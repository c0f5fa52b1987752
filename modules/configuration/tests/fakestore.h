#pragma once

#include <lagoonroute/store/storeport.h>

#include <map>
#include <string>

namespace lagoonroute
{

/** Which message of a call to FakeStore is lost. */
enum class Loss {
    None,
    Request, /**< The call has no effect. */
    Answer, /**< The call takes effect. */
};

/** In-memory model of the platform's store that can lose calls. A watch is answered immediately. */
class FakeStore
{
public:
    StoreReply call(const StoreCall &call, Loss loss = Loss::None)
    {
        ++calls;
        if (loss == Loss::Request) {
            return { call.number, StoreStatus::Unknown, {} };
        }
        const StoreReply reply = perform(call);
        return loss == Loss::Answer ? StoreReply{ call.number, StoreStatus::Unknown, {} } : reply;
    }

    std::map<std::string, StoreEntry> entries;
    std::uint64_t calls = 0;

private:
    StoreReply perform(const StoreCall &call)
    {
        if (const auto *swap = std::get_if<StoreSwap>(&call.operation)) {
            StoreEntry &entry = entries[swap->key];
            if (entry.version != swap->expectedVersion) {
                return { call.number, StoreStatus::Conflict, entry };
            }
            entry = { swap->value, ++m_lastVersion };
            return { call.number, StoreStatus::Ok, entry };
        }
        const auto *watch = std::get_if<StoreWatch>(&call.operation);
        const StoreEntry entry = entries[watch != nullptr ? watch->key : std::get<StoreRead>(call.operation).key];
        if (watch != nullptr && entry.version <= watch->knownVersion) {
            return { call.number, StoreStatus::Unchanged, entry };
        }
        return { call.number, entry.version == 0 ? StoreStatus::NotFound : StoreStatus::Ok, entry };
    }

    StoreVersion m_lastVersion = 0;
};

} // namespace lagoonroute
