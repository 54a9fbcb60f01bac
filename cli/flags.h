#ifndef CLI_FLAGS_H
#define CLI_FLAGS_H

#include <gflags/gflags.h>

DECLARE_string(settings);
DECLARE_string(answers);
DECLARE_string(node);
DECLARE_string(log);
DECLARE_string(output);
DECLARE_string(operator);
DECLARE_string(remove);
DECLARE_string(within);
DECLARE_string(wait);
DECLARE_string(reason);
DECLARE_string(window);
DECLARE_bool(check_only);

#endif // CLI_FLAGS_H
