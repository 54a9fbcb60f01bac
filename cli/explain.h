#ifndef CLI_EXPLAIN_H
#define CLI_EXPLAIN_H

#include <istream>
#include <string>
#include <vector>

#include "cli/exit_code.h"

namespace jacinthshift {

/** One log line about a request. */
struct ExplainedLine
{
    std::int64_t at = 0; ///< Unix milliseconds by the writing node's clock.
    std::string node;
    std::string name;   ///< Of the event.
    std::string fields; ///< The event's own fields, as "key=value" words.
};

/**
 * Collects the lines about a request from the logs of several nodes, in the order of time. Text in
 * front of a line's object and lines that cannot be read are passed over; skipped counts the
 * latter.
 */
std::vector<ExplainedLine> linesAbout(const std::string &requestId,
                                      const std::vector<std::istream *> &logs,
                                      std::size_t &skipped);

/** explain ID FILE...: prints what the nodes decided about a request. */
ExitCode runExplain(const std::vector<std::string> &arguments);

} // namespace jacinthshift

#endif // CLI_EXPLAIN_H
