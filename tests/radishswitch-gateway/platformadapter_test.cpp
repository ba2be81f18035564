#include "base/failure.h"
#include "names.h"
#include "platformcallprotocol.h"
#include "platformcatalogue.h"

#include <gtest/gtest.h>

#include <map>

using namespace RadishSwitch;

class PlatformAdapterTest : public testing::Test
{
protected:
    static HttpRequest request(const HttpHeaders &headers)
    {
        HttpRequest request;
        request.headers = headers;
        return request;
    }

    static StoredObject configurationObject(const std::string &value)
    {
        return {PlatformNames::kConfigurationKey, value, 1};
    }

    static StoredObject endpointObject(const std::string &value)
    {
        return {std::string(PlatformNames::kEndpointPrefix) + "i-1", value, 3};
    }

    const PlatformCallProtocol protocol;
    const PlatformCatalogue catalogue;
};

TEST_F(PlatformAdapterTest, call_withAllItsHeaders_isRead)
{
    const auto call = protocol.readCall(request({{PlatformNames::kCallId, "9c41"},
                                                 {"Host", "shop.example"},
                                                 {PlatformNames::kAuthorization, "Token k1"},
                                                 {PlatformNames::kPatience, "1500"},
                                                 {PlatformNames::kLastEvent, "12"},
                                                 {PlatformNames::kTokenBounds, "1460,80"},
                                                 {PlatformNames::kPromptParts, "5c1e07a2:800,91bd3f06:410"}}));
    ASSERT_TRUE(call.ok()) << call.status();
    EXPECT_EQ(call->id.value(), "9c41");
    EXPECT_EQ(call->apiKey, "k1");
    EXPECT_EQ(call->callerTimeout, std::chrono::milliseconds(1500));
    EXPECT_EQ(call->lastEvent, 12U);
    EXPECT_EQ(call->tokens, (TokenBounds{1460, 80}));
    EXPECT_EQ(call->parts, (std::vector<PromptPart>{{0x5c1e07a2, 800}, {0x91bd3f06, 410}}));
}

