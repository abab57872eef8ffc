#include "transport/tests/httpclientfixture.h"

#include <chrono>
#include <thread>

namespace oriolerill::transport {

using namespace std::chrono_literals;
using Socket = ScriptedPeer::Socket;

/// Peers that answer a long request before they have read it, without a length, and reset the
/// connection after a part of the body.
class ResetAnswerFixture : public HttpClientFixture,
                           public testing::WithParamInterface<std::chrono::milliseconds>
{
protected:
    static constexpr std::size_t UploadBytes = 3U << 20U;

    const ScriptedPeer m_peer{[pause = GetParam()](Socket &socket, int) {
        ScriptedPeer::write(socket, "HTTP/1.1 200 OK\r\n\r\nearly");
        std::this_thread::sleep_for(pause);
        boost::system::error_code code;
        socket.set_option(boost::asio::socket_base::linger(true, 0), code);
        // The socket's destructor would reset the option.
        socket.close(code);
        return false;
    }};
};

INSTANTIATE_TEST_SUITE_P(Pauses, ResetAnswerFixture, testing::Values(0ms, 50ms),
        [](const auto &info) { return "After" + std::to_string(info.param.count()) + "ms"; });

// Guards against a part of a body that is returned as the answer.
TEST_P(ResetAnswerFixture, send_resetDuringUpload_error)
{
    const std::string result = send(m_peer, std::string(UploadBytes, 'x'));
    EXPECT_TRUE(result.starts_with("error: ")) << result;
}

// Guards against the same after the upload, when only the read can take the error.
TEST_P(ResetAnswerFixture, send_resetAfterShortRequest_error)
{
    const std::string result = send(m_peer);
    EXPECT_TRUE(result.starts_with("error: ")) << result;
}

} // namespace oriolerill::transport
