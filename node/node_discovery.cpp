#include "node/node_discovery.h"

#include <algorithm>

#include "core/logger.h"
#include "platform/record_codec.h"
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
        std::vector<NodeContact> contacts;
        for (const KeyedRecord &record : page->records) {
            const absl::StatusOr<NodeContact> contact = decodeContact(record);
            if (contact.ok())
                contacts.push_back(*contact);
            else
                logEvent(
                        Event::OperatorRecordIgnored,
                        {{"key", record.key}, {"reason", std::string(contact.status().message())}});
        }
        m_network.addContacts(contacts);
        scheduleReadIfIsolated();
    });
}

} // namespace jacinthshift
