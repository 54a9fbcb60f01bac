#ifndef MODULES_CONFIG_CONFIG_CODEC_H
#define MODULES_CONFIG_CONFIG_CODEC_H

#include <string>

#include <absl/status/statusor.h>

#include "modules/config/config_record.h"
#include "modules/config/config_state.h"

namespace jacinthshift {

/**
 * Encodes and decodes records and snapshots as JSON. Decoding malformed input returns
 * InvalidArgument and never throws.
 */
class ConfigCodec
{
public:
    static constexpr std::size_t MaxRecordBytes = 1024 * 1024;
    static constexpr std::size_t MaxSnapshotBytes = 64 * 1024 * 1024;

    static std::string encodeRecord(const ConfigRecord &record);
    static absl::StatusOr<ConfigRecord> decodeRecord(const std::string &text);

    /** Encodes the whole state with a hash of its content. Equal states have equal encodings. */
    static std::string encodeSnapshot(const ConfigState &state);
    /** Decodes a snapshot. Returns DataLoss if its content does not match its hash. */
    static absl::StatusOr<ConfigState> decodeSnapshot(const std::string &text);
};

} // namespace jacinthshift

#endif // MODULES_CONFIG_CONFIG_CODEC_H
