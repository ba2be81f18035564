#include "framequeue.h"

#include "frameformat.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// A queue that never runs empty drops the frames it has sent once there are so many.
constexpr std::size_t kMaximumSentFrames = 256;

}

void FrameQueue::push(std::string frame)
{
    m_bytes += kFramePrefixBytes + frame.size();
    m_frames.push_back(std::move(frame));
}

std::size_t FrameQueue::bytes() const
{
    return m_bytes;
}

void FrameQueue::take(std::string &output, std::size_t limit)
{
    while (limit > 0 && m_front < m_frames.size()) {
        const std::string &frame = m_frames[m_front];
        std::size_t n = 0;
        if (m_taken < kFramePrefixBytes) {
            const FramePrefix prefix = framePrefix(frame.size());
            n = std::min(limit, kFramePrefixBytes - m_taken);
            output.append(prefix.data() + m_taken, n);
        } else {
            const std::size_t offset = m_taken - kFramePrefixBytes;
            n = std::min(limit, frame.size() - offset);
            output.append(frame, offset, n);
        }
        m_taken += n;
        m_bytes -= n;
        limit -= n;
        if (m_taken == kFramePrefixBytes + frame.size()) {
            m_frames[m_front] = {};
            ++m_front;
            m_taken = 0;
        }
    }
    dropSentFrames();
}

void FrameQueue::dropSentFrames()
{
    if (m_front == m_frames.size()) {
        m_frames.clear();
        m_front = 0;
    } else if (m_front >= kMaximumSentFrames && m_front * 2 >= m_frames.size()) {
        m_frames.erase(m_frames.begin(), m_frames.begin() + static_cast<std::ptrdiff_t>(m_front));
        m_front = 0;
    }
}

void FrameQueue::clear()
{
    m_frames.clear();
    m_front = 0;
    m_taken = 0;
    m_bytes = 0;
}

}
