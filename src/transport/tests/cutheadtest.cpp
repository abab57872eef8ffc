#include "transport/tests/httpclientfixture.h"

namespace oriolerill::transport {

namespace {

struct CutAnswer
{
    const char *name;
    const char *head;
    /// False without Content-Length and chunks: the end of the connection then ends the body.
    bool hasFraming = true;
};

constexpr CutAnswer CutAnswers[] = {
        {"Length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"},
        {"Chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
        {"NoLength", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", false},
        {"Interim",
                "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"},
};

} // namespace

/// A peer that closes or resets the connection within or directly after the head of its answer.
class CutHeadFixture : public HttpClientFixture,
                       public testing::WithParamInterface<std::tuple<CutAnswer, bool>>
{};

INSTANTIATE_TEST_SUITE_P(CutHeads, CutHeadFixture,
        testing::Combine(testing::ValuesIn(CutAnswers), testing::Bool()), [](const auto &test) {
            return std::string(std::get<0>(test.param).name)
                    + (std::get<1>(test.param) ? "Reset" : "Closed");
        });

// Guards against an answer cut within or directly after its head that is accepted as complete, with
// an empty body.
TEST_P(CutHeadFixture, send_headCutAtEveryByte_error)
{
    const auto &[answer, isReset] = GetParam();
    const std::string head = answer.head;
    for (std::size_t cut = 0; cut <= head.size(); ++cut) {
        ScriptedPeer peer(
                [text = head.substr(0, cut), isReset = isReset](ScriptedPeer::Socket &socket, int) {
                    ScriptedPeer::write(socket, text);
                    if (isReset) {
                        socket.set_option(boost::asio::socket_base::linger(true, 0));
                        // The destructor of the socket would clear the linger option.
                        socket.close();
                    }
                    return false;
                });
        const std::string result = send(peer);
        // Without framing, an answer closed directly after its head is complete, with an empty
        // body.
        if (cut == head.size() && !answer.hasFraming && !isReset)
            EXPECT_EQ(result, "200 ");
        else
            EXPECT_TRUE(result.starts_with("error: ")) << "cut at " << cut << ": " << result;
    }
}

} // namespace oriolerill::transport
