#ifndef MODULES_CONFIG_ANSWERS_H
#define MODULES_CONFIG_ANSWERS_H

#include <chrono>
#include <string>
#include <vector>

#include "modules/config/service_spec.h"
#include "modules/yaml/yaml_section.h"

namespace jacinthshift {

/** How gradually a change to a service is released to callers; later values are stricter. */
enum class CareLevel { Immediate, Careful, Cautious };

/** A team's answers about one service. */
struct ServiceAnswers
{
    ServiceSpec spec;
    CareLevel care = CareLevel::Careful;
    std::chrono::milliseconds finishWithin{0}; ///< From publication to the deadline.
    ThinEvidence thinEvidence = ThinEvidence::Finish;
};

/** A team's answers to the questionnaire. */
struct Answers
{
    std::string team;
    std::vector<std::string> failureDomains;
    std::vector<ServiceAnswers> services;
};

/** Returns a questionnaire template in YAML with explanatory comments and example values. */
std::string questionnaireText();

/** Reads and validates an answers file. Adds each problem found, with file and line. */
Answers readAnswers(const std::string &file, Problems &problems);

/** Returns the release plan for a care level and a time limit. */
ReleasePlan planForCare(CareLevel care, std::chrono::milliseconds finishWithin,
                        ThinEvidence thinEvidence);

} // namespace jacinthshift

#endif // MODULES_CONFIG_ANSWERS_H
