#pragma once

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// Source of random numbers. It is passed to the classes that need one, so that tests are repeatable.
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /// A uniformly distributed number from 0 to `bound` - 1; zero when `bound` is zero.
    virtual std::uint64_t below(std::uint64_t bound) = 0;

    /// A uniformly distributed number from [0, 1).
    virtual double fraction() = 0;

    /// A new random name of 16 hexadecimal digits, for incarnations, attempts and portions.
    virtual std::string freshName() = 0;
};

}
