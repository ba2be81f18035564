#include "contenthash.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

namespace RadishSwitch
{

std::string contentHash(std::string_view text)
{
    return absl::StrFormat("%016x", XXH3_64bits(text.data(), text.size()));
}

std::string serviceCallHash(std::string_view target, std::string_view body)
{
    std::string text(lastPathSegment(target));
    text += '\n';
    text += body;
    return contentHash(text);
}

std::string_view lastPathSegment(std::string_view target)
{
    target = target.substr(0, target.find('?'));
    const auto slash = target.rfind('/');
    return slash == std::string_view::npos ? target : target.substr(slash + 1);
}

}
