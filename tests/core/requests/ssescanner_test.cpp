#include "requests/ssescanner.h"

#include "base/failure.h"
#include "requests/chatmeter.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

struct SseCase {
    std::string name;
    std::string bytes;
    std::vector<SseEvent> events;
    /// Not set when the scan succeeds.
    std::optional<FailureCode> failure;
};

class SseScannerTest : public testing::TestWithParam<SseCase>
{
protected:
    static constexpr std::size_t kLimit = 64;

    static absl::Status scanInParts(const std::string &bytes, std::size_t size, std::vector<SseEvent> &events)
    {
        SseScanner scanner(kLimit);
        for (std::size_t n = 0; n < bytes.size(); n += size) {
            const absl::Status status = scanner.scan(std::string_view(bytes).substr(n, size), events);
            if (!status.ok()) {
                return status;
            }
        }
        return scanner.finish();
    }
};

TEST_P(SseScannerTest, scan_bytesSplitAtAnyPoint_givesSameEventsOrError)
{
    const SseCase &given = GetParam();
    for (std::size_t size = 1; size <= given.bytes.size() + 1; ++size) {
        std::vector<SseEvent> events;
        const absl::Status status = scanInParts(given.bytes, size, events);

        ASSERT_EQ(status.ok(), !given.failure.has_value()) << "split into " << size;
        if (given.failure) {
            ASSERT_EQ(failureCode(status), *given.failure) << "split into " << size;
        } else {
            ASSERT_EQ(events, given.events) << "split into " << size;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Streams, SseScannerTest,
    testing::Values(SseCase{"lineFeeds", "data: a\n\ndata:b\n\n", {{"", "a"}, {"", "b"}}, {}},
                    SseCase{"carriageReturns", "data: a\r\rdata: b\r\r", {{"", "a"}, {"", "b"}}, {}},
                    SseCase{"bothLineEnds", "data: a\r\ndata: b\r\n\r\n", {{"", "a\nb"}}, {}},
                    SseCase{"byteOrderMark",
                            "\xEF\xBB\xBF"
                            "data: a\n\n",
                            {{"", "a"}},
                            {}},
                    SseCase{"commentsAndUnknownFields", ": ping\nid: 4\ndata: a\nodd\n\n", {{"", "a"}}, {}},
                    SseCase{"typedEvent", "event: error\ndata: {}\n\n", {{"error", "{}"}}, {}},
                    SseCase{"eventWithoutData", "event: x\n\ndata: a\n\n", {{"", "a"}}, {}},
                    SseCase{"emptyData", "data\n\n", {{"", ""}}, {}}, SseCase{"nothing", "", {}, {}},
                    SseCase{"cutInLine", "data: a\n\ndata: b", {}, FailureCode::MalformedMessage},
                    SseCase{"cutBeforeEmptyLine", "data: a\n", {}, FailureCode::MalformedMessage},
                    SseCase{"zeroByte", std::string("data: a\0\n\n", 10), {}, FailureCode::MalformedMessage},
                    SseCase{"endlessLine", "data: " + std::string(80, 'x'), {}, FailureCode::MessageTooLarge},
                    SseCase{"endlessEvent",
                            "data: 12345678901234567890123456789012345\ndata: 1234567890123456789\n"
                            "data: 1234567890123456789\n\n",
                            {},
                            FailureCode::MessageTooLarge}),
    [](const auto &info) {
        return info.param.name;
    });

struct ChatCase {
    std::string name;
    std::string bytes;
    std::optional<ChatUsage> usage;
    std::optional<FailureCode> failure;
};

class ChatMeterTest : public testing::TestWithParam<ChatCase>
{
};

TEST_P(ChatMeterTest, finish_streamOfEngine_givesUsageOrError)
{
    ChatMeter meter;
    absl::Status status = meter.append(GetParam().bytes);
    const absl::StatusOr<std::optional<ChatUsage>> usage = meter.finish();
    status.Update(usage.status());

    ASSERT_EQ(status.ok(), !GetParam().failure.has_value());
    if (GetParam().failure) {
        EXPECT_EQ(failureCode(status), *GetParam().failure);
    } else {
        EXPECT_EQ(*usage, GetParam().usage);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Streams, ChatMeterTest,
    testing::Values(
        ChatCase{"usageInLastChunk",
                 "data: {\"choices\":[],\"usage\":null}\n\n"
                 "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":7}}\n\ndata: [DONE]\n\n",
                 ChatUsage{5, 7},
                 {}},
        ChatCase{"noUsage", "data: {\"choices\":[]}\n\ndata: [DONE]\n\n", {}, {}},
        ChatCase{
            "noDone", "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5}}\n\n", {}, FailureCode::EndpointFailed},
        ChatCase{"empty", "", {}, FailureCode::EndpointFailed},
        ChatCase{"errorInStream",
                 "data: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]\n\n",
                 {},
                 FailureCode::EndpointFailed},
        ChatCase{"usageCutShort",
                 "data: {\"usage\":{\"prompt_tokens\":\n\ndata: [DONE]\n\n",
                 {},
                 FailureCode::MalformedMessage},
        ChatCase{"usageIsText", "data: {\"usage\":\"many\"}\n\ndata: [DONE]\n\n", {}, FailureCode::MalformedMessage},
        ChatCase{"negativeTokens",
                 "data: {\"usage\":{\"completion_tokens\":-5}}\n\ndata: [DONE]\n\n",
                 {},
                 FailureCode::MalformedMessage},
        ChatCase{"hugeTokens",
                 "data: {\"usage\":{\"completion_tokens\":18446744073709551615}}\n\ndata: [DONE]\n\n",
                 {},
                 FailureCode::MalformedMessage}),
    [](const auto &info) {
        return info.param.name;
    });
