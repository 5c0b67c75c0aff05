#ifndef AUBURNYARD_SRC_CORE_RECORD_CODEC_H_
#define AUBURNYARD_SRC_CORE_RECORD_CODEC_H_

#include <string>
#include <string_view>

#include "auburnyard/decision.h"

namespace auburnyard::detail {

/// Appends the compact encoding of a record, without its decision identifier.
/// The encoding is only used within one process and not stored.
void EncodeRecord(const DecisionRecord& record, std::string& out);
/// Reads one record and removes it from the front of `in_service`.
DecisionRecord DecodeRecord(std::string_view& in);

}  // namespace auburnyard::detail

#endif  // AUBURNYARD_SRC_CORE_RECORD_CODEC_H_
