#ifndef DRIVERS_BEAST_RESPONSE_BUDGET_H
#define DRIVERS_BEAST_RESPONSE_BUDGET_H

#include <cstddef>

namespace jacinthshift {

/** The bytes of responses that wait for an earlier one, of all connections of a server. */
struct ResponseBudget
{
    std::size_t bufferedBytes = 0; ///< Responses that have arrived.
    /** The buffered bytes and the estimates for requests that have run ahead. */
    std::size_t reservedBytes = 0;
};

} // namespace jacinthshift

#endif // DRIVERS_BEAST_RESPONSE_BUDGET_H
