#ifndef SERVERS_HEADER_NAMES_H
#define SERVERS_HEADER_NAMES_H

#include <string>

namespace jacinthshift {

/** The names of the HTTP headers that callers, nodes and backend servers exchange. */
struct HeaderNames
{
    std::string requestId;        ///< Identifies one attempt of a caller; echoed in responses.
    std::string deadline;         ///< How long the caller still waits, in milliseconds.
    std::string expectedInstance; ///< The only backend server that may run the request.
    std::string callerService;    ///< The service on whose VM the request originated.
    std::string notRun;           ///< In a response: the backend server did not run the request.
    std::string seal;             ///< In a response: it was written by the backend server itself.
    std::string load;             ///< Running and queued requests, and slots.
    std::string instance;         ///< The id of the backend server that responds.
    std::string coldMilliseconds; ///< How long the backend server stays cold, in milliseconds.
    std::string retryAfter;       ///< After how many seconds a rejected caller may retry.
};

} // namespace jacinthshift

#endif // SERVERS_HEADER_NAMES_H
