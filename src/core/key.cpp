#include <vanillalift/catalog.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace vanillalift {

namespace {

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        return -1;
    }

    std::optional<std::string> fromHex(std::string_view text)
    {
        if (text.size() % 2 != 0)
            return std::nullopt;
        std::string bytes;
        for (size_t n = 0; n < text.size(); n += 2) {
            int high = hexDigit(text[n]);
            int low = hexDigit(text[n + 1]);
            if (high < 0 || low < 0)
                return std::nullopt;
            bytes.push_back(static_cast<char>(high * 16 + low));
        }
        return bytes;
    }

    std::string toHex(const std::array<unsigned char, SHA256_DIGEST_LENGTH>& bytes)
    {
        constexpr const char* digits = "0123456789abcdef";
        std::string text;
        for (auto it : bytes) {
            text.push_back(digits[it >> 4U]);
            text.push_back(digits[it & 15U]);
        }
        return text;
    }

} // namespace

std::optional<std::string> hashKeySecret(std::string_view saltHex, std::string_view secret)
{
    auto salted = fromHex(saltHex);
    if (!salted)
        return std::nullopt;
    salted->append(secret);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(salted->data()), salted->size(), digest.data());
    return toHex(digest);
}

KeyCheck checkKey(const Catalog& catalog, std::string_view presented)
{
    auto dot = presented.find('.');
    if (dot == std::string_view::npos)
        return {};
    const auto* key = catalog.findKey(presented.substr(0, dot));
    if (!key)
        return {};
    auto hash = hashKeySecret(key->salt, presented.substr(dot + 1));
    if (!hash || hash->size() != key->hash.size() || CRYPTO_memcmp(hash->data(), key->hash.data(), hash->size()) != 0)
        return {};
    return { key->withdrawn ? KeyVerdict::Withdrawn : KeyVerdict::Accepted, catalog.findTeam(key->team) };
}

} // namespace vanillalift
