#include "base/apikeyhash.h"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

namespace RadishSwitch
{

std::string apiKeyHash(std::string_view key)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest);
    return absl::BytesToHexString(std::string(reinterpret_cast<const char *>(digest), sizeof digest));
}

}
