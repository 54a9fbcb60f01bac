#include "node/node_discovery.h"

#include <algorithm>

#include "core/duration.h"
#include "core/logger.h"
#include "platform/wire_names.h"

namespace jacinthshift {

void NodeDiscovery::writeOwnContact()
{
    const NodeContact &self = m_network.self();
    const KeyedWrite record{
            .table = wire::NodesTable, .key = self.node, .value = encodeContact(self)};
    m_log.write(record, [this](const absl::Status &status) {
        // A write with an unknown outcome is safe to repeat, as it writes the same record again.
        if (status.ok()) {
            readContacts();
            return;
        }
        logEvent(Event::AppendFailed,
                 {{"table", wire::NodesTable}, {"reason", std::string(status.message())}});
        m_retryTimer = Timer(
                m_timers, m_timers.startOnce(m_options.retryDelay, [this] { writeOwnContact(); }));
    });
}

void NodeDiscovery::logRestored()
{
    // All nodes learn of a restore at about the same time, and the log limits writes per second.
    m_retryTimer = Timer(m_timers, m_timers.startOnce(m_random.jitter(m_options.rewritePeriod),
                                                      [this] { writeOwnContact(); }));
}

void NodeDiscovery::scheduleRead(std::chrono::milliseconds delay)
{
    m_retryTimer = Timer(m_timers, m_timers.startOnce(delay, [this] { readContacts(); }));
}

void NodeDiscovery::scheduleReadIfIsolated()
{
    m_retryTimer = Timer(m_timers, m_timers.startOnce(m_options.isolatedRereadDelay, [this] {
        const bool hasLink =
                std::any_of(m_network.peers().begin(), m_network.peers().end(),
                            [](const auto &entry) { return !entry.second.links.empty(); });
        if (!hasLink)
            readContacts();
    }));
}

void NodeDiscovery::readContacts()
{
    m_log.readNewest(wire::NodesTable, [this](const absl::StatusOr<KeyedPage> &page) {
        if (!page.ok()) {
            scheduleRead(m_options.retryDelay);
            return;
        }
        pageRead(page->records);
        scheduleReadIfIsolated();
    });
}

void NodeDiscovery::pageRead(const std::vector<KeyedRecord> &records)
{
    std::vector<NodeContact> contacts;
    std::vector<Departure> departures;
    const auto append = [](auto &list, const KeyedRecord &record, auto decoded) {
        if (decoded.ok())
            list.push_back(*std::move(decoded));
        else
            logEvent(Event::OperatorRecordIgnored,
                     {{"key", record.key}, {"reason", std::string(decoded.status().message())}});
    };
    for (const KeyedRecord &record : records) {
        if (isDeparture(record))
            append(departures, record, decodeDeparture(record));
        else
            append(contacts, record, decodeContact(record));
    }
    m_network.addContacts(contacts);
    if (m_departureObserver != nullptr)
        m_departureObserver->departuresRead(departures);
    removeOldDeparture(departures);
}

void NodeDiscovery::removeOldDeparture(const std::vector<Departure> &departures)
{
    const auto now = std::chrono::milliseconds(unixMilliseconds(m_timers.wallNow()));
    std::vector<const Departure *> old;
    for (const Departure &departure : departures) {
        if (now - departure.at > m_options.departureRetention)
            old.push_back(&departure);
    }
    if (old.empty())
        return;
    const Departure &removed = *old[m_random.below(old.size())];
    m_log.write(KeyedWrite{.table = wire::NodesTable,
                           .key = departureKey(removed.node, removed.backend)},
                [](const absl::Status &) {});
}

} // namespace jacinthshift
