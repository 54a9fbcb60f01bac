#ifndef CORE_VERDICT_H
#define CORE_VERDICT_H

#include <string_view>

namespace jacinthshift {

/**
 * What is known about the execution of a request on a backend server.
 *
 * Every result on the request path has a verdict. A non-idempotent request may be retried only
 * after NotRun.
 */
enum class Verdict {
    Done,       ///< The backend server ran the request and its complete response was received.
    NotRun,     ///< The backend server certainly did not run the request.
    MayHaveRun, ///< It is unknown whether the backend server ran the request.
};

/** Returns the name used in headers and logs: "done", "not-run" or "may-have-run". */
std::string_view verdictName(Verdict verdict);

/** Parses a name from verdictName(). Unknown names give MayHaveRun, the safe assumption. */
Verdict verdictFromName(std::string_view name);

} // namespace jacinthshift

#endif // CORE_VERDICT_H
