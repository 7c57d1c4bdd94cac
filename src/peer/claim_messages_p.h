#pragma once

#include "claim_table_p.h"

#include <nlohmann/json.hpp>

/// JSON encoding of the messages between entries. Times are sent as remaining milliseconds, since clocks differ between
/// machines; the transfer delay only postpones an expiry, so a claim never expires early. Decoding a malformed value throws
/// nlohmann::json::exception.
namespace vanillalift {

nlohmann::json toJson(const ClaimKey& key);
ClaimKey claimKeyFromJson(const nlohmann::json& value);

nlohmann::json toJson(const ClaimAttempt& attempt);
ClaimAttempt claimAttemptFromJson(const nlohmann::json& value);

nlohmann::json toJson(const KeyedClaim& claim, TimePoint now);
/// @returns when the claim of a message expires. "retain_ms" is clamped to 0 to 48 hours.
TimePoint claimExpiryFromJson(const nlohmann::json& value, TimePoint now);
KeyedClaim keyedClaimFromJson(const nlohmann::json& value, TimePoint now);

/// Outcomes are encoded as base64 of CBOR, because bodies and headers need not be UTF-8.
std::string encodeOutcome(const Outcome& outcome);
Outcome decodeOutcome(const std::string& text);

} // namespace vanillalift
