//----------------------------------------------------------------------------------------------------------------------
// spurlug: hash functions for placement (XXH3) and content (SHA-256)
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/hash.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_format.h>
#include <array>
#include <cstring>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace spurlug::core
{

std::uint64_t fastHash(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    return absl::BytesToHexString({reinterpret_cast<const char *>(digest.data()), digest.size()});
}

Digest digestOf(std::initializer_list<std::string_view> texts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const auto text : texts) {
        const std::uint64_t size = text.size();
        EVP_DigestUpdate(context.get(), &size, sizeof size);
        EVP_DigestUpdate(context.get(), text.data(), text.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    EVP_DigestFinal_ex(context.get(), bytes.data(), nullptr);
    Digest digest;
    std::memcpy(&digest.high, bytes.data(), sizeof digest.high);
    std::memcpy(&digest.low, bytes.data() + sizeof digest.high, sizeof digest.low);
    return digest;
}

std::string toHex(const Digest &digest)
{
    return absl::StrFormat("%016x%016x", digest.high, digest.low);
}

std::string hmacSha256(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(bytes.data()),
         bytes.size(), digest.data(), &size);
    return {reinterpret_cast<const char *>(digest.data()), size};
}

bool equalInConstantTime(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace spurlug::core
