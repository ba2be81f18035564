#include "loadwire.h"

#include "base/failure.h"

#include <gtest/gtest.h>

#include <limits>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class LoadWireTest : public testing::Test
{
protected:
    static EndpointLoadReport endpoint()
    {
        return {"10.12.134.156:18080",
                1'764'794'399'123,
                37,
                12,
                43'210us,
                22'345us,
                356'789us,
                834'567us,
                0.875,
                321'987us};
    }
};

TEST_F(LoadWireTest, endpointLoad_thereAndBack_isTheSame)
{
    EXPECT_EQ(endpointLoadFromWire(endpointLoadToWire(endpoint())), endpoint());
}

TEST_F(LoadWireTest, gatewayLoad_thereAndBack_isTheSame)
{
    const GatewayLoadReport report{"edge-1", "north", 1.25, 200, true, 1500us};
    EXPECT_EQ(gatewayLoadFromWire(gatewayLoadToWire(report)), report);
}

// Guards against values that turn into others by a conversion out of range, and so pass the checks of the receiver.
TEST_F(LoadWireTest, toWire_impossibleValues_becomeTheNearestPossible)
{
    EndpointLoadReport report;
    report.running = -1;
    report.age = -1us;
    report.memoryShare = std::numeric_limits<double>::quiet_NaN();
    const wire::EndpointLoadReport message = endpointLoadToWire(report);
    EXPECT_EQ(message.running(), 0U);
    EXPECT_EQ(message.age_us(), 0U);
    EXPECT_EQ(message.memory_permille(), 0U);
    GatewayLoadReport gateway;
    gateway.fullness = std::numeric_limits<double>::infinity();
    gateway.linkMbps = -5;
    EXPECT_EQ(gatewayLoadToWire(gateway).fullness_permille(), std::numeric_limits<std::uint32_t>::max());
    EXPECT_EQ(gatewayLoadToWire(gateway).link_mbps(), 0U);
}

// Guards against huge numbers that become negative or small ones.
TEST_F(LoadWireTest, fromWire_hugeValues_stayHuge)
{
    wire::EndpointLoadReport message;
    message.set_running(std::numeric_limits<std::uint32_t>::max());
    message.set_expected_wait_us(std::numeric_limits<std::uint64_t>::max());
    EXPECT_EQ(endpointLoadFromWire(message).running, std::numeric_limits<int>::max());
    EXPECT_EQ(endpointLoadFromWire(message).expectedWait, Duration::max());
}

// Guards against memory and time spent on a message that no collector sends.
TEST_F(LoadWireTest, parseLoadFrame_malformedOrOversized_isTypedFailure)
{
    EXPECT_EQ(failureCode(parseLoadFrame("\xff\xff\xff").status()), FailureCode::MalformedMessage);
    EXPECT_EQ(failureCode(parseLoadFrame(std::string(kMaximumLoadFrameBytes + 1, '\0')).status()),
              FailureCode::MessageTooLarge);
    wire::LoadMessage message;
    for (int n = 0; n <= kMaximumReportsPerFrame; ++n) {
        message.mutable_news()->add_endpoints();
    }
    EXPECT_EQ(failureCode(parseLoadFrame(message.SerializeAsString()).status()), FailureCode::MessageTooLarge);
}

// Guards against a newer version, which sends kinds of messages and fields that this one doesn't know.
TEST_F(LoadWireTest, parseLoadFrame_unknownField_isReadAsNothing)
{
    const std::string unknownField("\x7a\x01x", 3);
    const absl::StatusOr<wire::LoadMessage> message = parseLoadFrame(unknownField);
    ASSERT_TRUE(message.ok());
    EXPECT_EQ(message->message_case(), wire::LoadMessage::MESSAGE_NOT_SET);
}

// Keeps the size of the reports known, on which the bound of 4 KB/s for each gateway rests.
TEST_F(LoadWireTest, serialized_typicalReports_areSmall)
{
    wire::LoadMessage message;
    *message.mutable_news()->add_endpoints() = endpointLoadToWire(endpoint());
    EXPECT_LE(message.ByteSizeLong(), 64U);
    RecordProperty("endpoint_bytes", static_cast<int>(message.ByteSizeLong()));
    wire::LoadMessage own;
    *own.mutable_gateway() = gatewayLoadToWire({"edge-tx-central-a-1", "tx-central-a", 0.875, 200, false, 0us});
    EXPECT_LE(own.ByteSizeLong(), 48U);
    RecordProperty("gateway_bytes", static_cast<int>(own.ByteSizeLong()));
}
