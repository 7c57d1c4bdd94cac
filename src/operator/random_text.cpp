#include "random_text_p.h"

#include <openssl/rand.h>

#include <stdexcept>
#include <vector>

namespace vanillalift {

std::string randomHex(size_t bytes)
{
    std::vector<unsigned char> buf(bytes);
    if (RAND_bytes(buf.data(), static_cast<int>(buf.size())) != 1)
        throw std::runtime_error("the random number generator of OpenSSL is not seeded");
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    for (auto it : buf) {
        text.push_back(digits[it >> 4U]);
        text.push_back(digits[it & 15U]);
    }
    return text;
}

} // namespace vanillalift
