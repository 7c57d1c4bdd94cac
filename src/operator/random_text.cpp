#include "random_text_p.h"

#include <openssl/rand.h>

#include <stdexcept>
#include <vector>

namespace vanillalift {

std::string randomHex(size_t bytes)
{
    std::vector<unsigned char> random(bytes);
    if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1)
        throw std::runtime_error("the random generator of OpenSSL is not seeded");
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    for (auto it : random) {
        text.push_back(digits[it >> 4U]);
        text.push_back(digits[it & 15U]);
    }
    return text;
}

} // namespace vanillalift
