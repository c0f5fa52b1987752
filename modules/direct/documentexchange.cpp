#include <lagoonroute/direct/documentexchange.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

DocumentExchange::Options DocumentExchange::Options::withRequestDelay(Duration time) const
{
    Options changed = *this;
    changed.requestDelay = time;
    return changed;
}

DocumentExchange::DocumentExchange(Options options)
    : m_options(options)
    , m_answerTimeout(m_options.answerTimeout)
{
}

bool DocumentExchange::update(ConfigurationDocument document)
{
    if (document.version <= m_current.version) {
        return false;
    }
    m_current = std::move(document);
    std::erase_if(m_offered, [this](const auto &offer) { return offer.second <= m_current.version; });
    std::erase_if(m_asked, [this](LinkId link) { return m_offered.count(link) == 0; });
    m_answerTimeout = m_options.answerTimeout;
    if (m_offered.empty()) {
        m_nextRequestAt.reset();
    }
    return true;
}

void DocumentExchange::subscribe(LinkId link)
{
    m_announcedVersions.try_emplace(link, 0);
}

void DocumentExchange::noticeReceived(LinkId link, std::uint64_t version, Instant now)
{
    const auto announced = m_announcedVersions.find(link);
    if (announced != m_announcedVersions.end()) {
        announced->second = std::max(announced->second, version);
    }
    if (version <= m_current.version) {
        return;
    }
    if (std::exchange(m_offered[link], version) != version) {
        m_asked.erase(link);
    }
    if (!m_nextRequestAt) {
        m_nextRequestAt = now + (m_current.version == 0 ? Duration(0) : m_options.requestDelay);
    }
}

void DocumentExchange::requestReceived(LinkId link)
{
    m_requests.insert(link);
}

void DocumentExchange::linkClosed(LinkId link)
{
    m_announcedVersions.erase(link);
    m_offered.erase(link);
    m_asked.erase(link);
    m_requests.erase(link);
}

std::optional<LinkId> DocumentExchange::neighbourToAsk() const
{
    const auto found = std::find_if(m_offered.begin(), m_offered.end(), [this](const auto &offer) { return m_asked.count(offer.first) == 0; });
    return found == m_offered.end() ? std::nullopt : std::optional(found->first);
}

std::vector<SendOnLink> DocumentExchange::handleTimers(Instant now)
{
    std::vector<SendOnLink> messages;
    for (auto &[link, version] : m_announcedVersions) {
        if (version < m_current.version) {
            version = m_current.version;
            messages.push_back(SendOnLink{ link, DocumentNotice{ version } });
        }
    }
    if (m_current.version != 0) {
        for (const LinkId link : std::exchange(m_requests, {})) {
            messages.push_back(SendOnLink{ link, m_current });
        }
    }
    if (m_nextRequestAt && now >= *m_nextRequestAt) {
        m_nextRequestAt.reset();
        if (const auto link = neighbourToAsk()) {
            m_asked.insert(*link);
            messages.push_back(SendOnLink{ *link, DocumentRequest{} });
            m_nextRequestAt = now + m_answerTimeout;
            m_answerTimeout = m_answerTimeout * 2;
        }
    }
    return messages;
}

std::optional<Instant> DocumentExchange::nextWake() const
{
    return m_nextRequestAt;
}

} // namespace lagoonroute
