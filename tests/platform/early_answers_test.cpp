//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of answers that arrive while the request is still being written
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The kernel reports a reset once, to whichever call comes first; a later read returns the bytes that had arrived and
// then an ordinary end. The tests guard against the part of an answer without a length that a target sent before the
// reset and that was passed on as complete, because the pending write of the request had received the error.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"
#include "relay_process.h"

#include "spurlug/net/tunnel.h"
#include "spurlug/net/tunnel_stream.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

namespace spurlug::test
{

namespace
{

using RawEnd = Behaviour::RawEnd;
using tcp = net::asio::ip::tcp;

constexpr std::size_t UploadBytes = 8'000'000; ///< More than the buffers of a connection hold.
constexpr int Plays = 3;
constexpr auto Together = absl::ZeroDuration(); ///< The answer and the end of the connection arrive together.
constexpr auto Apart = absl::Milliseconds(20); ///< The answer is read before the connection ends.
const std::string RawHead = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: signed-raw\r\n";
const std::string PlainAnswer = RawHead + "\r\nthe answer";
const std::string Events = "id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\n";
const std::string StreamAnswer = RawHead + "Content-Type: text/event-stream\r\n\r\n" + Events;
const std::string WholeStream = Events + "id: 2\ndata: token 2\n\n";

/// A target that answers with raw bytes while the write of the request waits, and then ends the connection.
/// \param delay Time from the answer to the end.
Behaviour answeringEarly(const std::string &rawAnswer, RawEnd end, core::Duration delay = Together)
{
    Behaviour behaviour;
    behaviour.processingTime = absl::Milliseconds(50);
    behaviour.rawAnswer = rawAnswer;
    behaviour.rawEnd = end;
    behaviour.rawEndDelay = delay;
    return behaviour;
}

CallerRequest upload(const std::string &path)
{
    CallerRequest request;
    request.path = path;
    request.body = std::string(UploadBytes, 'u');
    request.promptTokens = path.starts_with("/chat") ? 1000 : 0;
    return request;
}

void allowUploads(RelayFleet &fleet)
{
    fleet.configuration["limits"]["max_body_bytes"] = 2 * UploadBytes;
    fleet.writeConfiguration();
}

bool looksWhole(const CallerAnswer &answer)
{
    return answer.status == core::http_status::Ok && answer.isComplete;
}

/// Adds a sound target of a service once another one has got the request.
net::Task<> addSoundTargetAfter(RelayFleet &fleet, const FakeTarget &first, std::string service)
{
    while (first.arrivals().empty()) {
        co_await net::sleepFor(absl::Milliseconds(1));
    }
    fleet.addTarget(service).behaviour.eventCount = service == "model" ? 3 : 0;
}

/// Uploads to a target that ends its connection during the upload, while another target is sound.
CallerAnswer answerDuringUpload(const Behaviour &behaviour, const std::string &service, const std::string &path,
                                const std::string &method = "POST")
{
    RelayFleet fleet;
    allowUploads(fleet);
    auto &target = fleet.addTarget(service);
    target.behaviour = behaviour;
    CallerAnswer answer;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        net::asio::co_spawn(fleet.loop, addSoundTargetAfter(fleet, target, service), net::asio::detached);
        auto request = upload(path);
        request.method = method;
        answer = co_await fleet.send(std::move(request));
    });
    return answer;
}

/// Two ends of a connection.
struct ConnectedSockets
{
    explicit ConnectedSockets(net::Loop &loop)
        : near(loop)
        , far(loop)
    {
        tcp::acceptor acceptor(loop, tcp::endpoint(net::asio::ip::address_v4::loopback(), 0));
        near.connect(acceptor.local_endpoint());
        acceptor.accept(far);
    }

    tcp::socket near;
    tcp::socket far;
};

