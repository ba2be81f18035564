#include "sessionrecorder.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace
{

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

bool isRenewing()
{
    const char *value = std::getenv("RADISHSWITCH_RENEW_GOLDEN");
    return value && std::string(value) == "1";
}

}

SessionRecorder::SessionRecorder(const RadishSwitch::TimerService &timers)
    : m_timers(timers)
{
}

std::string SessionRecorder::time() const
{
    constexpr double kMicrosecondsPerMillisecond = 1000;
    const auto span = m_timers.now().time_since_epoch();
    char buf[32];
    std::snprintf(buf, sizeof buf, "%10.1f ms  ", static_cast<double>(span.count()) / kMicrosecondsPerMillisecond);
    return buf;
}

void SessionRecorder::sends(const std::string &from, const std::string &to, const std::string &text)
{
    m_text += time() + from + " -> " + to + ": " + text + "\n";
}

void SessionRecorder::happens(const std::string &text)
{
    m_text += time() + "* " + text + "\n";
}

void SessionRecorder::tells(const std::string &text)
{
    m_text += (m_text.empty() ? "# " : "\n# ") + text + "\n";
}

void SessionRecorder::sums(const std::string &what, std::int64_t amount, const std::string &unit)
{
    m_text += "= " + what + ": " + std::to_string(amount) + " " + unit + "\n";
}

const std::string &SessionRecorder::text() const
{
    return m_text;
}

void SessionRecorder::expectGolden(const std::string &name) const
{
    const std::string path = std::string(TEST_DATA_FOLDER) + "/" + name + ".golden";
    if (isRenewing()) {
        std::ofstream(path, std::ios::binary) << m_text;
        std::printf("renewed %s\n", path.c_str());
        return;
    }
    std::istringstream expected(readFile(path));
    std::istringstream recorded(m_text);
    std::string expectedLine;
    std::string recordedLine;
    for (int n = 1; std::getline(recorded, recordedLine); ++n) {
        ASSERT_TRUE(std::getline(expected, expectedLine))
            << name << " has more lines than its golden file, from line " << n << ": " << recordedLine;
        ASSERT_EQ(recordedLine, expectedLine) << name << " differs from its golden file in line " << n;
    }
    EXPECT_FALSE(std::getline(expected, expectedLine)) << name << " lacks the line: " << expectedLine;
    EXPECT_EQ(m_text, readFile(path)) << name << " differs from its golden file in its line ends";
}
