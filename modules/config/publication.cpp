#include "modules/config/publication.h"

#include <algorithm>
#include <optional>

namespace jacinthshift {

namespace {

/** Returns the spec that applies once the release in progress, if any, has finished. */
ServiceSpecPointer newestSpec(const ServiceEntry &entry)
{
    return entry.candidate != nullptr ? entry.candidate : entry.stable;
}

} // namespace

PublishRecord makePublication(const Answers &answers, const ConfigState &state,
                              const std::vector<std::string> &removals)
{
    PublishRecord publish;
    std::optional<ServiceAnswers> strictest;
    const auto mergeStrictest = [&strictest](const ServiceAnswers &service) {
        if (!strictest.has_value()) {
            strictest = service;
            return;
        }
        strictest->care = std::max(strictest->care, service.care);
        strictest->finishWithin = std::min(strictest->finishWithin, service.finishWithin);
        if (service.thinEvidence == ThinEvidence::Withdraw)
            strictest->thinEvidence = ThinEvidence::Withdraw;
    };
    for (const ServiceAnswers &service : answers.services) {
        const ServiceEntry *entry = state.findService(service.spec.name);
        if (entry != nullptr && *newestSpec(*entry) == service.spec)
            continue;
        publish.changes.push_back(ServiceChange{
                .spec = service.spec, .baseRevision = entry == nullptr ? 0 : entry->revision});
        // A new service has no callers yet, so its care level does not count.
        if (entry != nullptr)
            mergeStrictest(service);
    }
    for (const std::string &name : removals) {
        const ServiceEntry *entry = state.findService(name);
        publish.removals.push_back(ServiceRemoval{
                .name = name, .baseRevision = entry == nullptr ? 0 : entry->revision});
    }
    if (strictest.has_value())
        publish.plan =
                planForCare(strictest->care, strictest->finishWithin, strictest->thinEvidence);
    return publish;
}

} // namespace jacinthshift
