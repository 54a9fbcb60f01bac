#ifndef MODULES_FORWARDING_VERSION_POLICY_H
#define MODULES_FORWARDING_VERSION_POLICY_H

#include <string>

namespace jacinthshift {

/** Which versions of a service may take one request. */
struct VersionChoice
{
    std::string only;         ///< The one version; empty if several may.
    std::string excluded;     ///< A version that takes no requests; empty if none.
    bool mayFallBack = false; ///< Whether another version may take it when this one has no room.

    bool allows(const std::string &version) const
    {
        return (only.empty() || version == only) && (excluded.empty() || version != excluded);
    }
};

/** Divides the requests of services among the versions of their software. */
class VersionPolicy
{
public:
    virtual ~VersionPolicy() = default;

    /** Returns which versions may take the next request for a service. */
    virtual VersionChoice nextRequest(const std::string &service) = 0;
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_VERSION_POLICY_H
