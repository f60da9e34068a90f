//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the memory for answers and for bytes without end
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against a daemon that exceeds its memory with what others send, and is killed with all that it
// serves.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"
#include "relay_process.h"

#include "spurlug/core/text.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

namespace spurlug::test
{

namespace
{

constexpr std::int64_t VmMemory = 112 << 20; ///< Memory of the smallest VMs, bytes.
constexpr std::size_t PartBytes = 64 << 10;
const std::string RawHead = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: signed-raw\r\n";
const std::string ChunkedHead = RawHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string StreamHead = RawHead + "Content-Type: text/event-stream\r\n\r\n";

/// A daemon in a process of its own, with its store and a target on the loop of the test.
class SmallVm
{
public:
    SmallVm()
        : fleet(0)
        , settings(smallSettings(fleet))
        , daemon(m_directory, settings)
    { }

    net::Task<> waitUntilReady()
    {
        for (int status = 0; status != core::http_status::Ok;) {
            co_await net::sleepFor(absl::Milliseconds(20));
            net::Request request;
            request.method = "GET";
            request.target = "/v1/ready";
            std::string error;
            const auto deadline = core::now() + absl::Seconds(1);
            const auto answer = co_await net::exchange(fleet.loop, settings.readinessAddress, request, deadline, error);
            status = answer ? answer->head.status : 0;
        }
        co_await net::sleepFor(absl::Milliseconds(100)); // A separate call reads the target list.
    }

    net::Task<net::asio::ip::tcp::socket> connect()
    {
        net::asio::ip::tcp::socket socket(fleet.loop);
        const auto host = net::asio::ip::make_address(settings.callerAddress.host);
        co_await socket.async_connect({host, settings.callerAddress.port}, net::asio::use_awaitable);
        co_return socket;
    }

    void checkMemory()
    {
        BOOST_TEST(!daemon.hasExited());
        BOOST_TEST(daemon.peakResidentBytes() > 0);
        BOOST_TEST(daemon.peakResidentBytes() < VmMemory);
    }

private:
    static settings::RelaySettings smallSettings(RelayFleet &fleet)
    {
        auto settings = fleet.makeSettings();
        settings.memory = VmMemory;
        return settings;
    }

    support::TemporaryDirectory m_directory;

public:
    RelayFleet fleet;
    const settings::RelaySettings settings;
    RelayProcess daemon;
};

/// What a caller saw of an answer; the body is not kept.
struct ObservedAnswer
{
    int status = 0; ///< 0: no answer.
    std::size_t bodyBytes = 0;
    bool isComplete = false;
};

/// Sends a request to a target that answers with \a rawAnswer and then \a endlessPart without end, and checks that the
/// daemon stays within its memory.
/// \param pause Pause of the caller after each piece of the body.
ObservedAnswer playEndless(const std::string &service, const CallerRequest &request, const std::string &rawAnswer,
                           const std::string &endlessPart, core::Duration pause = absl::ZeroDuration())
{
    SmallVm vm;
    auto &target = vm.fleet.addTarget(service);
    target.behaviour.rawAnswer = rawAnswer;
    target.behaviour.endlessPart = endlessPart;
    ObservedAnswer observed;
    vm.fleet.run([&]() -> net::Task<> {
        co_await vm.waitUntilReady();
        net::ClientConnection connection(vm.fleet.loop);
        const auto error = co_await connection.connect(vm.settings.callerAddress, absl::Seconds(1));
        BOOST_TEST(error.empty());
        connection.startSend(vm.fleet.makeRequest(request));
        const auto deadline = core::now() + absl::Seconds(8);
        const auto head = co_await connection.readHead(deadline);
        observed.status = head ? head->status : 0;
        for (bool reads = head.has_value(); reads;) {
            const auto piece = co_await connection.readBody(deadline);
            observed.bodyBytes += piece.bytes.size();
            reads = piece.state == net::BodyPiece::State::More;
            observed.isComplete = piece.state == net::BodyPiece::State::Complete;
            co_await net::sleepFor(pause);
        }
    });
    vm.checkMemory();
    return observed;
}

/// Sends a head and then \a endlessPart without end to a daemon, and checks that it refuses the request and stays
/// within its memory.
/// \returns What it sent until it closed the connection, or until two seconds had passed.
std::string sendEndless(const std::string &fields, const std::string &endlessPart)
{
    SmallVm vm;
    std::string received;
    vm.fleet.run([&]() -> net::Task<> {
        co_await vm.waitUntilReady();
        auto socket = co_await vm.connect();
        const auto head = core::cat("POST /plain/1 HTTP/1.1\r\nHost: ferry.example\r\nAuthorization: Bearer key-1\r\n"
                                    "Deadline-Ms: 3000\r\nAttempt-Id: endless\r\n",
                                    fields);
        co_await net::asio::async_write(socket, net::asio::buffer(head), net::asio::use_awaitable);
        const auto until = core::now() + absl::Seconds(2);
        std::array<char, 4096> buffer{};
        for (bool isOpen = true; isOpen && core::now() < until;) {
            const auto part = net::asio::buffer(endlessPart);
            const auto [error, size] = co_await net::asio::async_write(socket, part, net::Awaited);
            isOpen = !error && socket.available() == 0;
        }
        boost::system::error_code error;
        const auto size = socket.available(error) > 0 ? socket.read_some(net::asio::buffer(buffer), error) : 0;
        received.assign(buffer.data(), size);
    });
    vm.checkMemory();
    return received;
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_memory)

// Guards against a read buffer that grows by gigabytes with the size line of a chunk.
BOOST_AUTO_TEST_CASE(an_endless_chunk_size_of_a_target_is_bounded)
{
    const auto answer = playEndless("app", {}, ChunkedHead, std::string(PartBytes, '0'));
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.isComplete);
}

BOOST_AUTO_TEST_CASE(an_endless_chunk_extension_of_a_target_is_bounded)
{
    const auto answer = playEndless("app", {}, ChunkedHead + "5;", std::string(PartBytes, 'x'));
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.isComplete);
}

// Guards against the same growth by the requests of callers.
BOOST_AUTO_TEST_CASE(an_endless_chunk_size_of_a_caller_is_refused)
{
    const auto answer = sendEndless("Transfer-Encoding: chunked\r\n\r\n", std::string(PartBytes, '0'));
    BOOST_TEST(answer.starts_with("HTTP/1.1 400 "));
}

BOOST_AUTO_TEST_CASE(an_endless_chunk_extension_of_a_caller_is_refused)
{
    const auto answer = sendEndless("Transfer-Encoding: chunked\r\n\r\n5;", std::string(PartBytes, 'x'));
    BOOST_TEST(answer.starts_with("HTTP/1.1 400 "));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
