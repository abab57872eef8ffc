#include "relay/tests/relayfixture.h"

#include <ostream>
#include <tuple>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;

namespace {

/// An answer whose end is the end of its connection, sent while the request is still written.
struct EarlyAnswer
{
    const char *label;
    std::string path;
    std::string extraFields;
    std::string body;
};

const EarlyAnswer earlyAnswers[] = {
        {"Order", "/order/1", "", "early"},
        {"OrderConnectionClose", "/order/1", "Connection: close\r\n", "early"},
        {"OrderKeepAlive", "/order/1", "Keep-Alive: timeout=20\r\n", "early"},
        {"Idempotent", "/read/1", "", "early"},
        {"Stream", "/stream/1", "Content-Type: text/event-stream\r\n", "id: 1\ndata: early\n\n"},
};

/// How the endpoint closes the connection of its answer.
enum class Ending {
    Reset,
    ResetAfterPause,
    /// A close beside unread bytes, which sends a reset.
    CloseWithUnreadBytes,
    CloseWithUnreadBytesAfterPause,
};

const char *toText(Ending ending)
{
    switch (ending) {
    case Ending::Reset:
        return "Reset";
    case Ending::ResetAfterPause:
        return "ResetAfterPause";
    case Ending::CloseWithUnreadBytes:
        return "CloseWithUnreadBytes";
    case Ending::CloseWithUnreadBytesAfterPause:
        return "CloseWithUnreadBytesAfterPause";
    }
    return "";
}

constexpr auto Pause = 50ms;

void reset(Socket &socket)
{
    boost::system::error_code code;
    socket.set_option(boost::asio::socket_base::linger(true, 0), code);
    // The socket's destructor would reset the option.
    socket.close(code);
}

void end(Socket &socket, Ending ending)
{
    if (ending == Ending::ResetAfterPause || ending == Ending::CloseWithUnreadBytesAfterPause)
        std::this_thread::sleep_for(Pause);
    if (ending == Ending::Reset || ending == Ending::ResetAfterPause)
        reset(socket);
}

std::ostream &operator<<(std::ostream &stream, const EarlyAnswer &answer)
{
    return stream << answer.label;
}

} // namespace

/// Two endpoints: the first that receives a request reads a part of it, answers and ends the
/// connection; the other one answers completely.
class EarlyAnswerFixture : public RelayFixture
{
protected:
    /// More than the buffers of the sockets take.
    static constexpr std::size_t UploadBytes = 3U << 20U;

    void startEndpoints(const EarlyAnswer &answer, const std::function<void(Socket &)> &ending)
    {
        const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                + answer.extraFields + "\r\n";
        for (int i = 0; i < 2; ++i) {
            addEndpoint([calls = m_calls, early = head + answer.body, ending](
                                Socket &socket, const std::string &request) {
                if ((*calls)++ == 0) {
                    write(socket, early);
                    ending(socket);
                    return false;
                }
                const bool isStream = request.find("/stream/") != std::string::npos;
                write(socket,
                        isStream ? RelayFixture::answer("a1", "id: 2\ndata: good\n\n", "200 OK",
                                "Content-Type: text/event-stream\r\nConnection: close\r\n")
                                 : RelayFixture::answer("a1", "good", "200 OK", Close));
                std::this_thread::sleep_for(Pause);
                return false;
            });
        }
        start();
    }

    std::string upload(const EarlyAnswer &answer)
    {
        return call(request("POST", answer.path, Close, std::string(UploadBytes, 'x')));
    }

    std::shared_ptr<std::atomic<int>> m_calls = std::make_shared<std::atomic<int>>(0);
};

class IncompleteAnswerFixture : public EarlyAnswerFixture,
                                public testing::WithParamInterface<std::tuple<EarlyAnswer, Ending>>
{};

INSTANTIATE_TEST_SUITE_P(Endings, IncompleteAnswerFixture,
        testing::Combine(testing::ValuesIn(earlyAnswers),
                testing::Values(Ending::Reset, Ending::ResetAfterPause,
                        Ending::CloseWithUnreadBytes, Ending::CloseWithUnreadBytesAfterPause)),
        [](const auto &info) {
            return std::string(std::get<0>(info.param).label) + toText(std::get<1>(info.param));
        });

// Regression: the write of the request took the error of the connection, the read saw a plain end,
// and the part was delivered as a complete answer.
TEST_P(IncompleteAnswerFixture, serve_connectionResetDuringUpload_partNotDeliveredAsComplete)
{
    const auto &[answer, ending] = GetParam();
    startEndpoints(answer, [ending = ending](Socket &socket) { end(socket, ending); });
    const std::string got = upload(answer);
    if (answer.path == "/order/1") {
        EXPECT_EQ(statusOf(got), 502U) << got;
        EXPECT_EQ(*m_calls, 1);
    } else {
        EXPECT_EQ(statusOf(got), 200U) << got;
        EXPECT_NE(got.find("good"), std::string::npos) << got;
        EXPECT_EQ(*m_calls, 2);
    }
    if (answer.path != "/stream/1") {
        EXPECT_EQ(got.find("early"), std::string::npos) << got;
    }
}

class CompleteAnswerFixture : public EarlyAnswerFixture,
                              public testing::WithParamInterface<EarlyAnswer>
{};

INSTANTIATE_TEST_SUITE_P(Endings, CompleteAnswerFixture, testing::ValuesIn(earlyAnswers),
        [](const auto &info) { return std::string(info.param.label); });

// Guards against a complete answer that counts as lost because a reset follows its end.
TEST_P(CompleteAnswerFixture, serve_endSentBeforeReset_answerDelivered)
{
    const EarlyAnswer &answer = GetParam();
    startEndpoints(answer, [](Socket &socket) {
        boost::system::error_code code;
        socket.shutdown(Socket::shutdown_send, code);
        std::this_thread::sleep_for(Pause);
        reset(socket);
    });
    const std::string got = upload(answer);
    EXPECT_EQ(statusOf(got), 200U) << got;
    EXPECT_NE(got.find("early"), std::string::npos) << got;
    EXPECT_EQ(got.find("good"), std::string::npos) << got;
    EXPECT_EQ(*m_calls, 1);
}

} // namespace oriolerill::relay
