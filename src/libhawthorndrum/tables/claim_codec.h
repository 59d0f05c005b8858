/// The CBOR form of claim records, shared by stored buckets and peer messages.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "tables/claim_record.h"

namespace hawthorndrum {

nlohmann::json RecordToJson(const claim_record& record);
/** Returns false when a field is missing or of the wrong type. */
bool RecordFromJson(const nlohmann::json& item, claim_record& record);

nlohmann::json AnswerToJson(const http_answer& answer);
bool AnswerFromJson(const nlohmann::json& item, http_answer& answer);

}  // namespace hawthorndrum
