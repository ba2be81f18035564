#include "apikey.h"

#include "base/failure.h"

#include <absl/strings/escaping.h>
#include <openssl/rand.h>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kKeyBytes = 32;
constexpr char kKeyPrefix[] = "rsk-";

}

absl::StatusOr<std::string> makeApiKey()
{
    std::string bytes(kKeyBytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(bytes.size())) != 1) {
        return makeFailure(FailureCode::Internal, "no random bytes could be had for a key");
    }
    return kKeyPrefix + absl::BytesToHexString(bytes);
}

}
