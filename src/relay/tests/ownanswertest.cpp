#include "relay/internal/localanswer.h"
#include "relay/tests/relayfixture.h"

namespace oriolerill::relay {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Regression: a caller that came back at the stated time was refused again, because the time was
// rounded down by up to half a millisecond.
TEST(LocalAnswer, sendOwnAnswer_timeBetweenMilliseconds_roundedUp)
{
    boost::asio::io_context context{1};
    tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    boost::beast::tcp_stream caller(context);
    caller.socket().connect(acceptor.local_endpoint());
    tcp::socket peer = acceptor.accept();
    const domain::Error error{domain::ErrorKind::Overloaded, "not run", "come back"};
    boost::asio::co_spawn(context,
            internal::sendLocalAnswer(caller, {503, error, 1200400us}, false),
            boost::asio::detached);
    context.run();
    caller.close();
    std::string text;
    boost::system::error_code code;
    boost::asio::read(peer, boost::asio::dynamic_buffer(text), code);
    EXPECT_EQ(fieldOf(text, "Retry-After"), "1.201") << text;
}

} // namespace oriolerill::relay
