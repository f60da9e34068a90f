//----------------------------------------------------------------------------------------------------------------------
// spurlug: integration tests of plain services whose answers are no HTTP answers, or break off
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"

#include "spurlug/core/address.h"
#include "spurlug/dispatch/event_channel.h"
#include "spurlug/dispatch/target_client.h"

#include <array>
#include <atomic>
#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

using support::Answer;
using support::Fleet;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

const std::string WholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nthe answer";

/// A plain service that reads the head of each request, answers with given bytes and resets the connection or closes
/// it.
class RawService
{
public:
    RawService()
        : m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_thread([this] { run(); })
    { }

    ~RawService()
    {
        m_stopped = true;
        boost::system::error_code ignored; // The connection only wakes the thread.
        tcp::socket(m_context).connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    RawService(const RawService &) = delete;
    RawService &operator=(const RawService &) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    void setAnswer(std::string bytes, bool resets)
    {
        const std::lock_guard lock(m_mutex);
        m_answer = std::move(bytes);
        m_resets = resets;
    }

    /// Sends a part again and again after the answer, until the other side closes or \a MaxEndlessBytes are sent.
    void setEndlessPart(std::string part)
    {
        const std::lock_guard lock(m_mutex);
        m_endlessPart = std::move(part);
    }

    /// Head of the last request, and what arrived with it.
    [[nodiscard]] std::string lastRequest()
    {
        const std::lock_guard lock(m_mutex);
        return m_lastRequest;
    }

    /// Bytes of endless parts that were sent so far.
    [[nodiscard]] std::size_t endlessBytes() const
    {
        return m_endlessBytes;
    }

    static constexpr std::size_t MaxEndlessBytes = 200'000'000;

private:
    void run()
    {
        while (!m_stopped) {
            tcp::socket socket(m_context);
            boost::system::error_code error;
            m_acceptor.accept(socket, error);
            asio::streambuf request;
            if (!error) {
                asio::read_until(socket, request, "\r\n\r\n", error);
            }
            if (error) {
                continue; // Nothing was sent.
            }
            const std::lock_guard lock(m_mutex);
            m_lastRequest.assign(asio::buffers_begin(request.data()), asio::buffers_end(request.data()));
            asio::write(socket, asio::buffer(m_answer), error);
            m_endlessBytes = 0;
            while (!m_endlessPart.empty() && !error && m_endlessBytes < MaxEndlessBytes) {
                m_endlessBytes += asio::write(socket, asio::buffer(m_endlessPart), error);
            }
            if (m_resets) {
                socket.set_option(asio::socket_base::linger(true, 0), error);
            } else {
                socket.shutdown(tcp::socket::shutdown_send, error);
            }
            socket.close(error); // The destructor would close the connection in order.
        }
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::string m_answer;
    bool m_resets = false;
    std::string m_endlessPart;
    std::string m_lastRequest;
    std::atomic<std::size_t> m_endlessBytes = 0;
    std::thread m_thread;
};

/// A fleet with a raw service.
struct RawFleet : Fleet
{
    RawFleet()
    {
        configuration()["services"][0]["targets"][0]["address"] = service.address();
        const auto [code, output] = applyConfiguration();
        BOOST_REQUIRE_MESSAGE(code == 0, output);
    }

    /// The answer that a caller gets when the service sends some bytes.
    Answer answerTo(const std::string &bytes, bool resets = false, std::size_t bodyBytes = 4)
    {
        service.setAnswer(bytes, resets);
        return support::call(callerAddress("domain-a-1"), "PUT", "/services/service/x", std::string(bodyBytes, 'u'),
                             {{"Authorization", std::string("Bearer ") + Fleet::ApiKey}});
    }

    RawService service;
};

} // namespace

BOOST_AUTO_TEST_SUITE(broken_answers)

// Guards against a status that is no HTTP status, alone or before bytes that look like an answer.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_status_is_not_passed_on)
{
    RawFleet fleet;
    for (const std::string status : {"000", "001", "099", "101", "0", "20", "2000", "2x0"}) {
        const auto statusLine = "HTTP/1.1 " + status + " Status\r\n";
        for (const auto &bytes :
             {statusLine + "Content-Length: 10\r\n\r\nthe answer", statusLine + "\r\n" + WholeAnswer,
              "HTTP/1.1 100 Continue\r\n\r\n" + statusLine + "\r\n" + WholeAnswer}) {
            BOOST_TEST(fleet.answerTo(bytes).status == 502, "status " << status);
        }
    }
}

BOOST_AUTO_TEST_CASE(interim_responses_before_an_answer_are_skipped)
{
    RawFleet fleet;
    for (const std::string status : {"100", "102", "103", "199"}) {
        const auto answer = fleet.answerTo("HTTP/1.1 " + status + " Status\r\n\r\n" + WholeAnswer);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == "the answer");
    }
}

BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_field_name_is_not_passed_on)
{
    RawFleet fleet;
    std::vector<std::string> names{"Content-Length ", "Content-Length\t"};
    for (unsigned byte = 0; byte <= ' '; ++byte) {
        if (byte != '\r' && byte != '\n') {
            names.push_back(std::string("X-") + static_cast<char>(byte) + "Field");
        }
    }
    names.emplace_back("X-\x7f"
                       "Field");
    for (const auto &name : names) {
        const auto answer = fleet.answerTo("HTTP/1.1 200 OK\r\n" + name + ": 4\r\n\r\nthe answer");
        BOOST_TEST(answer.status == 502, "'" << name << "': " << answer.status);
    }
}

// Guards against lines that are dropped, together with the length of the body that they may give.
BOOST_AUTO_TEST_CASE(an_answer_with_a_line_that_is_no_field_is_not_passed_on)
{
    RawFleet fleet;
    for (const std::string line :
         {"Content-\rLength: 4", "Content-\nLength: 4", " Content-Length: 4", ": 4", "No colon"}) {
        const auto answer = fleet.answerTo("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nthe answer");
        BOOST_TEST(answer.status == 502, "'" << line << "': " << answer.status);
    }
}

// Guards against the part of an answer that looks complete, whatever of the request the service has read.
BOOST_AUTO_TEST_CASE(an_answer_without_framing_that_is_reset_is_not_passed_on_as_complete)
{
    RawFleet fleet;
    for (const std::size_t bodyBytes : {4U, 100'000U, 3'000'000U, 12'000'000U}) {
        for (int play = 0; play < 5; ++play) {
            const auto answer = fleet.answerTo("HTTP/1.1 200 OK\r\n\r\nthe part", true, bodyBytes);
            BOOST_TEST((answer.isIncomplete || answer.status == 502),
                       bodyBytes << " bytes: " << answer.status << " " << answer.body);
        }
    }
}

// Guards against fields that a caller smuggles into the request to a target by escapes, which cpp-httplib decodes.
BOOST_AUTO_TEST_CASE(a_header_value_with_escaped_line_breaks_adds_no_field)
{
    RawFleet fleet;
    fleet.service.setAnswer(WholeAnswer, false);
    const auto answer
        = support::call(fleet.callerAddress("domain-a-1"), "PUT", "/services/service/x", "body",
                        {{"Authorization", std::string("Bearer ") + Fleet::ApiKey}, {"X-Field", "a%0d%0aX-Added: 1"}});
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(fleet.service.lastRequest().starts_with("PUT /x "));
    BOOST_TEST(fleet.service.lastRequest().find("\nX-Added") == std::string::npos);
}

// Guards against bytes without end that are no answer, and are kept until the engine closes the connection.
BOOST_AUTO_TEST_CASE(endless_bytes_of_an_engine_are_cut_off)
{
    constexpr std::size_t MaxTakenBytes = 32 << 20; // What the buffers of the connection hold counts too.
    constexpr std::size_t PartBytes = 64 << 10;
    RawService engine;
    engine.setEndlessPart(std::string(PartBytes, 'x'));
    for (const std::string head :
         {"x", "HTTP/1.1 200 OK\r\nX-Fill: ", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\ndata: "}) {
        engine.setAnswer(head, false);
        spurlug::dispatch::AttemptRequest attempt;
        attempt.target = spurlug::core::parseAddress(engine.address());
        attempt.path = "/";
        attempt.timeout = absl::Seconds(5);
        spurlug::dispatch::EventChannel events;
        spurlug::dispatch::EngineClient().run(attempt, events);
        const auto result = events.pop(absl::Seconds(1));
        BOOST_REQUIRE(result.has_value());
        const auto *end = std::get_if<spurlug::dispatch::AttemptResult>(&*result);
        BOOST_REQUIRE(end != nullptr);
        BOOST_TEST((end->outcome == spurlug::core::Outcome::MayHaveRun));
        BOOST_TEST(end->targetFailed);
        BOOST_TEST(engine.endlessBytes() < MaxTakenBytes, "'" << head << "': " << engine.endlessBytes() << " bytes");
    }
}

BOOST_AUTO_TEST_SUITE_END()