// Guards against an overloaded gateway that charges a call to the wrong organisation, or stumbles over a head that it
// has not validated.
TEST_F(PlatformAdapterTest, head_ofAnyCall_tellsKeyHostAndLength)
{
    EXPECT_EQ(protocol.readHead(request({{"Host", "shop.example"},
                                         {PlatformNames::kAuthorization, "Token k1"},
                                         {PlatformNames::kPatience, "soon"},
                                         {"content-length", "70000"}})),
              (CallHead{"k1", "shop.example", 70'000}));
    EXPECT_EQ(protocol.readHead(request({})), CallHead());
    for (const char *length : {"-1", "x", "", "99999999999999999999"}) {
        EXPECT_EQ(protocol.readHead(request({{"Content-Length", length}})), CallHead()) << length;
    }
    EXPECT_EQ(protocol.readHead(request({{PlatformNames::kAuthorization, "Basic k1"}})), CallHead());
}

TEST_F(PlatformAdapterTest, callWithInvalidHeaders_isRejected)
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {PlatformNames::kPatience, "soon"},     {PlatformNames::kPatience, "-4"},
        {PlatformNames::kLastEvent, "x"},       {PlatformNames::kTokenBounds, "1460"},
        {PlatformNames::kTokenBounds, "1,2,3"}, {PlatformNames::kTokenBounds, "-1,2"},
        {PlatformNames::kPromptParts, "aa"},    {PlatformNames::kPromptParts, "aa:-3"},
        {PlatformNames::kPromptParts, "zz:3"},  {PlatformNames::kPromptParts, "aa:3,,bb:4"},
    };
    for (const auto &[header, value] : cases) {
        const auto call = protocol.readCall(request({{PlatformNames::kCallId, "1"}, {header, value}}));
        ASSERT_FALSE(call.ok()) << header << ": " << value;
        EXPECT_EQ(failureCode(call.status()), FailureCode::InvalidRequest);
    }
}

TEST_F(PlatformAdapterTest, unknownOutcome_neverGetsNotRunStatus)
{
    for (const FailureCode code : {FailureCode::OutcomeUnknown, FailureCode::Overloaded, FailureCode::CeilingReached}) {
        const int status = protocol.failure(withUnknownOutcome(makeFailure(code, "x"))).status;
        EXPECT_TRUE(status == 502 || status == 504) << status;
    }
    EXPECT_EQ(protocol.failure(makeFailure(FailureCode::Overloaded, "x")).status, 503);
}

TEST_F(PlatformAdapterTest, retryAfter_isWrittenInFractionsOfASecond)
{
    const HttpResponse response =
        protocol.failure(makeFailure(FailureCode::Overloaded, "x", std::chrono::milliseconds(250)));
    EXPECT_EQ(response.headers.find(PlatformNames::kRetryAfter), "0.250");
}

TEST_F(PlatformAdapterTest, hopByHopHeaders_areNotForwarded)
{
    const HttpHeaders passed = protocol.callerHeaders({{"Connection", "close, X-Hop"},
                                                       {"X-Hop", "1"},
                                                       {"Keep-Alive", "timeout=5"},
                                                       {"Transfer-Encoding", "chunked"},
                                                       {"X-Kept", "1"}});
    EXPECT_EQ(passed, (HttpHeaders{{"X-Kept", "1"}}));
}

TEST_F(PlatformAdapterTest, configuration_isReadWithItsSplitsAndKinds)
{
    const auto configuration = catalogue.readConfiguration(configurationObject(R"({"version":7,"routes":[
        {"name":"a","host":"h","path-prefix":"/a/","kind":"streaming","resumable":true,"timeout-ms":12000,
         "target-latency-ms":600,"priority":1,"traffic-split":[{"service":"x","weight":90},{"service":"y","weight":10}],
         "max-attempts":2},
        {"host":"h","path-prefix":"/b/","kind":"streaming","service":"x"},
        {"host":"h","path-prefix":"/c/","kind":"safe","service":"x"},
        {"host":"h","path-prefix":"/d/","kind":"unsafe","service":"x"}],
        "services":[{"name":"x","max-connections":360,"inference-engine":{"stride":7}}],
        "tenants":[{"name":"o","api-keys":["k"],"priority":1,"reserved":500}]})"));
    ASSERT_TRUE(configuration.ok()) << configuration.status();
    EXPECT_EQ(configuration->version, 7U);
    EXPECT_EQ(configuration->routes[0].pools, (std::vector<WeightedPool>{{PoolId("x"), 90}, {PoolId("y"), 10}}));
    EXPECT_EQ(configuration->routes[0].repetition, Repetition::ByResuming);
    EXPECT_EQ(configuration->routes[1].repetition, Repetition::Never);
    EXPECT_EQ(configuration->routes[2].repetition, Repetition::Always);
    EXPECT_EQ(configuration->routes[3].repetition, Repetition::Never);
    EXPECT_EQ(configuration->pools[0].tokensPerEvent, 7);
    EXPECT_EQ(configuration->organisations[0].prepaidTokens, 500);
}

TEST_F(PlatformAdapterTest, unreadableConfiguration_isMalformed)
{
    for (const char *value :
         {"", "[]", "{}", R"({"version":"seven","routes":[],"services":[]})",
          R"({"version":1,"routes":[{}],"services":[]})", R"({"version":1,"routes":3,"services":[]})"}) {
        const auto configuration = catalogue.readConfiguration(configurationObject(value));
        ASSERT_FALSE(configuration.ok()) << value;
        EXPECT_EQ(failureCode(configuration.status()), FailureCode::ObjectMalformed);
    }
}

TEST_F(PlatformAdapterTest, endpointEntry_isReadWithItsStartTime)
{
    const auto listing = catalogue.readEndpoint(endpointObject(R"({"service":"x","address":"10.0.0.1:80","zone":"a",)"
                                                               R"("version":"v","slots":64,"state":"draining",)"
                                                               R"("cold-remaining-ms":0,"sequence":4,"born":17})"));
    ASSERT_TRUE(listing.ok()) << listing.status();
    EXPECT_EQ(listing->id.value(), "i-1");
    EXPECT_EQ(listing->pool.value(), "x");
    EXPECT_EQ(listing->address, "10.0.0.1:80");
    EXPECT_EQ(listing->slots, 64);
    EXPECT_EQ(listing->startedAtMilliseconds, 17);
    EXPECT_EQ(listing->softwareVersion, SoftwareVersion("v"));
    EXPECT_TRUE(listing->isLeaving);
}

