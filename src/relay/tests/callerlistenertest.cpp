#include "relay/tests/listenerfixture.h"

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;

/// Callers whose requests arrive while the entry closes its intake.
class CallerListenerFixture : public ListenerFixture
{
protected:
    void SetUp() override
    {
        addEndpoint([](Socket &socket, const std::string &) {
            write(socket, answer("a1", "good"));
            return true;
        });
        ListenerFixture::SetUp();
    }

    void closeIntake()
    {
        boost::asio::post(m_context, [this] { m_listener.closeIntake(); });
    }
};

// Guards against requests that are cut at a planned stop: their connections are in the accept
// queue, or have just been accepted, when the listener closes.
TEST_F(CallerListenerFixture, closeIntake_requestsJustSent_allAnswered)
{
    constexpr int Callers = 30;
    std::vector<Socket> callers;
    callers.reserve(Callers);
    for (int i = 0; i < Callers; ++i) {
        callers.push_back(connectToListener());
        write(callers.back(), request("POST", "/order/1", i % 2 == 0 ? "" : Close, "o"));
    }
    std::this_thread::sleep_for(50ms);
    // No connection has been accepted yet: the entry's thread starts here and closes the intake
    // first.
    closeIntake();
    startListening();
    for (Socket &caller : callers)
        EXPECT_EQ(statusOf(readAll(caller)), 200U);
}

// Guards against requests that are cut when the intake closes: one whose bytes have arrived on a
// kept-alive connection but have not been read, and one whose head is incomplete.
TEST_F(CallerListenerFixture, closeIntake_requestOnKeptAliveConnection_answered)
{
    startListening();
    auto kept = connectToListener();
    auto partial = connectToListener();
    auto idle = connectToListener();
    const std::string text = request("POST", "/order/1", "", "o");
    write(kept, text);
    std::string answered(16, '\0');
    boost::asio::read(kept, boost::asio::buffer(answered));
    write(partial, text.substr(0, text.size() / 2));
    std::this_thread::sleep_for(50ms);
    // The request arrives before the entry's thread reads the connection.
    boost::asio::post(m_context, [&] {
        write(kept, text);
        std::this_thread::sleep_for(20ms);
        m_listener.closeIntake();
    });
    std::this_thread::sleep_for(60ms);
    write(partial, text.substr(text.size() / 2));
    EXPECT_EQ(statusOf(readAll(partial)), 200U);
    const std::string rest = readAll(kept);
    EXPECT_NE(rest.find("HTTP/1.1 200 OK"), std::string::npos);
    EXPECT_EQ(readAll(idle), "");
}

// Guards against a pipelined request that is started after the intake has closed, and against a
// partial answer to one.
TEST_F(CallerListenerFixture, closeIntake_pipelinedRequests_eachAnsweredCompletelyOrNotStarted)
{
    startListening();
    auto caller = connectToListener();
    std::string text;
    constexpr int Requests = 20;
    for (int i = 0; i < Requests; ++i)
        text += request("POST", "/order/1", "", "o");
    closeIntake();
    write(caller, text);
    const std::string got = readAll(caller);
    std::size_t answers = 0;
    for (std::size_t at = 0; (at = got.find("HTTP/1.1 200 OK", at)) != std::string::npos; ++at)
        ++answers;
    EXPECT_EQ(answers, m_endpoints.front()->requests().size());
    EXPECT_TRUE(got.empty() || got.ends_with("good"));
}

} // namespace oriolerill::relay
