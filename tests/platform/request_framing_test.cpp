//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the framing of callers' requests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against requests that are smuggled inside others. A request with a transfer coding that the relay
// does not decode was passed on without its body, and its body was run as the next request.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include "spurlug/core/text.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

namespace spurlug::test
{

namespace
{

/// A request with the given header fields, followed by another one in place of its body.
std::string requestWith(const std::string &fields)
{
    const std::string head = "POST /plain/1 HTTP/1.1\r\nHost: ferry.example\r\nAuthorization: Bearer key-1\r\n"
                             "Deadline-Ms: 3000\r\n";
    return core::cat(head, "Attempt-Id: outer\r\n", fields, "\r\n", head, "Attempt-Id: inner\r\n\r\n");
}

/// Sends bytes over one connection.
/// \returns What the daemon sent until it closed the connection.
std::string exchangeBytes(RelayFleet &fleet, const std::string &bytes)
{
    std::string received;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        net::asio::ip::tcp::socket socket(fleet.loop);
        const auto &address = fleet.callerAddress();
        const auto host = net::asio::ip::make_address(address.host);
        co_await socket.async_connect({host, address.port}, net::asio::use_awaitable);
        co_await net::asio::async_write(socket, net::asio::buffer(bytes), net::asio::use_awaitable);
        std::array<char, 4096> buffer{};
        for (boost::system::error_code error; !error;) {
            const auto [readError, size] = co_await socket.async_read_some(net::asio::buffer(buffer), net::Awaited);
            received.append(buffer.data(), size);
            error = readError;
        }
    });
    return received;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_framing)

BOOST_AUTO_TEST_CASE(a_request_with_an_unknown_transfer_coding_is_rejected_and_its_body_is_not_run)
{
    for (const auto *coding : {"identity", "gzip", "gzip, chunked", "chunked, identity", "unknown", ""}) {
        RelayFleet fleet;
        const auto &target = fleet.addTarget("app");
        const auto answer = exchangeBytes(fleet, requestWith(core::cat("Transfer-Encoding: ", coding, "\r\n")));
        BOOST_TEST(answer.starts_with("HTTP/1.1 400"), "coding " << coding << ": " << answer);
        BOOST_TEST(target.startedRequests().empty());
    }
}

BOOST_AUTO_TEST_CASE(a_request_with_two_transfer_codings_is_rejected)
{
    RelayFleet fleet;
    const auto &target = fleet.addTarget("app");
    const auto answer
        = exchangeBytes(fleet, requestWith("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 400"));
    BOOST_TEST(target.startedRequests().empty());
}

BOOST_AUTO_TEST_CASE(a_request_in_chunks_is_run_with_its_body)
{
    RelayFleet fleet;
    const auto &target = fleet.addTarget("app");
    const auto answer = exchangeBytes(fleet,
                                      "POST /plain/1 HTTP/1.1\r\nHost: ferry.example\r\nAuthorization: Bearer key-1\r\n"
                                      "Deadline-Ms: 3000\r\nAttempt-Id: chunks\r\nTransfer-Encoding: Chunked\r\n"
                                      "Connection: close\r\n\r\n4\r\nfour\r\n2\r\n+2\r\n0\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_REQUIRE(target.startedRequests().size() == 1U);
    BOOST_TEST(target.startedRequests().front().body == "four+2");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
