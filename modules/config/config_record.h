#ifndef MODULES_CONFIG_CONFIG_RECORD_H
#define MODULES_CONFIG_CONFIG_RECORD_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "modules/config/service_spec.h"

namespace jacinthshift {

/** The newest record format that this program can decode. */
constexpr int RecordFormat = 1;

/** Fields common to all records. */
struct RecordHeader
{
    int format = RecordFormat;
    std::string id;      ///< Unique; a second record with the same id is rejected.
    std::string author;  ///< The operator, or the node that proposed a step.
    std::int64_t at = 0; ///< The author's wall clock in milliseconds since the Unix epoch.
};

/** Adds or replaces a service. */
struct ServiceChange
{
    ServiceSpec spec;
    std::uint64_t baseRevision = 0; ///< The revision that the change is based on; 0 for none.
};

/** Removes a service. */
struct ServiceRemoval
{
    std::string name;
    std::uint64_t baseRevision = 0; ///< The revision that the removal is based on.
};

/** Publishes changes to services atomically. */
struct PublishRecord
{
    std::vector<ServiceChange> changes;
    std::vector<ServiceRemoval> removals;
    ReleasePlan plan;
};

/** Advances a release to its next stage. */
struct ReleaseStepRecord
{
    std::string release;     ///< The id of the release.
    std::uint32_t stage = 0; ///< Index of the next stage; must be the current one plus one.
};

/** Marks a release as finished: the candidate keeps all traffic. */
struct ReleaseFinishRecord
{
    std::string release;
};

/** Ends the watch period of a finished release and drops the old version. */
struct ReleaseCloseRecord
{
    std::string release;
};

/** Withdraws a release: the old version gets all traffic again. */
struct ReleaseWithdrawRecord
{
    std::string release;
    std::string reason;
};

/** Takes a failure domain out of service or brings it back. */
struct DomainAvailabilityRecord
{
    std::string domain;
    bool out = false;
    std::uint64_t baseRevision = 0; ///< The domain's revision that the change is based on.
};

using RecordBody =
        std::variant<PublishRecord, ReleaseStepRecord, ReleaseFinishRecord, ReleaseCloseRecord,
                     ReleaseWithdrawRecord, DomainAvailabilityRecord>;

/** One record of the configuration stream. */
struct ConfigRecord
{
    RecordHeader header;
    RecordBody body;
};

} // namespace jacinthshift

#endif // MODULES_CONFIG_CONFIG_RECORD_H
