#ifndef MODULES_CONFIG_CONFIG_STATE_H
#define MODULES_CONFIG_CONFIG_STATE_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "modules/config/config_record.h"

namespace jacinthshift {

struct LogRecord;

using ServiceSpecPointer = std::shared_ptr<const ServiceSpec>;

/** A service's current version and, during a release, the candidate that is to replace it. */
struct ServiceEntry
{
    ServiceSpecPointer stable;    ///< Null while a new service is being released.
    ServiceSpecPointer candidate; ///< Null unless a release changes the service.
    std::string release;          ///< The id of the release that changes the service, or empty.
    bool removing = false;        ///< The release removes the service when it finishes.
    std::uint64_t revision = 0;   ///< The offset of the last record that changed the service.
    std::string changedBy;        ///< The author of that record.
};

enum class ReleaseStatus {
    Open,      ///< Traffic is shifted to the candidate in stages.
    Finished,  ///< The candidate has all traffic; the old version is retained.
    Closed,    ///< The old version has been dropped.
    Withdrawn, ///< The old version has all traffic.
};

/** The state of one release, the same on all nodes at the same version. */
struct Release
{
    std::string id;
    std::string author;
    std::vector<std::string> services;
    ReleasePlan plan;
    std::uint32_t stage = 0; ///< Index of the current stage in the plan.
    ReleaseStatus status = ReleaseStatus::Open;
    std::int64_t startedAt = 0;      ///< Milliseconds since the Unix epoch.
    std::int64_t stageStartedAt = 0; ///< Milliseconds since the Unix epoch.
    std::int64_t endedAt = 0;        ///< When it finished or was withdrawn, in the same unit.
    std::string reason;              ///< Why it was withdrawn.

    /** Returns the share of traffic for the candidate in thousandths. */
    std::uint32_t share() const;
};

/** Whether a failure domain is out of service. */
struct DomainEntry
{
    bool out = false;
    std::uint64_t revision = 0; ///< The offset of the last record that changed the entry.
    std::string changedBy;      ///< The author of that record.
};

/** The outcome of folding one record. */
struct RecordOutcome
{
    std::string id;
    std::uint64_t offset = 0;
    bool accepted = false;
    std::string reason; ///< Why it was rejected; names the author of a conflicting change.
};

/**
 * The configuration as a deterministic fold over the records of the log.
 *
 * Nodes that have folded the records up to the same offset hold the same state, so the offset
 * serves as the version. A record is applied atomically. A rejected record advances the version but
 * changes no service, release or failure domain.
 */
class ConfigState
{
    friend class ConfigCodec;

    std::uint64_t m_version = 0;
    std::uint64_t m_chainHash = 0;
    std::map<std::string, ServiceEntry> m_services;
    std::map<std::string, Release> m_releases;
    std::map<std::string, DomainEntry> m_domains;
    /** Outcomes of the last MaxStoredOutcomes records that could be decoded, without duplicates. */
    std::deque<RecordOutcome> m_outcomes;
    std::map<std::string, std::uint64_t> m_outcomeOffsets; ///< Offsets of m_outcomes by record id.

    absl::Status checkNotDuplicate(const ConfigRecord &record) const;
    absl::Status checkPublish(const PublishRecord &publish) const;
    absl::Status checkNoConflict(const std::string &service, std::uint64_t baseRevision) const;
    /** Returns whether a service exists once the publication has taken effect. */
    bool existsAfter(const PublishRecord &publish, const std::string &name) const;
    absl::Status checkNeedsOf(const PublishRecord &publish, const ServiceSpec &spec) const;
    absl::Status checkNeeds(const PublishRecord &publish) const;
    void closeRelease(Release &release);
    /** Closes the finished releases of the services that a publication changes or removes. */
    void closeFinishedReleases(const PublishRecord &publish);
    void evictOldestEndedRelease();
    void storeOutcome(RecordOutcome outcome);

    absl::Status apply(const ConfigRecord &record, const PublishRecord &publish);
    absl::Status apply(const ConfigRecord &record, const ReleaseStepRecord &step);
    absl::Status apply(const ConfigRecord &record, const ReleaseFinishRecord &finish);
    absl::Status apply(const ConfigRecord &record, const ReleaseCloseRecord &close);
    absl::Status apply(const ConfigRecord &record, const ReleaseWithdrawRecord &withdraw);
    absl::Status apply(const ConfigRecord &record, const DomainAvailabilityRecord &availability);
    absl::Status findOpenRelease(const std::string &id, Release *&release);

public:
    /** Returns the offset of the last record folded, or 0 if there is none. */
    std::uint64_t version() const { return m_version; }
    /** Returns a hash over all records folded; it is equal on all nodes at the same version. */
    std::uint64_t chainHash() const { return m_chainHash; }

    const std::map<std::string, ServiceEntry> &services() const { return m_services; }
    const std::map<std::string, Release> &releases() const { return m_releases; }
    const std::map<std::string, DomainEntry> &domains() const { return m_domains; }

    const ServiceEntry *findService(const std::string &name) const;
    const Release *findRelease(const std::string &id) const;
    /** Returns the outcome of a recent record, or null if it is unknown. */
    const RecordOutcome *findOutcome(const std::string &recordId) const;
    bool isDomainTakenOut(const std::string &domain) const;

    /**
     * Folds one record. Its offset must be version() + 1. The outcome reports whether it was
     * accepted; a record that cannot be decoded is rejected.
     */
    RecordOutcome fold(const LogRecord &record);
};

} // namespace jacinthshift

#endif // MODULES_CONFIG_CONFIG_STATE_H
