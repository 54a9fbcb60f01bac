#ifndef SERVERS_HEADER_NAMES_H
#define SERVERS_HEADER_NAMES_H

#include <string>

namespace jacinthshift {

/** How the headers are called that callers, nodes and backend servers exchange. */
struct HeaderNames
{
    std::string requestId;        ///< Names one try of a caller; repeated in answers.
    std::string deadline;         ///< Milliseconds that the caller still waits.
    std::string expectedInstance; ///< The only backend server that may run the request.
    std::string callerService;    ///< The service on whose VM the request began.
    std::string notRun;           ///< In an answer: the backend server did not run the request.
    std::string seal;             ///< Marks an answer as a backend server's own.
    std::string load;             ///< Running and waiting requests and slots.
    std::string instance;         ///< The id of the backend server that answers.
    std::string coldMilliseconds; ///< How long the backend server stays cold.
    std::string retryAfter;       ///< Seconds until a refused caller may return.
};

} // namespace jacinthshift

#endif // SERVERS_HEADER_NAMES_H
