#include "rawendpointfixture.h"

#include "loopbackrequest.h"
#include "names.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <filesystem>

#include <poll.h>
#include <unistd.h>

namespace RadishSwitch
{

namespace net = boost::asio;

namespace
{

constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr char kLastChunk[] = "\r\n0\r\n\r\n";

std::string loopback(int port)
{
    return std::string(kLoopback) + ":" + std::to_string(port);
}

std::string program(const std::string &name)
{
    return std::string(PROGRAMS_FOLDER) + "/" + name;
}

bool waitForBytes(net::ip::tcp::socket &socket, std::chrono::steady_clock::time_point end)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
    pollfd waited{socket.native_handle(), POLLIN, 0};
    return left.count() > 0 && ::poll(&waited, 1, static_cast<int>(left.count())) > 0;
}

/// The value of a field that the gateway writes; empty without it.
std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::size_t begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + name.size() + 4;
    return head.substr(value, head.find('\r', value) - value);
}

/// Whether an answer that was read up to `ec` ended as its head announces.
bool hasEnded(const SeenAnswer &seen, boost::system::error_code ec)
{
    if (seen.text.find(kHeadEnd) == std::string::npos) {
        return false;
    }
    const std::string head = seen.text.substr(0, seen.text.find(kHeadEnd) + 2);
    if (fieldOf(head, "Transfer-Encoding") == "chunked") {
        return seen.text.ends_with(kLastChunk);
    }
    const std::string length = fieldOf(head, "Content-Length");
    if (!length.empty()) {
        return seen.body().size() == std::stoul(length);
    }
    return ec == net::error::eof;
}

}

std::string SeenAnswer::body() const
{
    const std::size_t n = text.find(kHeadEnd);
    return n == std::string::npos ? std::string() : text.substr(n + std::string_view(kHeadEnd).size());
}

// Bound and not listening: the kernel gives the port to nobody who asks for any, and a process that shares addresses
// may listen there.
ReservedPort::ReservedPort()
    : m_holder(m_context, net::ip::tcp::v4())
{
    m_holder.set_option(net::socket_base::reuse_address(true));
    m_holder.bind({net::ip::address_v4::loopback(), 0});
}

int ReservedPort::number() const
{
    return m_holder.local_endpoint().port();
}