// Guards against a version of which nothing is known being taken for one: no stream continues there.
TEST_F(PlatformAdapterTest, unusableVersionOfEndpoint_isUnknown)
{
    for (const std::string &version : {std::string(), std::string("v 1"), std::string(1000, 'v')}) {
        const auto listing = catalogue.readEndpoint(endpointObject(
            R"({"service":"x","address":"10.0.0.1:80","zone":"a","slots":64,"state":"ready","cold-remaining-ms":0,)"
            R"("sequence":4,"version":")"
            + version + "\"}"));
        ASSERT_TRUE(listing.ok()) << listing.status();
        EXPECT_TRUE(listing->softwareVersion.isEmpty()) << version;
    }
}

TEST_F(PlatformAdapterTest, resumedCall_isReadAndMalformedOnesAreRefused)
{
    HttpRequest request;
    request.headers = {{PlatformNames::kCallId, "call-2"}, {PlatformNames::kResumedCall, "call-1"}};
    const auto call = protocol.readCall(request);
    ASSERT_TRUE(call.ok()) << call.status();
    EXPECT_EQ(call->resumedCall, RequestId("call-1"));
    for (const std::string &id : {std::string(), std::string("call 1"), std::string(1000, 'c'), std::string("\x01")}) {
        HttpRequest malformed;
        malformed.headers = {{PlatformNames::kCallId, "call-2"}, {PlatformNames::kResumedCall, id}};
        EXPECT_EQ(failureCode(protocol.readCall(malformed).status()), FailureCode::InvalidRequest) << id;
    }
    request.headers.add(PlatformNames::kResumedCall, "call-0");
    EXPECT_EQ(failureCode(protocol.readCall(request).status()), FailureCode::InvalidRequest) << "named twice";
}

// Guards against calls to an address from a malformed entry. Another process may write to the list or overwrite an
// endpoint's entry. A gateway that guessed the missing fields would send calls to whatever listens at that address.
TEST_F(PlatformAdapterTest, malformedEndpointEntry_isRejected)
{
    const std::map<std::string, std::string> validFields{
        {"service", "\"x\""}, {"address", "\"10.0.0.1:80\""}, {"zone", "\"a\""}, {"version", "\"v\""},
        {"slots", "64"},      {"state", "\"ready\""},         {"sequence", "4"}, {"cold-remaining-ms", "0"},
        {"born", "17"}};
    const auto entry = [&validFields](const std::string &field, const std::string &value) {
        std::string text;
        for (const auto &[name, usual] : validFields) {
            const std::string &written = name == field ? value : usual;
            if (!written.empty()) {
                text += (text.empty() ? "{\"" : ",\"") + name + "\":" + written;
            }
        }
        return text + "}";
    };
    ASSERT_TRUE(catalogue.readEndpoint(endpointObject(entry("", ""))).ok());
    const std::vector<std::pair<std::string, std::string>> invalidFields{{"service", ""},
                                                                         {"service", "7"},
                                                                         {"service", "\"\""},
                                                                         {"address", ""},
                                                                         {"address", "null"},
                                                                         {"address", "\"here\""},
                                                                         {"address", "\"10.0.0.1:0\""},
                                                                         {"zone", ""},
                                                                         {"zone", "[]"},
                                                                         {"slots", ""},
                                                                         {"slots", "\"64\""},
                                                                         {"slots", "0"},
                                                                         {"slots", "-1"},
                                                                         {"slots", "1e300"},
                                                                         {"slots", "64.5"},
                                                                         {"state", ""},
                                                                         {"state", "true"},
                                                                         {"state", "\"odd\""},
                                                                         {"sequence", ""},
                                                                         {"sequence", "\"4\""},
                                                                         {"sequence", "-1"},
                                                                         {"born", "\"17\""},
                                                                         {"born", "17.5"},
                                                                         {"born", "-1"},
                                                                         {"born", "null"},
                                                                         {"born", "99999999999999999999"},
                                                                         {"version", ""},
                                                                         {"version", "3"},
                                                                         {"cold-remaining-ms", ""},
                                                                         {"cold-remaining-ms", "{}"},
                                                                         {"cold-remaining-ms", "-5"}};
    for (const auto &[field, value] : invalidFields) {
        const auto listing = catalogue.readEndpoint(endpointObject(entry(field, value)));
        ASSERT_FALSE(listing.ok()) << field << " = " << value;
        EXPECT_EQ(failureCode(listing.status()), FailureCode::ObjectMalformed);
    }
    for (const char *text : {"", "null", "[]", "\"text\"", "{", "\xff\xfe"}) {
        EXPECT_FALSE(catalogue.readEndpoint(endpointObject(text)).ok()) << text;
    }
    for (const char *id : {"", "a b", "a\nb", "a\x80"}) {
        const std::string key = std::string(PlatformNames::kEndpointPrefix) + id;
        EXPECT_FALSE(catalogue.readEndpoint({key, entry("", ""), 3}).ok()) << id;
    }
}

