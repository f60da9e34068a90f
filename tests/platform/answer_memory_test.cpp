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
#include "spurlug/net/listener.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>
#include <vector>

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
        co_await fleet.waitUntilReady(settings.readinessAddress);
    }

    /// \param receiveBufferBytes Size of the kernel's buffer for received bytes; 0: its default.
    net::Task<net::asio::ip::tcp::socket> connect(int receiveBufferBytes = 0)
    {
        net::asio::ip::tcp::socket socket(fleet.loop);
        const auto host = net::asio::ip::make_address(settings.callerAddress.host);
        socket.open(net::asio::ip::tcp::v4());
        if (receiveBufferBytes > 0) {
            socket.set_option(net::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        }
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

/// Whether a caller takes an answer for a success of the target.
bool isWholeSuccess(const ObservedAnswer &answer)
{
    return answer.status == core::http_status::Ok && answer.isComplete;
}

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

CallerRequest chatRequest()
{
    CallerRequest request;
    request.path = "/chat/1";
    request.promptTokens = 1000;
    return request;
}

/// The bytes of a request on the wire.
std::string wireText(const net::Request &request)
{
    auto text = core::cat(request.method, " ", request.target, " HTTP/1.1\r\n");
    for (const auto &field : request.headers.fields()) {
        core::append(text, field.name, ": ", field.value, "\r\n");
    }
    return core::cat(text, "Content-Length: ", request.body.size(), "\r\n\r\n", request.body);
}

/// Opens \a count requests at targets that answer without end, whose callers read nothing, and checks that the daemon
/// stays within its memory.
void playIdleCallers(const std::string &service, const CallerRequest &request, const std::string &rawAnswer,
                     const std::string &endlessPart, int count)
{
    SmallVm vm;
    constexpr int Slots = 16;
    for (int i = 0; i < count; i += Slots) {
        auto &target = vm.fleet.addTarget(service, Slots);
        target.behaviour.rawAnswer = rawAnswer;
        target.behaviour.endlessPart = endlessPart;
    }
    constexpr int ReceiveBufferBytes = 4096; // What the kernel buffers does not reach the daemon's memory.
    std::vector<net::asio::ip::tcp::socket> callers;
    vm.fleet.run([&]() -> net::Task<> {
        co_await vm.waitUntilReady();
        for (int i = 0; i < count; ++i) {
            callers.push_back(co_await vm.connect(ReceiveBufferBytes));
            const auto bytes = wireText(vm.fleet.makeRequest(request));
            co_await net::asio::async_write(callers.back(), net::asio::buffer(bytes), net::asio::use_awaitable);
        }
        co_await net::sleepFor(absl::Seconds(3));
    });
    vm.checkMemory();
}

/// A plain answer that a target sends as \a framedBytes after its head.
CallerAnswer answerOf(const std::string &framedBytes, const std::string &path = "/plain/1")
{
    RelayFleet fleet;
    fleet.addTarget("app").behaviour.rawAnswer = RawHead + framedBytes;
    CallerAnswer answer;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        CallerRequest request;
        request.path = path;
        answer = co_await fleet.send(request);
    });
    return answer;
}

