#ifndef MODULES_CONFIG_PUBLICATION_H
#define MODULES_CONFIG_PUBLICATION_H

#include "modules/config/answers.h"
#include "modules/config/config_state.h"

namespace jacinthshift {

/**
 * Returns the record body that changes the state to match the answers. It contains only the
 * services that differ, with one release plan that combines the strictest settings of those
 * that exist already. Services that the answers do not describe stay unchanged, whether they
 * belong to other teams or not, unless `removals` lists them.
 */
PublishRecord makePublication(const Answers &answers, const ConfigState &state,
                              const std::vector<std::string> &removals);

} // namespace jacinthshift

#endif // MODULES_CONFIG_PUBLICATION_H
