#include "blockwriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace RadishSwitch
{

namespace
{

/// How long a reader that takes nothing is waited for at the end.
constexpr std::chrono::milliseconds kLastWait{500};

}

BlockWriter::BlockWriter(int descriptor)
    : BlockWriter(descriptor, Settings())
{
}

BlockWriter::BlockWriter(int descriptor, Settings settings)
    : m_descriptor(descriptor)
    , m_settings(settings)
    , m_thread([this] {
        run();
    })
{
}

BlockWriter::~BlockWriter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isEnding = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void BlockWriter::add(std::string line, bool isOrdinary)
{
    const std::lock_guard lock(m_mutex);
    const double room = static_cast<double>(m_settings.room) * (isOrdinary ? m_settings.ordinaryShare : 1);
    if (static_cast<double>(m_bytes + line.size()) > room && !isOrdinary) {
        dropOrdinary();
    }
    if (static_cast<double>(m_bytes + line.size()) > room) {
        ++m_dropped;
        return;
    }
    m_bytes += line.size();
    m_lines.push_back({std::move(line), isOrdinary});
}

void BlockWriter::dropOrdinary()
{
    m_dropped += std::erase_if(m_lines, [this](const Line &line) {
        if (line.isOrdinary) {
            m_bytes -= line.text.size();
        }
        return line.isOrdinary;
    });
}

std::uint64_t BlockWriter::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void BlockWriter::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isEnding || !m_lines.empty()) {
        if (!m_isEnding) {
            m_changed.wait_for(lock, m_settings.interval);
        }
        const std::string block = takeBlock();
        lock.unlock();
        writeAll(block);
        lock.lock();
    }
}

std::string BlockWriter::takeBlock()
{
    std::string block;
    for (const Line &line : m_lines) {
        block += line.text;
    }
    m_lines.clear();
    m_bytes = 0;
    if (m_dropped > m_told) {
        block += R"({"level":"WARN","logger":"log","message":"lines dropped","context_map":{"lines":")"
            + std::to_string(m_dropped - m_told) + "\"}}\n";
        m_told = m_dropped;
    }
    return block;
}

// Waits in `poll` and not in `write`, so that the end of the process does not wait for a reader for ever.
void BlockWriter::writeAll(const std::string &block)
{
    std::size_t done = 0;
    std::chrono::milliseconds waited{0};
    while (done < block.size()) {
        pollfd descriptor{m_descriptor, POLLOUT, 0};
        if (::poll(&descriptor, 1, static_cast<int>(m_settings.interval.count())) == 0) {
            const std::lock_guard lock(m_mutex);
            waited += m_settings.interval;
            if (m_isEnding && waited >= kLastWait) {
                return;
            }
            continue;
        }
        // A pipe that is ready for writing takes this much without waiting.
        constexpr std::size_t kAtomicBytes = 4096;
        const ssize_t n = ::write(m_descriptor, block.data() + done, std::min(block.size() - done, kAtomicBytes));
        if (n < 0 && errno != EINTR && errno != EAGAIN) {
            return;
        }
        done += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
}

}