std::string largeBody()
{
    constexpr std::size_t Bytes = 3'000'000;
    std::string body(Bytes, '\0');
    for (std::size_t i = 0; i < body.size(); ++i) {
        body[i] = static_cast<char>('a' + i % 23);
    }
    return body;
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

/// A text as often as it fits into one part.
std::string repeated(const std::string &text)
{
    std::string part;
    while (part.size() + text.size() <= PartBytes) {
        part += text;
    }
    return part;
}

std::string sized(std::size_t length)
{
    return core::cat("Content-Length: ", length, "\r\n\r\n");
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

// Guard against bytes that are no answer and are kept until the target closes the connection.
BOOST_AUTO_TEST_CASE(endless_bytes_in_place_of_a_head_are_bounded)
{
    const auto bytes = std::string(PartBytes, 'x');
    for (const auto &begin : {std::string("x"), std::string("HTTP/1.1 200 "), RawHead + "X-Fill: ", RawHead}) {
        const auto answer = playEndless("app", {}, begin, bytes);
        BOOST_TEST(answer.status == 502);
        BOOST_TEST(answer.isComplete);
    }
}

BOOST_AUTO_TEST_CASE(endless_fields_of_a_head_are_bounded)
{
    const auto answer = playEndless("app", {}, RawHead, repeated("X-Fill: 1\r\n"));
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.isComplete);
}

BOOST_AUTO_TEST_CASE(endless_interim_responses_are_bounded)
{
    const auto answer
        = playEndless("app", {}, "HTTP/1.1 100 Continue\r\n\r\n", repeated("HTTP/1.1 100 Continue\r\n\r\n"));
    BOOST_TEST(!isWholeSuccess(answer));
    BOOST_TEST(answer.isComplete);
}

BOOST_AUTO_TEST_CASE(endless_fields_after_the_chunks_are_bounded)
{
    for (const auto &part : {repeated("X-Fill: 1\r\n"), std::string(PartBytes, 'x')}) {
        const auto answer = playEndless("app", {}, ChunkedHead + chunk("the answer") + "0\r\n", part);
        BOOST_TEST(answer.status == 502);
        BOOST_TEST(answer.isComplete);
    }
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

// Guards against answers that are collected whole, whatever their size.
BOOST_AUTO_TEST_CASE(an_answer_of_endless_chunks_is_not_collected)
{
    const auto answer = playEndless("app", {}, ChunkedHead, chunk(std::string(PartBytes, 'x')));
    BOOST_TEST(!isWholeSuccess(answer));
}

BOOST_AUTO_TEST_CASE(an_endless_answer_without_framing_is_not_collected)
{
    const auto answer = playEndless("app", {}, RawHead + "\r\n", std::string(PartBytes, 'x'));
    BOOST_TEST(!isWholeSuccess(answer));
}

BOOST_AUTO_TEST_CASE(an_answer_of_a_huge_length_is_not_collected)
{
    const auto answer = playEndless("app", {}, RawHead + sized(250'000'000), std::string(PartBytes, 'x'));
    BOOST_TEST(answer.status == 200);
}

BOOST_AUTO_TEST_CASE(an_endless_answer_for_a_slow_caller_is_read_as_slowly)
{
    const auto answer = playEndless("app", {}, ChunkedHead, chunk(std::string(PartBytes, 'x')), absl::Milliseconds(5));
    BOOST_TEST(!isWholeSuccess(answer));
}

BOOST_AUTO_TEST_CASE(endless_answers_for_callers_that_read_nothing_are_bounded)
{
    playIdleCallers("app", {}, ChunkedHead, chunk(std::string(PartBytes, 'x')), 60);
}

// What waits for a slow caller is bounded by its size, not by the number of pieces.
BOOST_AUTO_TEST_CASE(endless_streams_for_callers_that_read_nothing_are_bounded)
{
    const auto event = core::cat("data: ", std::string(16'000, 'x'), "\n\n");
    playIdleCallers("model", chatRequest(), StreamHead, event, 200);
}

// Guards against heads of answers that take several times their size for each request.
BOOST_AUTO_TEST_CASE(large_heads_of_answers_are_bounded)
{
    const auto head
        = core::cat(RawHead, "X-Fill: ", std::string(60'000, 'x'), "\r\nTransfer-Encoding: chunked\r\n\r\n");
    playIdleCallers("app", {}, head, chunk(std::string(PartBytes, 'x')), 600);
}

// Guards against request bodies that exceed the memory together, while their target answers none of them.
BOOST_AUTO_TEST_CASE(bodies_of_requests_that_wait_for_their_target_are_bounded)
{
    constexpr int Count = 700;
    constexpr std::size_t BodyBytes = 99'000;
    SmallVm vm;
    vm.fleet.addTarget("app", Count).behaviour.fault = Behaviour::Fault::Hang;
    int refused = 0;
    vm.fleet.run([&]() -> net::Task<> {
        co_await vm.waitUntilReady();
        int ended = 0;
        CallerRequest request;
        request.body = std::string(BodyBytes, 'x');
        for (int i = 0; i < Count; ++i) {
            net::asio::co_spawn(
                vm.fleet.loop,
                [&]() -> net::Task<> {
                    const auto answer = co_await vm.fleet.sendTo(vm.settings.callerAddress, request);
                    refused += answer.status == core::http_status::ServiceUnavailable ? 1 : 0;
                    ++ended;
                },
                net::asio::detached);
        }
        while (ended < Count) {
            co_await net::sleepFor(absl::Milliseconds(20));
        }
    });
    BOOST_TEST(refused > 0);
    vm.checkMemory();
}

// Guards against a stream event without an end, of which each new piece was searched from its beginning.
BOOST_AUTO_TEST_CASE(a_stream_whose_event_never_ends_is_resumed_elsewhere)
{
    SmallVm vm;
    auto &endless = vm.fleet.addTarget("model");
    endless.behaviour.rawAnswer = StreamHead + "id: 0\ndata: token 0\n\nid: 1\ndata: ";
    endless.behaviour.endlessPart = std::string(PartBytes, 'x');
    CallerAnswer answer;
    vm.fleet.run([&]() -> net::Task<> {
        co_await vm.waitUntilReady();
        net::asio::co_spawn(
            vm.fleet.loop,
            [&]() -> net::Task<> {
                co_await net::sleepFor(absl::Milliseconds(10)); // The first attempt has a single target.
                vm.fleet.addTarget("model").behaviour.eventCount = 3;
            },
            net::asio::detached);
        answer = co_await vm.fleet.sendTo(vm.settings.callerAddress, chatRequest());
    });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.isComplete);
    BOOST_TEST(answer.body == "id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n");
    BOOST_TEST(vm.daemon.log().find("a stream event exceeds") != std::string::npos);
    vm.checkMemory();
}

// Guards against answers of the store that are collected up to 256 MiB.
BOOST_AUTO_TEST_CASE(an_endless_answer_of_the_store_is_bounded)
{
    RelayFleet fleet(0);
    net::Listener listener(fleet.loop, {"127.0.0.1", 0});
    int calls = 0;
    const auto serve = [&](net::asio::ip::tcp::socket socket) -> net::Task<> {
        ++calls;
        std::string bytes(PartBytes, 'x');
        const auto requestBuffer = net::asio::buffer(bytes);
        auto [error, size] = co_await socket.async_read_some(requestBuffer, net::Awaited);
        bytes = "HTTP/1.1 200 OK\r\n\r\n{\"items\":[" + std::string(PartBytes, ' ');
        while (!error) {
            const auto buffer = net::asio::buffer(bytes);
            const auto [writeError, written] = co_await net::asio::async_write(socket, buffer, net::Awaited);
            error = writeError;
        }
    };
    net::asio::co_spawn(fleet.loop, listener.run([&](net::asio::ip::tcp::socket socket) {
        net::asio::co_spawn(fleet.loop, serve(std::move(socket)), net::asio::detached);
    }),
                        net::asio::detached);
    auto settings = fleet.makeSettings();
    settings.memory = VmMemory;
    settings.store = listener.address();
    const support::TemporaryDirectory directory;
    RelayProcess daemon(directory, settings);
    fleet.run([&]() -> net::Task<> { co_await net::sleepFor(absl::Seconds(3)); });
    BOOST_TEST(calls > 0);
    BOOST_TEST(!daemon.hasExited());
    BOOST_TEST(daemon.peakResidentBytes() < VmMemory);
}

BOOST_AUTO_TEST_CASE(a_large_answer_with_a_length_is_relayed_whole)
{
    const auto body = largeBody();
    const auto answer = answerOf(sized(body.size()) + body);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST((answer.head.length && *answer.head.length == body.size()));
    BOOST_TEST(answer.head.headers.value("Server-Signature") == "signed-raw");
    BOOST_TEST(answer.isComplete);
    BOOST_TEST((answer.body == body));
}

BOOST_AUTO_TEST_CASE(a_large_answer_in_chunks_is_relayed_whole)
{
    const auto body = largeBody();
    const auto answer = answerOf("Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.isComplete);
    BOOST_TEST((answer.body == body));
}

BOOST_AUTO_TEST_CASE(a_large_answer_without_framing_is_relayed_whole)
{
    const auto body = largeBody();
    const auto answer = answerOf("\r\n" + body);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.isComplete);
    BOOST_TEST((answer.body == body));
}

// Guards against an answer that breaks after a part of it was passed on, and then looks complete.
BOOST_AUTO_TEST_CASE(a_large_answer_that_breaks_does_not_look_complete)
{
    const auto body = largeBody();
    for (const auto *path : {"/plain/1", "/safe/1"}) {
        const auto shortBody = answerOf(sized(body.size() + 1) + body, path);
        BOOST_TEST(shortBody.status == 200);
        BOOST_TEST(!shortBody.isComplete);
        const auto openChunks = answerOf("Transfer-Encoding: chunked\r\n\r\n" + chunk(body), path);
        BOOST_TEST(openChunks.status == 200);
        BOOST_TEST(!openChunks.isComplete);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
