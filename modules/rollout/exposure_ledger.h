#ifndef MODULES_ROLLOUT_EXPOSURE_LEDGER_H
#define MODULES_ROLLOUT_EXPOSURE_LEDGER_H

namespace jacinthshift {

/**
 * Bounds how many requests a node sends to a new version, to a share of the requests of this node
 * that backend servers of the service have answered.
 *
 * Each node keeps its own, without coordination, so the bound holds for the sum of all nodes
 * whatever their load, links and restarts are. The credit starts at a random fraction of a request,
 * so that in the mean neither many nodes with few requests nor restarts change the sum.
 */
class ExposureLedger
{
    double m_share;
    double m_credit; ///< Requests that may be sent to the new version now.

public:
    /** `share` is from 0 to 1; `initialCredit` is uniformly random in the range [0, 1). */
    ExposureLedger(double share, double initialCredit) : m_share(share), m_credit(initialCredit) {}

    /** Returns whether the next request may be sent to the new version. */
    bool allowsRequest() const { return m_credit >= 1.0; }
    /** Records a request that is sent to the new version. */
    void charge() { m_credit -= 1.0; }
    /** Records that a charged request certainly reached no backend server. */
    void refund() { m_credit += 1.0; }
    /** Records that a backend server, of any version, has answered a request. */
    void requestAnswered() { m_credit += m_share; }
};

} // namespace jacinthshift

#endif // MODULES_ROLLOUT_EXPOSURE_LEDGER_H
