#include "modules/config/config_state.h"

#include <algorithm>
#include <set>

#include "core/hash.h"
#include "core/text.h"
#include "modules/config/config_codec.h"
#include "servers/log_client.h"

namespace jacinthshift {

namespace {

constexpr std::size_t MaxStoredOutcomes = 4096;
constexpr std::size_t MaxEndedReleases = 256;

bool isEnded(ReleaseStatus status)
{
    return status == ReleaseStatus::Closed || status == ReleaseStatus::Withdrawn;
}

absl::Status rejected(const std::string &reason)
{
    return absl::FailedPreconditionError(reason);
}

} // namespace

std::uint32_t Release::share() const
{
    switch (status) {
    case ReleaseStatus::Open:
        return plan.stages[stage].share;
    case ReleaseStatus::Finished:
    case ReleaseStatus::Closed:
        return FullShare;
    case ReleaseStatus::Withdrawn:
        return 0;
    }
    return 0;
}

const ServiceEntry *ConfigState::findService(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

const Release *ConfigState::findRelease(const std::string &id) const
{
    const auto found = m_releases.find(id);
    return found == m_releases.end() ? nullptr : &found->second;
}

const RecordOutcome *ConfigState::findOutcome(const std::string &recordId) const
{
    const auto found = m_outcomeOffsets.find(recordId);
    if (found == m_outcomeOffsets.end())
        return nullptr;
    const auto outcome = std::find_if(
            m_outcomes.rbegin(), m_outcomes.rend(),
            [&found](const RecordOutcome &candidate) { return candidate.id == found->first; });
    return outcome == m_outcomes.rend() ? nullptr : &*outcome;
}

bool ConfigState::isDomainTakenOut(const std::string &domain) const
{
    const auto found = m_domains.find(domain);
    return found != m_domains.end() && found->second.out;
}

RecordOutcome ConfigState::fold(const LogRecord &record)
{
    m_version = record.offset;
    m_chainHash = combineHash(m_chainHash, stableHash(record.payload));
    RecordOutcome outcome{.offset = record.offset};
    const absl::StatusOr<ConfigRecord> decoded = ConfigCodec::decodeRecord(record.payload);
    if (!decoded.ok()) {
        outcome.reason = std::string(decoded.status().message());
        return outcome;
    }
    outcome.id = decoded->header.id;
    absl::Status status = checkNotDuplicate(*decoded);
    if (!status.ok()) {
        // The outcome stored under this id is that of the first record and must stay.
        outcome.reason = std::string(status.message());
        return outcome;
    }
    status = std::visit([this, &decoded](const auto &body) { return apply(*decoded, body); },
                        decoded->body);
    outcome.accepted = status.ok();
    outcome.reason = std::string(status.message());
    storeOutcome(outcome);
    return outcome;
}

// The reasons are part of the replicated state: a text that changes would make the snapshots of
// different builds differ.
void ConfigState::storeOutcome(RecordOutcome outcome)
{
    m_outcomeOffsets[outcome.id] = outcome.offset;
    m_outcomes.push_back(std::move(outcome));
    if (m_outcomes.size() <= MaxStoredOutcomes)
        return;
    m_outcomeOffsets.erase(m_outcomes.front().id);
    m_outcomes.pop_front();
}

absl::Status ConfigState::checkNotDuplicate(const ConfigRecord &record) const
{
    const auto found = m_outcomeOffsets.find(record.header.id);
    if (found == m_outcomeOffsets.end())
        return absl::OkStatus();
    return rejected(joinText("a copy of the record at offset ", found->second));
}

absl::Status ConfigState::checkNoConflict(const std::string &service,
                                          std::uint64_t baseRevision) const
{
    const ServiceEntry *entry = findService(service);
    const std::uint64_t revision = entry == nullptr ? 0 : entry->revision;
    if (revision != baseRevision)
        return rejected(joinText("service ", service, " was changed at version ", revision, " by ",
                                 entry == nullptr ? "nobody" : entry->changedBy,
                                 " after the version ", baseRevision,
                                 " that this change is based on"));
    if (entry == nullptr || entry->release.empty())
        return absl::OkStatus();
    const Release *release = findRelease(entry->release);
    if (release != nullptr && release->status == ReleaseStatus::Open)
        return rejected(joinText("service ", service, " is being released by ", release->author,
                                 " in release ", release->id));
    return absl::OkStatus();
}

bool ConfigState::existsAfter(const PublishRecord &publish, const std::string &name) const
{
    const auto isRemoval = [&name](const ServiceRemoval &removal) {
        return removal.name == name;
    };
    const auto isChange = [&name](const ServiceChange &change) {
        return change.spec.name == name;
    };
    if (std::any_of(publish.removals.begin(), publish.removals.end(), isRemoval))
        return false;
    if (std::any_of(publish.changes.begin(), publish.changes.end(), isChange))
        return true;
    const ServiceEntry *entry = findService(name);
    return entry != nullptr && entry->stable != nullptr && !entry->removing;
}

absl::Status ConfigState::checkNeedsOf(const PublishRecord &publish, const ServiceSpec &spec) const
{
    for (const std::string &need : spec.needs) {
        if (!existsAfter(publish, need))
            return rejected(joinText("service ", spec.name, " needs service ", need,
                                     ", which is not there"));
    }
    return absl::OkStatus();
}

absl::Status ConfigState::checkNeeds(const PublishRecord &publish) const
{
    for (const ServiceChange &change : publish.changes) {
        const absl::Status status = checkNeedsOf(publish, change.spec);
        if (!status.ok())
            return status;
    }
    // Only a removal can break a need of a service that the record does not change.
    if (publish.removals.empty())
        return absl::OkStatus();
    for (const auto &[name, entry] : m_services) {
        if (!existsAfter(publish, name))
            continue;
        for (const ServiceSpecPointer &spec : {entry.stable, entry.candidate}) {
            const absl::Status status =
                    spec == nullptr ? absl::OkStatus() : checkNeedsOf(publish, *spec);
            if (!status.ok())
                return status;
        }
    }
    return absl::OkStatus();
}

absl::Status ConfigState::checkPublish(const PublishRecord &publish) const
{
    if (publish.changes.empty() && publish.removals.empty())
        return rejected("the record changes nothing");
    std::set<std::string> names;
    for (const ServiceChange &change : publish.changes) {
        if (!names.insert(change.spec.name).second)
            return rejected(joinText("service ", change.spec.name, " is given twice"));
        absl::Status status = validateServiceSpec(change.spec);
        if (status.ok())
            status = checkNoConflict(change.spec.name, change.baseRevision);
        if (!status.ok())
            return status;
    }
    for (const ServiceRemoval &removal : publish.removals) {
        if (!names.insert(removal.name).second)
            return rejected(joinText("service ", removal.name, " is given twice"));
        if (findService(removal.name) == nullptr)
            return rejected(joinText("service ", removal.name, " is not there"));
        const absl::Status status = checkNoConflict(removal.name, removal.baseRevision);
        if (!status.ok())
            return status;
    }
    const absl::Status status = validateReleasePlan(publish.plan);
    return status.ok() ? checkNeeds(publish) : status;
}

void ConfigState::closeFinishedReleases(const PublishRecord &publish)
{
    const auto closeReleaseOf = [this](const std::string &service) {
        const ServiceEntry *entry = findService(service);
        if (entry == nullptr || entry->release.empty())
            return;
        const auto release = m_releases.find(entry->release);
        if (release != m_releases.end() && release->second.status == ReleaseStatus::Finished)
            closeRelease(release->second);
    };
    for (const ServiceChange &change : publish.changes)
        closeReleaseOf(change.spec.name);
    for (const ServiceRemoval &removal : publish.removals)
        closeReleaseOf(removal.name);
}

absl::Status ConfigState::apply(const ConfigRecord &record, const PublishRecord &publish)
{
    const absl::Status status = checkPublish(publish);
    if (!status.ok())
        return status;
    closeFinishedReleases(publish);

    const bool immediate = publish.plan.stages.empty();
    Release release;
    release.id = record.header.id;
    release.author = record.header.author;
    release.plan = publish.plan;
    release.startedAt = record.header.at;
    release.stageStartedAt = record.header.at;
    for (const ServiceChange &change : publish.changes) {
        ServiceEntry &entry = m_services[change.spec.name];
        const ServiceSpecPointer spec = std::make_shared<const ServiceSpec>(change.spec);
        entry.revision = m_version;
        entry.changedBy = record.header.author;
        if (immediate) {
            entry.stable = spec;
            continue;
        }
        entry.candidate = spec;
        entry.release = release.id;
        release.services.push_back(change.spec.name);
    }
    for (const ServiceRemoval &removal : publish.removals) {
        if (immediate) {
            m_services.erase(removal.name);
            continue;
        }
        ServiceEntry &entry = m_services[removal.name];
        entry.revision = m_version;
        entry.changedBy = record.header.author;
        entry.removing = true;
        entry.release = release.id;
        release.services.push_back(removal.name);
    }
    if (!immediate)
        m_releases.emplace(release.id, std::move(release));
    evictOldestEndedRelease();
    return absl::OkStatus();
}

absl::Status ConfigState::findOpenRelease(const std::string &id, Release *&release)
{
    const auto found = m_releases.find(id);
    if (found == m_releases.end())
        return rejected(joinText("there is no release ", id));
    if (found->second.status != ReleaseStatus::Open)
        return rejected(joinText("release ", id, " is not open any more"));
    release = &found->second;
    return absl::OkStatus();
}

absl::Status ConfigState::apply(const ConfigRecord &record, const ReleaseStepRecord &step)
{
    Release *release = nullptr;
    const absl::Status status = findOpenRelease(step.release, release);
    if (!status.ok())
        return status;
    if (step.stage != release->stage + 1 || step.stage >= release->plan.stages.size())
        return rejected(joinText("release ", step.release, " is at stage ", release->stage,
                                 ", so it cannot go to stage ", step.stage));
    release->stage = step.stage;
    release->stageStartedAt = record.header.at;
    return absl::OkStatus();
}

absl::Status ConfigState::apply(const ConfigRecord &record, const ReleaseFinishRecord &finish)
{
    Release *release = nullptr;
    const absl::Status status = findOpenRelease(finish.release, release);
    if (!status.ok())
        return status;
    release->status = ReleaseStatus::Finished;
    release->endedAt = record.header.at;
    return absl::OkStatus();
}

absl::Status ConfigState::apply(const ConfigRecord &, const ReleaseCloseRecord &close)
{
    const auto found = m_releases.find(close.release);
    if (found == m_releases.end() || found->second.status != ReleaseStatus::Finished)
        return rejected(joinText("release ", close.release, " is not under watch"));
    closeRelease(found->second);
    return absl::OkStatus();
}

void ConfigState::closeRelease(Release &release)
{
    release.status = ReleaseStatus::Closed;
    for (const std::string &service : release.services) {
        const auto found = m_services.find(service);
        if (found == m_services.end() || found->second.release != release.id)
            continue;
        ServiceEntry &entry = found->second;
        if (entry.removing) {
            m_services.erase(found);
            continue;
        }
        entry.stable = std::exchange(entry.candidate, nullptr);
        entry.release.clear();
    }
}

absl::Status ConfigState::apply(const ConfigRecord &record, const ReleaseWithdrawRecord &withdraw)
{
    const auto found = m_releases.find(withdraw.release);
    if (found == m_releases.end())
        return rejected(joinText("there is no release ", withdraw.release));
    Release &release = found->second;
    if (isEnded(release.status))
        return rejected(joinText("release ", withdraw.release, " has ended already"));
    release.status = ReleaseStatus::Withdrawn;
    release.endedAt = record.header.at;
    release.reason = withdraw.reason;
    for (const std::string &service : release.services) {
        ServiceEntry &entry = m_services[service];
        entry.candidate = nullptr;
        entry.removing = false;
        entry.release.clear();
        entry.revision = m_version;
        entry.changedBy = record.header.author;
        if (entry.stable == nullptr)
            m_services.erase(service);
    }
    return absl::OkStatus();
}

absl::Status ConfigState::apply(const ConfigRecord &record,
                                const DomainAvailabilityRecord &availability)
{
    if (!isValidName(availability.domain))
        return rejected(joinText("'", availability.domain, "' is not a failure domain"));
    const auto found = m_domains.find(availability.domain);
    const std::uint64_t revision = found == m_domains.end() ? 0 : found->second.revision;
    if (revision != availability.baseRevision)
        return rejected(joinText("failure domain ", availability.domain, " was moved at version ",
                                 revision, " by ",
                                 found == m_domains.end() ? "nobody" : found->second.changedBy));
    m_domains[availability.domain] = DomainEntry{
            .out = availability.out, .revision = m_version, .changedBy = record.header.author};
    return absl::OkStatus();
}

void ConfigState::evictOldestEndedRelease()
{
    std::vector<const Release *> ended;
    for (const auto &[id, release] : m_releases) {
        if (isEnded(release.status))
            ended.push_back(&release);
    }
    if (ended.size() <= MaxEndedReleases)
        return;
    const auto oldest = std::min_element(
            ended.begin(), ended.end(), [](const Release *left, const Release *right) {
                return left->startedAt != right->startedAt ? left->startedAt < right->startedAt
                                                           : left->id < right->id;
            });
    m_releases.erase(std::string((*oldest)->id));
}

} // namespace jacinthshift