/// Plays a target that ends its connection while the proxy of a tunnel writes to it.
/// \returns The mark that ends the tunnel.
net::FrameLength markAfter(RawEnd end)
{
    constexpr int SendBufferBytes = 64 << 10;
    const std::string answer = "the answer";
    net::Loop loop;
    ConnectedSockets client(loop);
    ConnectedSockets target(loop);
    target.near.set_option(net::asio::socket_base::send_buffer_size(SendBufferBytes));
    net::asio::co_spawn(loop, net::relayTunnel(std::move(client.far), std::move(target.near), absl::Seconds(5)),
                        net::asio::detached);
    const std::string request(UploadBytes, 'u');
    net::asio::async_write(client.near, net::asio::buffer(request),
                           [](const boost::system::error_code &, std::size_t) {}); // The tunnel may end before.
    std::string received;
    net::asio::co_spawn(
        loop,
        [](tcp::socket &caller, tcp::socket &server, const std::string &bytes, RawEnd howEnds,
           std::string &frames) -> net::Task<> {
            co_await net::sleepFor(absl::Milliseconds(50)); // The write of the proxy waits by then.
            net::asio::write(server, net::asio::buffer(bytes)); // It blocks, so that the loop sees both at once.
            if (howEnds == RawEnd::Reset) {
                server.set_option(net::asio::socket_base::linger(true, 0));
            } else {
                server.shutdown(tcp::socket::shutdown_send);
            }
            if (howEnds != RawEnd::HalfClose) {
                server.close();
            }
            const auto expected = 2 * sizeof(net::FrameLength) + bytes.size();
            std::string buffer(expected, '\0');
            while (frames.size() < expected) {
                const auto [error, size] = co_await caller.async_read_some(net::asio::buffer(buffer), net::Awaited);
                if (error) {
                    break;
                }
                frames.append(buffer, 0, size);
            }
            caller.close();
            server.close();
        }(client.near, target.far, answer, end, received),
        net::asio::detached);
    loop.run_for(std::chrono::seconds(5));
    BOOST_REQUIRE(received.size() == 2 * sizeof(net::FrameLength) + answer.size());
    BOOST_TEST(received.substr(sizeof(net::FrameLength), answer.size()) == answer);
    std::array<unsigned char, sizeof(net::FrameLength)> mark{};
    std::copy_n(received.end() - mark.size(), mark.size(), mark.begin());
    return boost::endian::load_big_u32(mark.data());
}

} // namespace

BOOST_AUTO_TEST_SUITE(early_answers)

