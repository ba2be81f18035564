#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace RadishSwitch
{

/// Writes lines to a file descriptor in blocks, from a thread of its own.
///
/// A reader that stops reading would stop whoever writes to it; here it stops this thread alone, and lines are dropped
/// instead: ordinary ones first, the others when these fill the room by themselves. How many were dropped is written
/// once there is room again.
class BlockWriter
{
public:
    struct Settings {
        /// Bytes that may wait.
        std::size_t room = 512 * 1024;
        /// Part of the room that ordinary lines may fill.
        double ordinaryShare = 0.5;
        /// How long lines are gathered into a block.
        std::chrono::milliseconds interval{200};
    };

    explicit BlockWriter(int descriptor);
    BlockWriter(int descriptor, Settings settings);

    /// Writes what waits, for a bounded time, and ends.
    ~BlockWriter();

    BlockWriter(const BlockWriter &) = delete;
    BlockWriter &operator=(const BlockWriter &) = delete;

    /// Takes a line with its line feed. Never waits for the reader.
    void add(std::string line, bool isOrdinary);

    /// Lines dropped so far.
    std::uint64_t dropped() const;

private:
    struct Line {
        std::string text;
        bool isOrdinary = false;
    };

    void run();
    std::string takeBlock();
    void dropOrdinary();
    void writeAll(const std::string &block);

    const int m_descriptor;
    const Settings m_settings;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Line> m_lines;
    std::size_t m_bytes = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_told = 0;
    bool m_isEnding = false;
    std::thread m_thread;
};

}
