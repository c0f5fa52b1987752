#include <lagoonroute/app/entrynode.h>

#include "controlports.h"
#include "decisionthread.h"
#include "entryobserver.h"
#include "nodebase.h"
#include "processcore.h"

#include <lagoonroute/dispatch/entrycore.h>
#include <lagoonroute/http/entryapi.h>

namespace lagoonroute
{

namespace
{

/** Adapters of an entry. */
class EntryPorts
{
public:
    EntryPorts(const Settings &settings, NodeBase &base, const std::shared_ptr<SharedStore> &store, WakeSignal &signal)
        : m_control(settings, base.incarnation(), store, signal)
        , m_callers(HttpServer::Options().withAddress(settings.http), base.pages(), signal)
    {
    }

    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        m_control.drain<EntryEvent>(consume);
        m_callers.drain([&consume](EntryEvent &&event) { consume(EntryProcess::Event(std::move(event))); });
    }

    void perform(EntryProcess::Action &&action)
    {
        if (auto *control = std::get_if<ControlAction>(&action)) {
            if (const auto *rules = std::get_if<RulesChanged>(control)) {
                m_callers.setRules(rules->rules);
            } else if (const auto *removed = std::get_if<ServiceRemoved>(control)) {
                m_callers.removeRules(removed->service);
            }
            m_control.perform(std::move(*control));
            return;
        }
        auto &entryAction = std::get<EntryAction>(action);
        if (auto *send = std::get_if<SendMessage>(&entryAction)) {
            m_control.send(std::move(*send));
        } else if (auto *answer = std::get_if<AnswerCaller>(&entryAction)) {
            m_callers.answer(std::move(*answer));
        }
    }

    [[nodiscard]] NodeAddress peerAddress() const
    {
        return m_control.peerAddress();
    }

    [[nodiscard]] EntryApi &callers()
    {
        return m_callers;
    }

    [[nodiscard]] const EntryApi &callers() const
    {
        return m_callers;
    }

    [[nodiscard]] NodeAddress httpAddress() const
    {
        return m_callers.address();
    }

private:
    ControlPorts m_control;
    EntryApi m_callers;
};

} // namespace

class EntryNode::Implementation
{
public:
    Implementation(const Settings &settings, const std::shared_ptr<SharedStore> &store)
        : m_base(settings.node)
        , m_observer(m_base.metrics(), m_base.status())
        , m_core(controlOptionsOf(settings, NodeRole::Entry, m_base.incarnation(), usesStore(settings, store)),
                 NodeId::fromName(settings.node),
                 m_base.incarnation(),
                 m_base.incarnation())
        , m_ports(settings, m_base, store, m_signal)
        , m_thread(m_core, m_ports, m_observer, m_signal)
    {
        for (const auto &[name, rules] : settings.services) {
            m_ports.callers().setRules(rules);
            m_thread.inject(EntryEvent(RulesChanged{ rules }));
        }
        for (const ViewSetting &setting : settings.views) {
            const ShardView view = setting.view();
            m_thread.inject(EntryEvent(ViewChanged{ view }));
        }
        m_thread.inject(ControlEvent(ContactsUpdated{ settings.contacts }));
        m_thread.start();
    }

    [[nodiscard]] NodeBase &base()
    {
        return m_base;
    }

    [[nodiscard]] bool isReady() const
    {
        return m_thread.isReady();
    }

    void withdraw()
    {
        m_thread.inject(ControlEvent(LeaveRequested{}));
    }

    void leave()
    {
        m_thread.inject(ControlEvent(LeaveCompleted{}));
    }

    void drain()
    {
        m_thread.inject(EntryEvent(StopRequested{}));
        m_ports.callers().closeAfterResponses();
    }

    [[nodiscard]] bool isDrained() const
    {
        return m_thread.isDrained() && m_ports.callers().busy() == 0;
    }

    [[nodiscard]] const EntryPorts &ports() const
    {
        return m_ports;
    }

private:
    NodeBase m_base;
    WakeSignal m_signal;
    EntryObserver m_observer;
    EntryProcess m_core;
    EntryPorts m_ports;
    DecisionThread<EntryProcess, EntryPorts, EntryObserver> m_thread;
};

EntryNode::EntryNode(const Settings &settings, const std::shared_ptr<SharedStore> &store)
    : m_implementation(std::make_unique<Implementation>(settings, store))
{
}

EntryNode::~EntryNode() = default;

void EntryNode::setReady(bool ready)
{
    m_implementation->base().status().setReady(ready);
}

bool EntryNode::isReady() const
{
    return m_implementation->isReady();
}

void EntryNode::withdraw()
{
    m_implementation->withdraw();
}

void EntryNode::leave()
{
    m_implementation->leave();
}

void EntryNode::drain()
{
    m_implementation->drain();
}

bool EntryNode::isDrained() const
{
    return m_implementation->isDrained();
}

NodeAddress EntryNode::peerAddress() const
{
    return m_implementation->ports().peerAddress();
}

NodeAddress EntryNode::httpAddress() const
{
    return m_implementation->ports().httpAddress();
}

} // namespace lagoonroute
