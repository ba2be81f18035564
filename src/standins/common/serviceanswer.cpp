#include "serviceanswer.h"

#include "answertext.h"
#include "contenthash.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

std::string serviceAnswer(std::string_view method, std::string_view target, std::string_view body)
{
    constexpr std::int64_t kWords = 6;
    const std::string hash = serviceCallHash(target, body);
    const nlohmann::ordered_json document{
        {"method", method},
        {"item", lastPathSegment(target)},
        {"call", hash},
        {"answer", AnswerText(hash).tokens(kWords)},
    };
    return document.dump();
}

}
