#include "modules/fleet/messages.h"

#include <array>

#include "core/hash.h"

namespace jacinthshift {

std::uint64_t contactHash(const NodeContact &contact)
{
    return combineHash(stableHash(contact.node), contact.incarnation);
}

std::string_view refusalName(WorkRefusal refusal)
{
    static constexpr std::array<std::string_view, 15> Names = {
            "none",      "no-backend", "full",        "draining",     "taken-out",
            "braked",    "cold",       "unreachable", "rejected",     "lost",
            "malformed", "timed-out",  "suspected",   "rate-limited", "link-busy"};
    return Names.at(static_cast<std::size_t>(refusal));
}

} // namespace jacinthshift
