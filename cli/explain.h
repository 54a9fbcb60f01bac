#ifndef CLI_EXPLAIN_H
#define CLI_EXPLAIN_H

#include <istream>
#include <string>
#include <vector>

#include "cli/exit_code.h"

namespace jacinthshift {

/** One log line of a node about a request. */
struct RequestLogLine
{
    std::int64_t at = 0; ///< Unix milliseconds by the writing node's clock.
    std::string node;
    std::string name;   ///< The event's name.
    std::string fields; ///< The event's own fields, as " key=value" pairs.
};

/**
 * Collects the lines about a request from the logs of several nodes, sorted by time. Text in front
 * of a line's JSON object is ignored, and so are lines without a '{'. Lines that contain the
 * request's id but whose JSON object is malformed or has no "request" string are left out and
 * counted in unparsable.
 */
std::vector<RequestLogLine> collectRequestLog(const std::string &requestId,
                                              const std::vector<std::istream *> &logs,
                                              std::size_t &unparsable);

/** explain ID FILE...: prints the log lines about a request. */
ExitCode runExplain(const std::vector<std::string> &arguments);

} // namespace jacinthshift

#endif // CLI_EXPLAIN_H
