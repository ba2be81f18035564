#pragma once

#include "base/timerservice.h"
#include "httpmessages.h"
#include "loadsettings.h"
#include "tryrecord.h"

#include <cstdint>
#include <random>
#include <string>

namespace RadishSwitch
{

/// One request that a caller wants answered, with what its answer must be.
struct Call {
    std::string id;
    /// Empty when the caller gives none.
    std::string key;
    LoadOrganisation organisation;
    CallKind kind = CallKind::Chat;
    bool isStreamed = false;
    bool isDuplicated = false;
    bool isSlowReader = false;
    HttpRequest request;
    std::string contentHash;
    std::string expectedAnswer;
    std::int64_t expectedPromptTokens = 0;
    std::int64_t expectedCompletionTokens = 0;
    std::int64_t worstCaseTokens = 0;
};

/// Draws the calls of a load. The same settings give the same calls in the same order.
class CallFactory
{
public:
    explicit CallFactory(const LoadSettings &settings);

    Call next();

    /// The time to the next arrival of an open loop.
    Duration arrivalInterval();

private:
    bool draw(double share);
    const LoadOrganisation &drawOrganisation();
    std::string words(std::uint64_t seed, int count) const;
    void makeChat(Call &call);
    void makeServiceCall(Call &call);

    const LoadSettings &m_settings;
    std::mt19937_64 m_random;
    std::int64_t m_count = 0;
};

}
