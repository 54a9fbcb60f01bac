#include "modules/membership/member_record.h"

#include "core/hash.h"
#include "core/text.h"

namespace jacinthshift {

bool MemberRecord::isNewerThan(const MemberRecord &other) const
{
    if (incarnation != other.incarnation)
        return incarnation > other.incarnation;
    if (sequence != other.sequence)
        return sequence > other.sequence;
    return status > other.status;
}

std::uint64_t MemberRecord::contentHash() const
{
    return stableHash(joinText(node, "|", domain, "|", links.text(), "|", incarnation, "|",
                               sequence, "|", static_cast<int>(status), "|",
                               static_cast<int>(backend), "|", service, "|", version, "|", slots));
}

std::string memberStatusName(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return "alive";
    case MemberStatus::Suspect:
        return "suspect";
    case MemberStatus::Down:
        return "down";
    case MemberStatus::Left:
        return "left";
    }
    return "down";
}

std::string backendStateName(BackendState state)
{
    switch (state) {
    case BackendState::None:
        return "none";
    case BackendState::Ready:
        return "ready";
    case BackendState::Leaving:
        return "leaving";
    }
    return "none";
}

} // namespace jacinthshift