BOOST_AUTO_TEST_CASE(a_plain_answer_that_is_reset_during_the_upload_is_repeated_or_fails)
{
    for (const auto delay : {Together, Apart}) {
        for (int play = 0; play < Plays; ++play) {
            const auto behaviour = answeringEarly(PlainAnswer, RawEnd::Reset, delay);
            const auto failed = answerDuringUpload(behaviour, "app", "/plain/1");
            BOOST_TEST(failed.status == 502); // It may have run, and may not be repeated.
            const auto repeated = answerDuringUpload(behaviour, "app", "/safe/1");
            BOOST_TEST(repeated.status == 200);
            BOOST_TEST(repeated.head.headers.value("Server-Signature") == "signed-i-2");
            BOOST_TEST(repeated.isComplete);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_reset_during_the_upload_is_resumed)
{
    for (const auto delay : {Together, Apart}) {
        for (int play = 0; play < Plays; ++play) {
            const auto behaviour = answeringEarly(StreamAnswer, RawEnd::Reset, delay);
            const auto answer = answerDuringUpload(behaviour, "model", "/chat/1");
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(answer.body == WholeStream);
            BOOST_TEST(answer.isComplete);
        }
    }
}

// A target may answer before it has read the whole request, and end a sound answer with its connection.
BOOST_AUTO_TEST_CASE(a_plain_answer_that_ends_in_order_during_the_upload_is_relayed)
{
    for (const auto end : {RawEnd::Close, RawEnd::HalfClose}) {
        for (const auto delay : {Together, Apart}) {
            const auto answer = answerDuringUpload(answeringEarly(PlainAnswer, end, delay), "app", "/plain/1");
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(answer.body == "the answer");
            BOOST_TEST(answer.isComplete);
        }
    }
}

// No body follows the head of an answer to HEAD, so that the end of the connection says nothing about it.
BOOST_AUTO_TEST_CASE(an_answer_to_head_is_complete_with_its_head)
{
    for (const auto end : {RawEnd::Reset, RawEnd::Close, RawEnd::HalfClose}) {
        for (const auto &rawAnswer : {RawHead + "\r\n", RawHead + "Content-Length: 10\r\n\r\n"}) {
            const auto answer = answerDuringUpload(answeringEarly(rawAnswer, end), "app", "/plain/1", "HEAD");
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(answer.body.empty());
            BOOST_TEST(answer.isComplete);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_process_passes_no_answer_on_that_is_reset_during_the_upload)
{
    const support::TemporaryDirectory directory;
    RelayFleet fleet(0);
    allowUploads(fleet);
    fleet.addTarget("app").behaviour = answeringEarly(PlainAnswer, RawEnd::Reset);
    fleet.addTarget("model").behaviour = answeringEarly(StreamAnswer, RawEnd::Reset);
    for (const auto &target : fleet.targets) {
        target->behaviour.processingTime = absl::ZeroDuration(); // The daemon writes at the same time anyway.
    }
    RelayProcess daemon(directory, fleet.makeSettings());
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady(daemon.settings().readinessAddress);
        for (int play = 0; play < Plays; ++play) {
            for (const auto *path : {"/plain/1", "/safe/1", "/chat/1"}) {
                auto sent = upload(path);
                sent.deadlineMs = 500;
                const auto answer = co_await fleet.sendTo(daemon.settings().callerAddress, std::move(sent));
                BOOST_TEST(!looksWhole(answer), path << " got the part of an answer as a whole one");
            }
        }
    });
}

BOOST_AUTO_TEST_CASE(an_answer_through_a_peer_is_relayed_only_if_it_ends_in_order)
{
    RelayFleet fleet(4, Peers::Connected);
    allowUploads(fleet);
    auto &target = fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        fleet.cutLinks(0, LinkCut::Refuse);
        for (int play = 0; play < Plays; ++play) {
            for (const auto end : {RawEnd::Reset, RawEnd::Close, RawEnd::HalfClose}) {
                target.behaviour = answeringEarly(PlainAnswer, end);
                const auto answer = co_await fleet.send(upload("/plain/1"));
                BOOST_TEST(answer.status == (end == RawEnd::Reset ? 502 : 200));
                BOOST_TEST(answer.isComplete);
            }
        }
        const auto tunnels = co_await fleet.metric("tunnels_opened_total");
        BOOST_TEST(tunnels >= 3 * Plays);
    });
}

BOOST_AUTO_TEST_CASE(a_tunnel_reports_a_reset_whose_error_its_write_received)
{
    for (int play = 0; play < Plays; ++play) {
        BOOST_TEST(markAfter(RawEnd::Reset) == net::TargetBrokeMark);
    }
}

BOOST_AUTO_TEST_CASE(a_tunnel_reports_an_orderly_end_whatever_becomes_of_its_write_to_the_target)
{
    for (int play = 0; play < Plays; ++play) {
        BOOST_TEST(markAfter(RawEnd::Close) == net::TargetClosedMark);
        BOOST_TEST(markAfter(RawEnd::HalfClose) == net::TargetClosedMark);
    }
}

BOOST_AUTO_TEST_CASE(a_collected_response_that_is_reset_while_the_request_is_written_fails)
{
    net::Loop loop;
    FakeTarget target(loop, "i-1");
    int received = 0;
    net::asio::co_spawn(
        loop,
        [](FakeTarget &server, net::Loop &ofLoop, int &responses) -> net::Task<> {
            net::Request request;
            request.method = "POST";
            request.target = "/";
            request.headers.add("Attempt-Id", "request-1");
            request.body = std::string(UploadBytes, 'u');
            for (const auto end : {RawEnd::Reset, RawEnd::Close, RawEnd::HalfClose}) {
                server.behaviour = answeringEarly(PlainAnswer, end);
                std::string error;
                const auto response
                    = co_await net::exchange(ofLoop, server.address(), request, core::now() + absl::Seconds(2), error);
                BOOST_TEST(response.has_value() == (end != RawEnd::Reset));
                BOOST_TEST(error.empty() == response.has_value());
                ++responses;
            }
            ofLoop.stop();
        }(target, loop, received),
        net::asio::detached);
    loop.run_for(std::chrono::seconds(5));
    BOOST_TEST(received == 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
