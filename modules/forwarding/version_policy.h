#ifndef MODULES_FORWARDING_VERSION_POLICY_H
#define MODULES_FORWARDING_VERSION_POLICY_H

#include <string>

namespace jacinthshift {

/** The versions of a service that one request may be sent to. */
struct VersionChoice
{
    std::string requiredVersion; ///< The only allowed version; empty for any.
    std::string excludedVersion; ///< A version that is not allowed; empty for none.
    /** Whether other versions are allowed if no owner that runs the required one is eligible. */
    bool allowFallback = false;

    bool allows(const std::string &version) const
    {
        return (requiredVersion.empty() || version == requiredVersion)
               && (excludedVersion.empty() || version != excludedVersion);
    }
};

/** Splits the requests of each service between the versions of its software. */
class VersionPolicy
{
public:
    virtual ~VersionPolicy() = default;

    /** Returns the versions that the next request for a service may be sent to. */
    virtual VersionChoice chooseVersion(const std::string &service) = 0;
    /** Returns the versions that the next attempt of a request may be sent to. */
    virtual VersionChoice reviseChoice(const std::string & /*service*/, const VersionChoice &choice)
    {
        return choice;
    }
    /** A request is sent to an owner whose backend server runs a version. */
    virtual void requestSent(const std::string & /*service*/, const std::string & /*version*/) {}
    /** A request that was sent has certainly reached no backend server. */
    virtual void requestNotReached(const std::string & /*service*/, const std::string & /*version*/)
    {
    }
    /** A backend server has answered a request. */
    virtual void requestAnswered(const std::string & /*service*/) {}
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_VERSION_POLICY_H