// Guards against a limit that is parsed as another number, and against a malformed limit that is not reported.
TEST_F(PlatformAdapterTest, limitHeader_isParsedOrReportedUnreadable)
{
    const auto read = [](const std::string &text) {
        return PlatformCallProtocol().readAnswer(200, {{"Server-Limit", text}}).notice;
    };
    EXPECT_EQ(read("1.5").callsPerSecond, 1.5);
    EXPECT_EQ(read("0").callsPerSecond, 0.0);
    for (const std::string text : {"", "many", "-1", "nan", "inf", "1.5 a second", "1e999"}) {
        EXPECT_EQ(read(text).callsPerSecond, std::nullopt) << text;
        EXPECT_EQ(read(text).unreadable, std::vector{NoticeField::Limit}) << text;
    }
    EXPECT_TRUE(PlatformCallProtocol().readAnswer(200, {}).notice.unreadable.empty());
}

// Guards against calls on idle connections that the endpoint is about to close.
TEST_F(PlatformAdapterTest, keepAliveTimeout_isParsed)
{
    const auto read = [](const std::string &text) {
        return PlatformCallProtocol().readAnswer(200, {{"Keep-Alive", text}}).idleTimeout;
    };
    EXPECT_EQ(read("timeout=5"), std::chrono::seconds(5));
    EXPECT_EQ(read("max=100, timeout=2"), std::chrono::seconds(2));
    for (const std::string text : {"", "max=100", "timeout=soon"}) {
        EXPECT_EQ(read(text), std::nullopt) << text;
    }
    EXPECT_EQ(PlatformCallProtocol().readAnswer(200, {}).idleTimeout, std::nullopt);
}

// Guards against an announcement of leaving that is read only from answers with certain statuses.
TEST_F(PlatformAdapterTest, leavingHeader_isParsedForEveryStatus)
{
    const auto read = [](const std::string &text, int status) {
        return PlatformCallProtocol().readAnswer(status, {{"server-leaving", text}}).notice;
    };
    for (const int status : {200, 206, 404, 429, 500, 503, 504}) {
        EXPECT_TRUE(read("1", status).isLeaving) << status;
        EXPECT_FALSE(PlatformCallProtocol().readAnswer(status, {}).notice.isLeaving) << status;
    }
    EXPECT_EQ(read("0", 200), EndpointNotice());
    for (const std::string text : {"", "yes", "2", "true", "1 "}) {
        EXPECT_FALSE(read(text, 200).isLeaving) << text;
        EXPECT_EQ(read(text, 200).unreadable, std::vector{NoticeField::Leaving}) << text;
    }
}

