#ifndef MODULES_DISTRIBUTION_CONFIG_STORE_H
#define MODULES_DISTRIBUTION_CONFIG_STORE_H

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "modules/config/config_state.h"
#include "servers/log_client.h"

namespace jacinthshift {

/**
 * The configuration that this node has applied, with the newest records for forwarding to peers.
 *
 * The version never decreases. Records from a peer are applied all together or not at all, and only
 * if they continue the applied version; records read from the log are applied up to a gap.
 */
class ConfigStore
{
public:
    using InstallCallback = std::function<void(const ConfigState &)>;

private:
    ConfigState m_state;
    struct RecentRecord
    {
        LogRecord record;
        std::uint64_t chainHash = 0; ///< Hash over the log up to and including the record.
    };

    std::deque<RecentRecord> m_recent;
    std::vector<InstallCallback> m_installObservers;
    mutable std::string m_snapshot; ///< Cached per version, as many peers ask at once.
    mutable std::uint64_t m_snapshotVersion = 0;
    std::uint64_t m_floor = 0; ///< Lowest version that may be served.
    bool m_floorKnown = false;

    void notifyInstalled();
    void logIfRejected(const RecordOutcome &outcome) const;

public:
    const ConfigState &state() const { return m_state; }
    std::uint64_t version() const { return m_state.version(); }
    void addInstallObserver(InstallCallback callback)
    {
        m_installObservers.push_back(std::move(callback));
    }

    // Applying.
    /**
     * Applies records read from the log and skips those that are already applied. Returns DataLoss
     * at a gap in the offsets.
     */
    absl::Status applyRecords(const std::vector<LogRecord> &records);
    /**
     * Applies records from a peer. Returns DataLoss if they have a gap or if the resulting hash
     * over the log differs from the peer's.
     */
    absl::Status applyPeerRecords(const std::vector<LogRecord> &records, std::uint64_t chainHash);
    /**
     * Replaces the state by a newer snapshot. Returns an error if it is malformed, and
     * FailedPrecondition if it is not newer than the applied version.
     */
    absl::Status installSnapshot(const std::string &snapshot);

    // Forwarding to peers.
    /**
     * Returns whether all records from an offset on are still stored, so that a peer needs no
     * snapshot. Also true if there are no such records yet.
     */
    bool hasRecordsFrom(std::uint64_t offset) const;
    /**
     * Returns records from an offset on, limited in number and total size, but at least one.
     * Returns none if the first one is not stored.
     */
    std::vector<LogRecord> recordsFrom(std::uint64_t offset, std::size_t maxRecords) const;
    /** Returns the hash over the log up to and including a stored record; 0 if not stored. */
    std::uint64_t chainHashAt(std::uint64_t offset) const;
    /** Returns the applied configuration, encoded for installSnapshot(). */
    const std::string &snapshot() const;

    // Serving.
    /**
     * Raises the floor, the version below which this node must not serve. It comes from the log or
     * from peers, since a restarted process has no stored state.
     */
    void raiseFloor(std::uint64_t version);
    /** Returns whether the floor is known and the applied version has reached it. */
    bool mayServe() const { return m_floorKnown && version() >= m_floor; }
    std::uint64_t floor() const { return m_floor; }
    bool isFloorKnown() const { return m_floorKnown; }
};

} // namespace jacinthshift

#endif // MODULES_DISTRIBUTION_CONFIG_STORE_H
