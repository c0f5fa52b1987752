#pragma once

#include "cellfixture.h"

#include <lagoonroute/membership/viewcore.h>
#include <lagoonroute/membership/viewtable.h>
#include <lagoonroute/store/storeclientcore.h>
#include <lagoonroute/store/storemodel.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lagoonroute
{

/** A Cell whose processes also run a ViewCore on one simulated store with faults. Records violated invariants. */
class ViewCell : public Cell
{
public:
    struct Views
    {
        Member self;
        std::unique_ptr<ViewCore> core;
        std::unique_ptr<StoreClientCore> client;
        StoreModel::Session session = 0;
        std::map<ShardKey, ShardView> adopted; /**< Views that the dispatch core would have received. */
        std::map<ShardKey, StartsAllowed> starts;
        std::vector<ShardView> proposed;
    };

    const ShardKey shard{ "booking", 0 };
    StoreModel store;
    std::set<NodeAddress> cutFromStore;
    std::vector<std::string> violations;
    bool areRecordsCopied = true; /**< Whether mirrors receive the records of their homes. */

    explicit ViewCell(std::uint64_t seed)
        : Cell(seed)
        , store(seed)
    {
        onReport = [this](const NodeAddress &address, const MembershipAction &action) { report(address, action); };
        nextOther = [this] { return next(); };
        stepOther = [this] { step(); };
    }

    void startWithViews(const Member &self, const ViewCore::Options &options = {})
    {
        Views &views = m_views[self.address];
        views = Views{ .self = self };
        views.core = std::make_unique<ViewCore>(options.withSelf(self).withSeed(self.id.value));
        views.client = std::make_unique<StoreClientCore>(StoreClientCore::Options().withSeed(self.id.value));
        views.session = ++m_lastSession;
        start(self);
        feed(self.address, ServicesConfigured{ { { shard.service, 1 } } });
    }

    void startAll(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            startWithViews(describe(index));
        }
        detection = detectionBound(MembershipCore::Options(), count);
    }

    void killWithViews(NodeId id)
    {
        const NodeAddress address = addressOf(id);
        m_views.erase(address);
        processes().erase(address);
    }

    void pause(NodeId id, bool paused)
    {
        processes().at(addressOf(id)).paused = paused;
    }

    Views &viewsOf(NodeId id)
    {
        return m_views.at(addressOf(id));
    }

    [[nodiscard]] NodeAddress addressOf(NodeId id) const
    {
        for (const auto &[address, views] : m_views) {
            if (views.self.id == id) {
                return address;
            }
        }
        return {};
    }

    [[nodiscard]] ShardView stored() const
    {
        const StoredViews views = decodeViews(store.entry(viewsKey("default")).value);
        const auto found = views.views.find(shard);
        return found == views.views.end() ? ShardView{} : found->second;
    }

    [[nodiscard]] const Member &memberOf(NodeId id) const
    {
        return m_views.at(addressOf(id)).self;
    }

    [[nodiscard]] bool isRunning(NodeId id) const
    {
        return addressOf(id) != NodeAddress{};
    }

    /** Returns whether every process, paused or not, has adopted the view in the store. */
    [[nodiscard]] bool isAdoptedEverywhere() const
    {
        return std::all_of(m_views.begin(), m_views.end(), [this](const auto &entry) {
            const auto known = entry.second.core->views().find(shard);
            return known != entry.second.core->views().end() && known->second == stored();
        });
    }

    void feed(const NodeAddress &address, const ViewEvent &event)
    {
        std::vector<ViewAction> actions;
        Views &views = m_views.at(address);
        views.core->handle(event, now(), actions);
        for (const ViewAction &action : actions) {
            perform(address, views, action);
        }
    }

private:
    void report(const NodeAddress &address, const MembershipAction &action)
    {
        if (m_views.find(address) == m_views.end()) {
            return;
        }
        if (const auto *changed = std::get_if<MemberChanged>(&action)) {
            feed(address, *changed);
        } else if (const auto *gone = std::get_if<MemberGone>(&action)) {
            feed(address, *gone);
        } else if (const auto *received = std::get_if<NewerViewReceived>(&action)) {
            feed(address, *received);
        }
    }

    void perform(const NodeAddress &address, Views &views, const ViewAction &action)
    {
        if (const auto *call = std::get_if<StoreCall>(&action)) {
            checkSwap(views, *call);
            StoreClientCore::Actions clientActions;
            views.client->submit(*call, now(), clientActions);
            performClientActions(address, views, clientActions);
        } else if (const auto *changed = std::get_if<ViewChanged>(&action)) {
            checkAdopted(views, changed->view);
        } else if (const auto *proposal = std::get_if<ViewProposed>(&action)) {
            views.proposed.push_back(proposal->view);
        } else if (const auto *allowed = std::get_if<StartsAllowed>(&action)) {
            views.starts[allowed->shard] = *allowed;
        } else {
            inject(address, std::get<ViewReadFromStore>(action));
        }
    }

    void performClientActions(const NodeAddress &address, Views &views, StoreClientCore::Actions &clientActions)
    {
        for (const StoreCall &call : clientActions.calls) {
            if (cutFromStore.find(address) == cutFromStore.end()) {
                store.submit(views.session, call, now());
            }
        }
        for (const StoreReply &reply : clientActions.replies) {
            m_replies.emplace_back(address, reply);
        }
    }

    /** Checks that a mirror sends ViewProposed to its dispatch core before it submits the swap of its promotion. */
    void checkSwap(const Views &views, const StoreCall &call)
    {
        const auto *swap = std::get_if<StoreSwap>(&call.operation);
        if (swap == nullptr) {
            return;
        }
        for (const auto &[key, view] : decodeViews(swap->value).views) {
            const auto known = views.core->views().find(key);
            const bool isPromotion
                = known != views.core->views().end() && view.epoch > known->second.epoch && view.home == views.self.id && known->second.mirror == views.self.id;
            if (isPromotion && std::find(views.proposed.begin(), views.proposed.end(), view) == views.proposed.end()) {
                violations.push_back("promotion without ViewProposed");
            }
        }
    }

    void checkAdopted(Views &views, const ShardView &view)
    {
        const auto known = views.adopted.find(view.key);
        if (known != views.adopted.end() && known->second.epoch >= view.epoch) {
            violations.push_back("epoch did not increase");
        }
        views.adopted[view.key] = view;
        const auto first = m_byEpoch.emplace(std::pair(view.key, view.epoch), view);
        if (first.first->second != view) {
            violations.push_back("two different views with one epoch");
        }
    }

    Instant next()
    {
        Instant next = store.nextWake().value_or(Instant::max());
        for (const auto &[address, views] : m_views) {
            if (!isPaused(address)) {
                next = std::min(next, views.core->nextWake().value_or(Instant::max()));
                next = std::min(next, views.client->nextWake().value_or(Instant::max()));
            }
        }
        return next;
    }

    [[nodiscard]] bool isPaused(const NodeAddress &address)
    {
        return processes().at(address).paused;
    }

    void step()
    {
        for (StoreModel::Delivery &delivery : store.poll(now())) {
            m_arrived[delivery.session].push_back(delivery.reply);
        }
        for (auto &[address, views] : m_views) {
            if (isPaused(address)) {
                continue;
            }
            StoreClientCore::Actions clientActions;
            for (const StoreReply &reply : std::exchange(m_arrived[views.session], {})) {
                views.client->handle(reply, now(), clientActions);
            }
            views.client->handleTimers(now(), clientActions);
            performClientActions(address, views, clientActions);
            if (views.core->nextWake().value_or(Instant::max()) <= now()) {
                feed(address, TimeElapsed{});
            }
        }
        synchronise();
        while (!m_replies.empty()) {
            for (const auto &[address, reply] : std::exchange(m_replies, {})) {
                feed(address, reply);
            }
        }
    }

    /** Simulates the dispatch cores: a home and a mirror that run and reach one another have the same records. */
    void synchronise()
    {
        const ShardView view = stored();
        if (!areRecordsCopied || view == m_synchronised || !isRunning(view.home) || !isRunning(view.mirror)) {
            return;
        }
        const NodeAddress home = addressOf(view.home);
        const NodeAddress mirror = addressOf(view.mirror);
        const bool isAdopted = viewsOf(view.home).adopted[shard] == view && viewsOf(view.mirror).adopted[shard] == view;
        if (isPaused(home) || isPaused(mirror) || faults.isCut(home, mirror) || !isAdopted) {
            return;
        }
        m_synchronised = view;
        feed(home, MirrorSynchronised{ shard, view.epoch, true });
        feed(mirror, MirrorSynchronised{ shard, view.epoch, true });
    }

    std::map<NodeAddress, Views> m_views;
    std::map<StoreModel::Session, std::vector<StoreReply>> m_arrived;
    std::vector<std::pair<NodeAddress, StoreReply>> m_replies;
    std::map<std::pair<ShardKey, Epoch>, ShardView> m_byEpoch;
    ShardView m_synchronised;
    StoreModel::Session m_lastSession = 0;
};

} // namespace lagoonroute