// Guards against a backoff that is parsed as another time, and against a malformed backoff that is not reported.
TEST_F(PlatformAdapterTest, retryAfterOfRefusal_isParsedOrReportedUnreadable)
{
    const auto read = [](const HttpHeaders &headers, int status = 503) {
        return PlatformCallProtocol().readAnswer(status, headers).notice;
    };
    const auto backoff = [&read](const std::string &text) {
        return read({{"Retry-After", text}}).backoff;
    };
    EXPECT_EQ(backoff("3"), std::chrono::seconds(3));
    EXPECT_EQ(backoff("0.25"), std::chrono::milliseconds(250));
    EXPECT_EQ(backoff("0"), Duration::zero());
    EXPECT_EQ(backoff("3600"), std::chrono::hours(1));
    EXPECT_GE(backoff("1e300"), std::chrono::hours(24));
    for (const std::string text : {"", "soon", "-1", "nan", "inf", "3 s", "1e999", "Fri, 13 Mar"}) {
        EXPECT_EQ(backoff(text), std::nullopt) << text;
        EXPECT_EQ(read({{"Retry-After", text}}).unreadable, std::vector{NoticeField::Backoff}) << text;
    }
    const HttpHeaders dated{{"Date", "Fri, 13 Mar 2026 10:49:04 GMT"},
                            {"Retry-After", "Fri, 13 Mar 2026 10:49:07 GMT"}};
    EXPECT_EQ(read(dated).backoff, std::chrono::seconds(3));
    EXPECT_EQ(backoff("Fri, 13 Mar 2020 10:49:07 GMT"), Duration::zero());
    EXPECT_EQ(read({{"Retry-After", "1"}, {"retry-after", "2.5"}}).backoff, std::chrono::milliseconds(2500));
    EXPECT_EQ(read({{"Retry-After", "1"}, {"Retry-After", "much"}}).backoff, std::chrono::seconds(1));
    EXPECT_EQ(read({{"Retry-After", "3"}}, 429).backoff, std::chrono::seconds(3));
    EXPECT_EQ(read({{"Retry-After", "3"}}, 200).backoff, std::nullopt);
    EXPECT_EQ(read({{"Retry-After", "3"}}, 500).backoff, std::nullopt);
}

TEST_F(PlatformAdapterTest, regionsAndColdStarts_areRead)
{
    const auto configuration = catalogue.readConfiguration(configurationObject(R"({"version":7,"routes":[
        {"host":"h","path-prefix":"/a/","kind":"safe","service":"x","allowed-regions":["east","west"]}],
        "services":[{"name":"x","cold-start-s":3.0,"cold-per-s":18.0}],
        "tenants":[{"name":"o","allowed-regions":["west"]}]})"));
    ASSERT_TRUE(configuration.ok()) << configuration.status();
    EXPECT_EQ(configuration->routes[0].allowedRegions, (std::vector<std::string>{"east", "west"}));
    EXPECT_EQ(configuration->organisations[0].allowedRegions, std::vector<std::string>{"west"});
    EXPECT_EQ(configuration->pools[0].coldStart, std::chrono::seconds(3));
    EXPECT_EQ(configuration->pools[0].coldCallsPerSecond, 18);
}

// Guards against a prompt that leaves its allowed regions because an unreadable list of regions was treated as none.
TEST_F(PlatformAdapterTest, unreadableRegions_makeConfigurationMalformed)
{
    for (const char *regions : {R"("east")", "3", "[3]", "{}", "true"}) {
        const std::string value =
            R"({"version":7,"routes":[{"host":"h","path-prefix":"/a/","kind":"safe","service":"x",)"
            R"("allowed-regions":)"
            + std::string(regions) + R"(}],"services":[]})";
        const auto configuration = catalogue.readConfiguration(configurationObject(value));
        ASSERT_FALSE(configuration.ok()) << regions;
        EXPECT_EQ(failureCode(configuration.status()), FailureCode::ObjectMalformed);
    }
}

TEST_F(PlatformAdapterTest, cordonKey_namesZone)
{
    const std::string prefix = catalogue.cordonPrefix();
    EXPECT_EQ(*catalogue.cordonedZoneOf(prefix + "hall-a"), "hall-a");
    for (const std::string &key : {prefix, prefix + "hall a", std::string("servers/hall-a"), prefix + "hall\n"}) {
        const auto zone = catalogue.cordonedZoneOf(key);
        ASSERT_FALSE(zone.ok()) << key;
        EXPECT_EQ(failureCode(zone.status()), FailureCode::ObjectMalformed);
    }
}

// Guards against a number that overflows when it is converted to a duration.
TEST_F(PlatformAdapterTest, hugeColdTime_isClamped)
{
    const auto listing = catalogue.readEndpoint(endpointObject(R"({"service":"x","address":"10.0.0.1:80","zone":"a",)"
                                                               R"("version":"v","slots":64,"state":"ready",)"
                                                               R"("cold-remaining-ms":1e300,"sequence":4})"));
    ASSERT_TRUE(listing.ok()) << listing.status();
    EXPECT_GT(listing->coldFor, std::chrono::hours(1));
    EXPECT_LE(listing->coldFor, std::chrono::hours(24));
}
