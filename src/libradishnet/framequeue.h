#pragma once

#include <string>
#include <vector>

namespace RadishSwitch
{

/// Frames on their way out, as the bytes that go on the wire: each behind its length in 4 bytes, big-endian.
class FrameQueue
{
public:
    void push(std::string frame);

    /// Bytes on the wire, length prefixes counted in.
    std::size_t bytes() const;

    /// Moves up to `limit` bytes of the queue's front to the end of `output`.
    void take(std::string &output, std::size_t limit);

    void clear();

private:
    void dropSentFrames();

    std::vector<std::string> m_frames;
    std::size_t m_front = 0;
    /// Bytes of the front frame, its prefix among them, that have been taken.
    std::size_t m_taken = 0;
    std::size_t m_bytes = 0;
};

}
