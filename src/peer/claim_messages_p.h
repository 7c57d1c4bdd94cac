#pragma once

#include "claim_table_p.h"

#include <nlohmann/json.hpp>

/// JSON forms of the messages between entries. Times cross as remaining milliseconds, since clocks differ by machine;
/// the way adds to them, so a claim is never forgotten early. The readers throw nlohmann::json::exception.
namespace vanillalift {

nlohmann::json toJson(const ClaimKey& key);
ClaimKey claimKeyFromJson(const nlohmann::json& value);

nlohmann::json toJson(const ClaimAttempt& attempt);
ClaimAttempt claimAttemptFromJson(const nlohmann::json& value);

nlohmann::json toJson(const KeyedClaim& claim, TimePoint now);
/// @returns when a claim of a message expires; its "retain_ms" is bounded.
TimePoint claimExpiryFromJson(const nlohmann::json& value, TimePoint now);
KeyedClaim keyedClaimFromJson(const nlohmann::json& value, TimePoint now);

/// Outcomes cross as base64 of CBOR, because bodies and headers need not be UTF-8.
std::string encodeOutcome(const Outcome& outcome);
Outcome decodeOutcome(const std::string& text);

} // namespace vanillalift
