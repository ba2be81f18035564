#pragma once

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// The source of random numbers, passed in so that a test repeats.
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /// A number evenly drawn from 0 to `bound` - 1; zero when `bound` is zero.
    virtual std::uint64_t below(std::uint64_t bound) = 0;

    /// A number evenly drawn from [0, 1).
    virtual double fraction() = 0;

    /// A fresh name of 16 hexadecimal digits, for incarnations, attempts and portions.
    virtual std::string freshName() = 0;
};

}
