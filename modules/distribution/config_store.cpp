#include "modules/distribution/config_store.h"

#include <algorithm>

#include "core/hash.h"
#include "core/logger.h"
#include "core/text.h"
#include "modules/config/config_codec.h"

namespace jacinthshift {

namespace {

constexpr std::size_t MaxRecentRecords = 4096;
constexpr std::size_t MaxBatchBytes = 2 * 1024 * 1024;

} // namespace

absl::Status ConfigStore::applyRecords(const std::vector<LogRecord> &records)
{
    const std::uint64_t oldVersion = version();
    for (const LogRecord &record : records) {
        if (record.offset <= version())
            continue;
        if (record.offset != version() + 1)
            return absl::DataLossError(
                    joinText("offset ", record.offset, " does not follow version ", version()));
        logIfRejected(m_state.fold(record));
        m_recent.push_back(RecentRecord{.record = record, .chainHash = m_state.chainHash()});
        if (m_recent.size() > MaxRecentRecords)
            m_recent.pop_front();
    }
    if (version() != oldVersion)
        notifyInstalled();
    return absl::OkStatus();
}

absl::Status ConfigStore::applyPeerRecords(const std::vector<LogRecord> &records,
                                           std::uint64_t chainHash)
{
    if (records.empty() || records.back().offset <= version())
        return absl::OkStatus();
    if (records.front().offset > version() + 1)
        return absl::DataLossError("the records do not continue this node's version");
    std::uint64_t expected = m_state.chainHash();
    std::uint64_t offset = version();
    for (const LogRecord &record : records) {
        if (record.offset <= offset)
            continue;
        if (record.offset != ++offset)
            return absl::DataLossError("the records have a gap");
        expected = combineHash(expected, stableHash(record.payload));
    }
    if (expected != chainHash)
        return absl::DataLossError(
                "the hash over the log differs from the hash that the peer sent");
    return applyRecords(records);
}

absl::Status ConfigStore::installSnapshot(const std::string &snapshot)
{
    absl::StatusOr<ConfigState> state = ConfigCodec::decodeSnapshot(snapshot);
    if (!state.ok()) {
        logEvent(Event::SnapshotRefused, {{"reason", std::string(state.status().message())}});
        return state.status();
    }
    if (state->version() <= version()) {
        logEvent(Event::SnapshotRefused,
                 {{"reason", "the snapshot is not newer than the applied version"},
                  {"offered", state->version()},
                  {"version", version()}});
        return absl::FailedPreconditionError("the snapshot is not newer");
    }
    m_state = *std::move(state);
    m_recent.clear();
    logEvent(Event::SnapshotInstalled, {{"version", version()}});
    notifyInstalled();
    return absl::OkStatus();
}

void ConfigStore::notifyInstalled()
{
    logEvent(Event::ConfigInstalled,
             {{"version", version()}, {"hash", formatHash(m_state.chainHash())}});
    for (const InstallCallback &observer : m_installObservers)
        observer(m_state);
}

void ConfigStore::logIfRejected(const RecordOutcome &outcome) const
{
    if (outcome.accepted)
        return;
    const Event event = outcome.id.empty() ? Event::RecordMalformed : Event::RecordRejected;
    logEvent(event,
             {{"offset", outcome.offset}, {"record", outcome.id}, {"reason", outcome.reason}});
}

bool ConfigStore::hasRecordsFrom(std::uint64_t offset) const
{
    return offset > version() || (!m_recent.empty() && m_recent.front().record.offset <= offset);
}

std::vector<LogRecord> ConfigStore::recordsFrom(std::uint64_t offset, std::size_t maxRecords) const
{
    std::vector<LogRecord> records;
    if (m_recent.empty() || offset < m_recent.front().record.offset)
        return records;
    std::size_t bytes = 0;
    for (std::size_t i = offset - m_recent.front().record.offset; i < m_recent.size(); ++i) {
        bytes += m_recent[i].record.payload.size();
        if (records.size() >= maxRecords || (bytes > MaxBatchBytes && !records.empty()))
            break;
        records.push_back(m_recent[i].record);
    }
    return records;
}

std::uint64_t ConfigStore::chainHashAt(std::uint64_t offset) const
{
    if (m_recent.empty() || offset < m_recent.front().record.offset || offset > version())
        return 0;
    return m_recent[offset - m_recent.front().record.offset].chainHash;
}

const std::string &ConfigStore::snapshot() const
{
    if (m_snapshot.empty() || m_snapshotVersion != version()) {
        m_snapshot = ConfigCodec::encodeSnapshot(m_state);
        m_snapshotVersion = version();
    }
    return m_snapshot;
}

void ConfigStore::raiseFloor(std::uint64_t version)
{
    if (!m_floorKnown || version > m_floor)
        logEvent(Event::FloorLearnt, {{"floor", std::max(m_floor, version)}});
    m_floorKnown = true;
    m_floor = std::max(m_floor, version);
}

} // namespace jacinthshift
