#ifndef MODULES_CONFIG_CONFIG_JSON_H
#define MODULES_CONFIG_CONFIG_JSON_H

#include <nlohmann/json.hpp>

#include "modules/config/config_state.h"

// Conversion functions that nlohmann::json calls. from_json throws nlohmann::json::exception on bad
// input, so only ConfigCodec and printing code include this header.
namespace jacinthshift {

void to_json(nlohmann::json &json, const RouteSpec &route);
void from_json(const nlohmann::json &json, RouteSpec &route);
void to_json(nlohmann::json &json, const ServiceSpec &spec);
void from_json(const nlohmann::json &json, ServiceSpec &spec);
void to_json(nlohmann::json &json, const ReleasePlan &plan);
void from_json(const nlohmann::json &json, ReleasePlan &plan);
void to_json(nlohmann::json &json, const Release &release);
void from_json(const nlohmann::json &json, Release &release);
void to_json(nlohmann::json &json, const ServiceEntry &entry);
void from_json(const nlohmann::json &json, ServiceEntry &entry);
void to_json(nlohmann::json &json, const DomainEntry &entry);
void from_json(const nlohmann::json &json, DomainEntry &entry);
void to_json(nlohmann::json &json, const RecordOutcome &outcome);
void from_json(const nlohmann::json &json, RecordOutcome &outcome);
void to_json(nlohmann::json &json, const RecordHeader &header);
void from_json(const nlohmann::json &json, RecordHeader &header);
void to_json(nlohmann::json &json, const ServiceChange &change);
void from_json(const nlohmann::json &json, ServiceChange &change);
void to_json(nlohmann::json &json, const ServiceRemoval &removal);
void from_json(const nlohmann::json &json, ServiceRemoval &removal);

/** Returns the name of a release status: open, finished, closed or withdrawn. */
std::string releaseStatusName(ReleaseStatus status);

} // namespace jacinthshift

#endif // MODULES_CONFIG_CONFIG_JSON_H
