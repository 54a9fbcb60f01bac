#include "cli/flags.h"

DEFINE_string(settings, "", "the YAML file with a node's settings");
DEFINE_string(answers, "", "the YAML file with the answers to the questionnaire");
DEFINE_string(node, "", "IP:PORT of the local interface of any node");
DEFINE_string(log, "", "IP:PORT of the platform's log");
DEFINE_string(output, "text", "how results are printed: text or json");
DEFINE_string(operator, "operator", "the author under whose name changes are recorded");
DEFINE_string(remove, "", "services to remove, separated by commas");
DEFINE_string(within, "7s", "how long a change may take to be in force everywhere");
DEFINE_string(wait, "", "how long to wait for a release to finish; no wait if empty");
DEFINE_string(reason, "withdrawn by an operator", "why a release is withdrawn");
DEFINE_string(window, "24h", "the time that a report covers, counted back from now");
DEFINE_bool(check_only, false, "check the settings and stop");
