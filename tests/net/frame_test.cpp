#include "frameassembler.h"
#include "framequeue.h"
#include "streamproof.h"

#include <gtest/gtest.h>

#include <vector>

using namespace RadishSwitch;

namespace
{

constexpr std::size_t kMaximumFrameBytes = 1000;

/// Cuts what the queue gives into frames again, `step` bytes at a time.
std::vector<std::string> passThrough(FrameQueue &queue, std::size_t step)
{
    FrameAssembler assembler(kMaximumFrameBytes);
    std::vector<std::string> frames;
    while (queue.bytes() > 0) {
        std::string bytes;
        queue.take(bytes, step);
        std::string_view data = bytes;
        while (auto frame = assembler.next(data)) {
            frames.push_back(std::move(*frame));
        }
        EXPECT_TRUE(data.empty());
    }
    EXPECT_TRUE(assembler.isAtBoundary());
    return frames;
}

}

TEST(FrameTest, frames_cutAnywhere_comeOutWhole)
{
    const std::vector<std::string> frames{"one", "", std::string(kMaximumFrameBytes, 'x'), "last"};
    for (std::size_t step = 1; step < 1100; ++step) {
        FrameQueue queue;
        for (const std::string &frame : frames) {
            queue.push(frame);
        }
        ASSERT_EQ(passThrough(queue, step), frames) << "step " << step;
    }
}

TEST(FrameTest, queue_neverEmpty_keepsOrder)
{
    FrameQueue queue;
    FrameAssembler assembler(kMaximumFrameBytes);
    int expected = 0;
    queue.push("0");
    for (int n = 1; n < 5000; ++n) {
        queue.push(std::to_string(n));
        std::string bytes;
        queue.take(bytes, 4 + std::to_string(expected).size());
        std::string_view data = bytes;
        ASSERT_EQ(assembler.next(data), std::to_string(expected));
        ++expected;
    }
}

TEST(FrameTest, assembler_lengthAboveMaximum_refuses)
{
    const FramePrefix prefix = framePrefix(kMaximumFrameBytes + 1);
    FrameAssembler assembler(kMaximumFrameBytes);
    std::string_view data(prefix.data(), prefix.size());

    EXPECT_EQ(assembler.next(data), std::nullopt);
    EXPECT_TRUE(assembler.isTooLarge());
}

TEST(StreamProofTest, proof_checked_holdsForItsPathAndKeyOnly)
{
    const StreamProof proof("key");
    const std::string made = proof.make("/run");

    EXPECT_TRUE(proof.isValid("/run", made));
    EXPECT_FALSE(proof.isValid("/bar", made));
    EXPECT_FALSE(proof.isValid("/run", ""));
    EXPECT_FALSE(proof.isValid("/run", std::string(made.size(), '!')));
    EXPECT_FALSE(StreamProof("other").isValid("/run", made));
    EXPECT_NE(proof.make("/run"), made);
}
