#include "claim_messages_p.h"

#include <algorithm>

#include <openssl/evp.h>

namespace vanillalift {

namespace {

    nlohmann::json attemptsToJson(const std::vector<ClaimAttempt>& attempts)
    {
        auto value = nlohmann::json::array();
        for (const auto& it : attempts)
            value.push_back(toJson(it));
        return value;
    }

    /// retryAt is left out: a time of this machine's clock has no meaning on another.
    struct OutcomeToJson {
        nlohmann::json operator()(const Answered& it) const { return { { "status", it.status }, { "headers", it.headers }, { "body", it.body } }; }
        nlohmann::json operator()(const NotRun& it) const { return { { "reason", it.reason }, { "detail", it.detail } }; }
        nlohmann::json operator()(const Unknown& it) const { return { { "reason", it.reason }, { "detail", it.detail } }; }
    };

} // namespace

nlohmann::json toJson(const ClaimKey& key) { return nlohmann::json::array({ key.team, key.service, key.requestId }); }

ClaimKey claimKeyFromJson(const nlohmann::json& value)
{
    return { value.at(0).get<std::string>(), value.at(1).get<std::string>(), value.at(2).get<std::string>() };
}

nlohmann::json toJson(const ClaimAttempt& attempt)
{
    return nlohmann::json::array({ attempt.entry, attempt.incarnation, attempt.number });
}

ClaimAttempt claimAttemptFromJson(const nlohmann::json& value)
{
    return { value.at(0).get<std::string>(), value.at(1).get<uint64_t>(), value.at(2).get<uint64_t>() };
}

nlohmann::json toJson(const KeyedClaim& claim, TimePoint now)
{
    std::vector<ClaimAttempt> grantedVotes;
    grantedVotes.reserve(claim.record.grantedVotes.size());
    for (const auto& it : claim.record.grantedVotes)
        grantedVotes.push_back(it.attempt);
    nlohmann::json value { { "key", toJson(claim.key) }, { "holds", attemptsToJson(grantedVotes) }, { "closed", attemptsToJson(claim.record.aborted) },
        { "retain_ms", millisecondsUntil(claim.record.expiry, now) + 1 } };
    if (claim.record.settled)
        value["settled"] = toJson(*claim.record.settled);
    return value;
}

TimePoint claimExpiryFromJson(const nlohmann::json& value, TimePoint now)
{
    // More than the longest timeout plus retention of a profile. Without the bound, a large value would overflow the clock.
    constexpr std::chrono::milliseconds maxRetention = std::chrono::hours(48);
    auto retainMs = std::clamp<int64_t>(value.at("retain_ms").get<int64_t>(), 0, maxRetention.count());
    return now + std::chrono::milliseconds(retainMs);
}

KeyedClaim keyedClaimFromJson(const nlohmann::json& value, TimePoint now)
{
    KeyedClaim claim { claimKeyFromJson(value.at("key")), {} };
    for (const auto& it : value.at("holds"))
        claim.record.grantedVotes.push_back({ claimAttemptFromJson(it), true });
    for (const auto& it : value.at("closed"))
        claim.record.aborted.push_back(claimAttemptFromJson(it));
    if (value.contains("settled"))
        claim.record.settled = claimAttemptFromJson(value.at("settled"));
    claim.record.expiry = claimExpiryFromJson(value, now);
    return claim;
}

std::string encodeOutcome(const Outcome& outcome)
{
    auto bytes = nlohmann::json::to_cbor(nlohmann::json::array({ outcome.index(), std::visit(OutcomeToJson {}, outcome) }));
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes.data(), static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(n));
    return text;
}

Outcome decodeOutcome(const std::string& text)
{
    std::vector<uint8_t> bytes(text.size() / 4 * 3 + 3);
    auto n = EVP_DecodeBlock(bytes.data(), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    bytes.resize(static_cast<size_t>(std::max(n, 0)));
    // EVP_DecodeBlock decodes the padding to zero bytes after the value; non-strict parsing ignores them.
    auto value = nlohmann::json::from_cbor(bytes, false);
    const auto& fields = value.at(1);
    if (value.at(0) == 0)
        return Answered { fields.at("status").get<int>(), fields.at("headers").get<std::vector<Header>>(), fields.at("body").get<std::string>() };
    auto reason = fields.at("reason").get<Reason>();
    if (reason >= Reason::ReasonCount)
        reason = Reason::InternalError;
    if (value.at(0) == 1)
        return NotRun { reason, fields.at("detail").get<std::string>(), {} };
    return Unknown { reason, fields.at("detail").get<std::string>(), {} };
}

} // namespace vanillalift
