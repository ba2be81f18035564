#pragma once

#include "base/failure.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <string>

namespace RadishSwitch
{

/// How requests ended at this process, by cause.
class RequestCounts
{
public:
    void noteAnswered();
    void noteRefused(FailureCode code);

    std::uint64_t answered() const;

    /// Refusals by the stable names of their causes; those that never happened are left out.
    std::map<std::string, std::uint64_t> refusals() const;

private:
    static constexpr std::size_t kCodes = static_cast<std::size_t>(FailureCode::InvalidSettings) + 1;

    std::atomic<std::uint64_t> m_answered = 0;
    std::array<std::atomic<std::uint64_t>, kCodes> m_refused{};
};

}
