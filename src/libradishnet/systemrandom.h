#pragma once

#include "base/randomsource.h"

#include <mutex>
#include <random>

namespace RadishSwitch
{

/// Random numbers of a running process, from a seed of the operating system. Safe on any thread.
class SystemRandom : public RandomSource
{
public:
    SystemRandom();

    std::uint64_t below(std::uint64_t bound) override;
    double fraction() override;

    /// From OpenSSL's generator: names must stay unique over the whole fleet, also when two processes start from the
    /// same weak seed.
    std::string freshName() override;

private:
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
};

}
