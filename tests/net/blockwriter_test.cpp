#include "blockwriter.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>

using namespace RadishSwitch;

class BlockWriterTest : public testing::Test
{
protected:
    BlockWriterTest()
    {
        EXPECT_EQ(::pipe(m_pipe.data()), 0);
        settings.room = 64 * 1024;
        settings.interval = std::chrono::milliseconds(1);
    }

    ~BlockWriterTest() override
    {
        ::close(m_pipe[0]);
        if (m_pipe[1] >= 0) {
            ::close(m_pipe[1]);
        }
    }

    int writeEnd() const
    {
        return m_pipe[1];
    }

    /// Everything that was written, once the writer is gone.
    std::string readAll()
    {
        ::close(m_pipe[1]);
        m_pipe[1] = -1;
        std::string text;
        std::array<char, 4096> buf;
        for (ssize_t n = ::read(m_pipe[0], buf.data(), buf.size()); n > 0;
             n = ::read(m_pipe[0], buf.data(), buf.size())) {
            text.append(buf.data(), static_cast<std::size_t>(n));
        }
        return text;
    }

    BlockWriter::Settings settings;

private:
    std::array<int, 2> m_pipe{-1, -1};
};

TEST_F(BlockWriterTest, lines_areWrittenInOrder)
{
    {
        BlockWriter writer(writeEnd(), settings);
        writer.add("one\n", true);
        writer.add("two\n", false);
    }
    EXPECT_EQ(readAll(), "one\ntwo\n");
}

// Nobody reads the log. The pipe fills, then the room; whoever logs never waits, and what is lost is counted.
TEST_F(BlockWriterTest, readerThatTakesNothing_neverHoldsUpTheWriter)
{
    const auto begin = std::chrono::steady_clock::now();
    BlockWriter writer(writeEnd(), settings);
    for (int n = 0; n < 10'000; ++n) {
        writer.add(std::string(99, 'x') + "\n", true);
    }
    EXPECT_GT(writer.dropped(), 1'000U);
    // Ten thousand lines of memory copies; a single wait for the reader would never end.
    EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(10));
}

TEST_F(BlockWriterTest, fullRoom_givesUpOrdinaryLinesForTheOthers)
{
    settings.interval = std::chrono::hours(1);
    std::string text;
    {
        BlockWriter writer(writeEnd(), settings);
        for (int n = 0; n < 1'000; ++n) {
            writer.add(std::string(99, 'x') + "\n", true);
        }
        for (int n = 0; n < 600; ++n) {
            writer.add(std::string(99, 'y') + "\n", false);
        }
        EXPECT_EQ(writer.dropped(), 1'000U);
    }
    text = readAll();
    EXPECT_EQ(text.find("xxx"), std::string::npos);
    EXPECT_NE(text.find("yyy"), std::string::npos);
    EXPECT_NE(text.find("lines dropped"), std::string::npos);
}
