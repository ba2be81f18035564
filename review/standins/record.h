#pragma once

// The record of a case: what was sent, answered and run, with milliseconds since its start.

#include "http.h"

#include <cstdio>
#include <mutex>

namespace review
{

class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(std::fopen(file.c_str(), "w"))
        , m_begin(Clock::now())
    {
    }

    long long now() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - m_begin).count();
    }

    void line(const std::string &who, const std::string &what)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%lld %s %s\n", now(), who.c_str(), what.c_str());
        std::fflush(m_file);
    }

    /// A line that is also printed.
    void say(const std::string &what)
    {
        line("case", what);
        std::printf("%s\n", what.c_str());
        std::fflush(stdout);
    }

private:
    std::FILE *const m_file;
    const Clock::time_point m_begin;
    std::mutex m_mutex;
};

}