CallerConnection::CallerConnection(int port)
    : m_socket(m_context)
{
    boost::system::error_code ec;
    m_socket.connect({net::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, ec);
}

SeenAnswer CallerConnection::call(const std::string &request, const CallerOptions &options)
{
    const auto begin = std::chrono::steady_clock::now();
    boost::system::error_code ec;
    net::write(m_socket, net::buffer(request), ec);
    SeenAnswer seen;
    std::string buf(kPieceBytes, '\0');
    while (!ec && !seen.isComplete && waitForBytes(m_socket, begin + options.patience)) {
        const std::size_t n = m_socket.read_some(net::buffer(buf), ec);
        seen.text.append(buf, 0, std::min(n, options.keptBytes - std::min(options.keptBytes, seen.text.size())));
        seen.isComplete = options.keepsConnection && hasEnded(seen, ec);
    }
    seen.taken = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
    constexpr std::size_t kStatusOffset = std::string_view("HTTP/1.1 ").size();
    seen.status = seen.text.size() > kStatusOffset ? std::atoi(seen.text.c_str() + kStatusOffset) : 0;
    seen.isComplete = hasEnded(seen, ec);
    return seen;
}

RawEndpointFixture::RawEndpointFixture(const std::string &name, AnswerToCall answerToCall,
                                       std::chrono::seconds drainTimeout)
    : m_answerToCall(answerToCall)
    , storePort(m_storePort.number())
    , gatewayPort(m_gatewayPort.number())
    , adminPort(m_adminPort.number())
    , folder(testing::TempDir() + name + "-" + std::to_string(::getpid()))
    , first([this](const std::string &head) {
        return answerTo(fieldOf(head, PlatformNames::kCallId));
    })
    , second([this](const std::string &head) {
        return answerTo(fieldOf(head, PlatformNames::kCallId));
    })
{
    std::filesystem::create_directories(folder);
    store = ChildProcess({program("standin-store"), "--listen", loopback(storePort)}, folder + "/store.log");
    SoakPlatform platform(storePort);
    EXPECT_TRUE(waitUntil([&] {
        return platform.isReached();
    }));
    platform.putConfiguration({{SoakPlatform::organisation(0), 1'000'000}});
    platform.listEndpoint("endpoint-1", loopback(first.port()), "ready", 1'000, "v1");
    platform.listEndpoint("endpoint-2", loopback(second.port()), "ready", 1'000, "v1");
    gateway = ChildProcess({program("radishswitch-gateway"), "--region", "south", "--zone", "a", "--listen",
                            loopback(gatewayPort), "--admin-listen", loopback(adminPort), "--peer-listen", loopback(0),
                            "--platform", loopback(storePort), "--drain-timeout",
                            std::to_string(drainTimeout.count()) + "s", "--first-start=true"},
                           folder + "/gateway.log");
    EXPECT_TRUE(waitUntil([&] {
        return requestLoopback("GET", adminPort, "/readyz", "");
    }));
}

RawEndpointFixture::~RawEndpointFixture()
{
    gateway = ChildProcess();
    if (!HasFailure()) {
        std::filesystem::remove_all(folder);
    }
}

void RawEndpointFixture::setAnswers(const std::string &call, std::vector<RawAnswer> answers)
{
    const std::lock_guard lock(m_mutex);
    m_answers[call] = std::move(answers);
}

int RawEndpointFixture::asked(const std::string &call)
{
    const std::lock_guard lock(m_mutex);
    return m_asked[call];
}

RawAnswer RawEndpointFixture::answerTo(const std::string &call)
{
    const std::lock_guard lock(m_mutex);
    const auto n = static_cast<std::size_t>(m_asked[call]++);
    const auto it = m_answers.find(call);
    return it == m_answers.end() ? m_answerToCall(call) : it->second[std::min(n, it->second.size() - 1)];
}

std::string RawEndpointFixture::firstLines(const std::string &statusLine, const std::string &call)
{
    return "HTTP/1.1 " + statusLine + "\r\n" + PlatformNames::kCallId + ": " + call + "\r\n" + PlatformNames::kSignature
        + ": mark\r\n";
}

RawAnswer RawEndpointFixture::properAnswer(const std::string &call)
{
    RawAnswer answer;
    answer.beginning = firstLines("200 OK", call) + "Content-Length: 2\r\n\r\nok";
    return answer;
}

std::string RawEndpointFixture::requestOf(const std::string &target, const std::string &id,
                                          const CallerOptions &options)
{
    return "POST " + target + "1 HTTP/" + options.version + "\r\nHost: soak.example\r\n" + PlatformNames::kCallId + ": "
        + id + "\r\n" + PlatformNames::kPatience + ": " + std::to_string(options.timeout.count()) + "\r\n"
        + PlatformNames::kAuthorization + ": " + PlatformNames::kKeyScheme + SoakPlatform::apiKey(0) + "\r\n"
        + (options.keepsConnection ? "" : "Connection: close\r\n")
        + "Content-Length: " + std::to_string(options.body.size()) + kHeadEnd + options.body;
}

SeenAnswer RawEndpointFixture::call(const std::string &target, const std::string &id,
                                    const CallerOptions &options) const
{
    return CallerConnection(gatewayPort).call(requestOf(target, id, options), options);
}

std::string RawEndpointFixture::metrics() const
{
    net::io_context context;
    net::ip::tcp::socket socket(context);
    socket.connect({net::ip::address_v4::loopback(), static_cast<std::uint16_t>(adminPort)});
    boost::system::error_code ec;
    net::write(socket, net::buffer(std::string_view("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")),
               ec);
    std::string text;
    net::read(socket, net::dynamic_buffer(text), ec);
    return text;
}

}
