#include "streamproof.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kNonceBytes = 16;
constexpr std::size_t kCodeBytes = 32;
constexpr std::size_t kProofBytes = kNonceBytes + kCodeBytes;
constexpr std::size_t kEncodedBytes = kProofBytes / 3 * 4;

static_assert(kProofBytes % 3 == 0, "the base64 form has no padding");

/// Writes the message code of path and nonce behind the nonce.
void appendCode(const std::string &key, std::string_view path, unsigned char *nonce)
{
    std::string message(path);
    message.append(reinterpret_cast<const char *>(nonce), kNonceBytes);
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(message.data()), message.size(), nonce + kNonceBytes, &n);
}

}

StreamProof::StreamProof(std::string fleetKey)
    : m_fleetKey(std::move(fleetKey))
{
}

std::string StreamProof::make(std::string_view path) const
{
    std::array<unsigned char, kProofBytes> proof;
    if (RAND_bytes(proof.data(), kNonceBytes) != 1) {
        std::abort();
    }
    appendCode(m_fleetKey, path, proof.data());
    // EVP_EncodeBlock ends its output with a zero byte.
    std::array<unsigned char, kEncodedBytes + 1> buf;
    EVP_EncodeBlock(buf.data(), proof.data(), proof.size());
    return std::string(reinterpret_cast<const char *>(buf.data()), kEncodedBytes);
}

bool StreamProof::isValid(std::string_view path, std::string_view proof) const
{
    if (proof.size() != kEncodedBytes) {
        return false;
    }
    std::array<unsigned char, kProofBytes> given;
    const auto *encoded = reinterpret_cast<const unsigned char *>(proof.data());
    if (EVP_DecodeBlock(given.data(), encoded, kEncodedBytes) != static_cast<int>(kProofBytes)) {
        return false;
    }
    std::array<unsigned char, kProofBytes> expected = given;
    appendCode(m_fleetKey, path, expected.data());
    return CRYPTO_memcmp(given.data(), expected.data(), kProofBytes) == 0;
}

}
