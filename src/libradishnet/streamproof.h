#pragma once

#include <string>
#include <string_view>

namespace RadishSwitch
{

/// The proof that the opener of a stream knows the fleet's key: a fresh nonce with the HMAC-SHA256 of path and nonce,
/// base64.
///
/// It keeps strangers out, not eavesdroppers: whoever reads the wire can replay a proof on the same path. Where the
/// network isn't trusted, turn TLS on.
class StreamProof
{
public:
    explicit StreamProof(std::string fleetKey);

    std::string make(std::string_view path) const;

    /// Compares in constant time.
    bool isValid(std::string_view path, std::string_view proof) const;

private:
    std::string m_fleetKey;
};

}
