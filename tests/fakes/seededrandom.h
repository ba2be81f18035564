#pragma once

#include "base/randomsource.h"

#include <cstdio>
#include <random>

/// A random source with a fixed seed: its numbers are the same on every run.
class SeededRandom : public RadishSwitch::RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed = 1)
        : m_engine(seed)
    {
    }

    std::uint64_t below(std::uint64_t bound) override
    {
        return bound == 0 ? 0 : m_engine() % bound;
    }

    double fraction() override
    {
        return static_cast<double>(m_engine() >> 11) * 0x1.0p-53;
    }

    std::string freshName() override
    {
        char buf[17];
        std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(m_engine()));
        return buf;
    }

private:
    std::mt19937_64 m_engine;
};
