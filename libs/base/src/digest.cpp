#include <base/digest.hpp>

#include <array>
#include <stdexcept>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace cuminledge {

namespace {

    std::string toHex(const unsigned char* data, std::size_t size)
    {
        static constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        text.reserve(size * 2);
        for (std::size_t i = 0; i < size; ++i) {
            text += digits[data[i] >> 4U];
            text += digits[data[i] & 15U];
        }
        return text;
    }

    const unsigned char* bytesOf(std::string_view text)
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(bytesOf(data), data.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

std::string hmacSha256Hex(std::string_view secret, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytesOf(data), data.size(), digest.data(), &length);
    return toHex(digest.data(), length);
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("the system's random generator failed");
    }
    return toHex(buffer.data(), buffer.size());
}

} // namespace cuminledge
