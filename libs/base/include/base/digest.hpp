#pragma once

#include <string>
#include <string_view>

namespace cuminledge {

/// @return SHA-256 of the data as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// @return HMAC-SHA-256 of the data under the secret, as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view secret, std::string_view data);

/// Compares in a time that does not depend on where the texts differ.
bool equalConstantTime(std::string_view left, std::string_view right);

/// @return `bytes` random bytes from the system's generator, as hexadecimal digits. For keys, salts and incarnations;
///         only programs' main functions and hosts call it, never the reducer.
std::string randomHex(std::size_t bytes);

} // namespace cuminledge
