#include "base/fingerprint.h"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

namespace RadishSwitch
{

std::string sha256Hex(std::string_view text)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest);
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(digest), sizeof digest));
}

}
