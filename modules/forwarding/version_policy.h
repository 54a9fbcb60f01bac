#ifndef MODULES_FORWARDING_VERSION_POLICY_H
#define MODULES_FORWARDING_VERSION_POLICY_H

#include <string>

namespace jacinthshift {

/** The versions of a service that one request may be sent to. */
struct VersionChoice
{
    std::string only;         ///< The only allowed version; empty for no such limit.
    std::string excluded;     ///< A version that is not allowed; empty for none.
    bool mayFallBack = false; ///< Whether others are allowed if no owner with `only` is eligible.

    bool allows(const std::string &version) const
    {
        return (only.empty() || version == only) && (excluded.empty() || version != excluded);
    }
};

/** Splits the requests of each service between the versions of its software. */
class VersionPolicy
{
public:
    virtual ~VersionPolicy() = default;

    /** Returns the versions that the next request for a service may be sent to. */
    virtual VersionChoice nextRequest(const std::string &service) = 0;
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_VERSION_POLICY_H
