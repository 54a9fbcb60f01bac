#include "node/contact_book.h"

#include <algorithm>

#include "core/logger.h"
#include "platform/record_codec.h"
#include "platform/wire_names.h"

namespace jacinthshift {

void ContactBook::write()
{
    const NodeContact &self = m_network.self();
    const KeyedWrite record{
            .table = wire::NodesTable, .key = self.node, .value = encodeContact(self)};
    m_log.write(record, [this](const absl::Status &status) {
        // Whether an unanswered write took effect does not matter: it is the same record again.
        if (status.ok()) {
            read();
            return;
        }
        logEvent(Event::AppendFailed,
                 {{"table", wire::NodesTable}, {"reason", std::string(status.message())}});
        m_next = Timer(m_timers, m_timers.startOnce(m_options.retry, [this] { write(); }));
    });
}

void ContactBook::readAfter(std::chrono::milliseconds delay)
{
    m_next = Timer(m_timers, m_timers.startOnce(delay, [this] { read(); }));
}

void ContactBook::readAgainIfLonely()
{
    m_next = Timer(m_timers, m_timers.startOnce(m_options.lonelyPeriod, [this] {
        const bool linked =
                std::any_of(m_network.peers().begin(), m_network.peers().end(),
                            [](const auto &entry) { return !entry.second.links.empty(); });
        if (!linked)
            read();
    }));
}

void ContactBook::read()
{
    m_log.readNewest(wire::NodesTable, [this](const absl::StatusOr<KeyedPage> &page) {
        if (!page.ok()) {
            readAfter(m_options.retry);
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
        readAgainIfLonely();
    });
}

} // namespace jacinthshift
