#include "systemrandom.h"

#include <openssl/rand.h>

#include <array>
#include <cstdlib>

namespace RadishSwitch
{

namespace
{

std::mt19937_64 seededEngine()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device(), device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

}

SystemRandom::SystemRandom()
    : m_engine(seededEngine())
{
}

std::uint64_t SystemRandom::below(std::uint64_t bound)
{
    if (bound == 0) {
        return 0;
    }
    const std::lock_guard lock(m_mutex);
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

double SystemRandom::fraction()
{
    constexpr int kUnusedBits = 11;
    constexpr double kStep = 0x1.0p-53;
    const std::lock_guard lock(m_mutex);
    return static_cast<double>(m_engine() >> kUnusedBits) * kStep;
}

std::string SystemRandom::freshName()
{
    std::array<unsigned char, 8> bytes;
    if (RAND_bytes(bytes.data(), bytes.size()) != 1) {
        // Without random bytes two portions could get one name, and the tokens of one be billed to the other.
        std::abort();
    }
    constexpr char kDigits[] = "0123456789abcdef";
    std::string name;
    for (const unsigned char byte : bytes) {
        name += kDigits[byte >> 4];
        name += kDigits[byte & 0xf];
    }
    return name;
}

}
