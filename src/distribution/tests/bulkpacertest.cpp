#include "distribution/bulkpacer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace oriolerill::distribution {

using namespace std::chrono_literals;

/// A link whose FIFO queue is shared by bulk data and small messages.
class PacedLink
{
public:
    // In bytes per second; the sizes below are in bytes.
    static constexpr double Rate = 3.125e6;
    static constexpr double Piece = 16 * 1024;
    static constexpr double Chunk = 256 * 1024;
    // Bytes in flight when the receiver does not pace its reads.
    static constexpr double SocketWindow = 1 << 20;
    static constexpr auto Base = 4ms;

    void run(bool isPaced, domain::Duration time)
    {
        const domain::TimePoint end = m_now + time;
        for (; m_now < end; m_now += 1ms) {
            m_queued = std::max(0.0, m_queued - Rate / 1000);
            while (isPaced ? m_nextRead <= m_now : m_queued + Piece <= SocketWindow)
                send();
            m_delays.push_back(delay());
        }
    }

    void resetMeasurements()
    {
        m_delays.clear();
        m_carried = 0;
    }
    domain::Duration delayAt(double quantile)
    {
        std::sort(m_delays.begin(), m_delays.end());
        const auto last = static_cast<double>(m_delays.size() - 1);
        return m_delays[static_cast<std::size_t>(std::lround(quantile * last))];
    }
    double carried() const { return m_carried; }

private:
    domain::Duration delay()
    {
        const std::chrono::duration<double> queueing(m_queued / Rate);
        const std::chrono::microseconds jitter(m_random() % 500);
        return Base + jitter + std::chrono::duration_cast<domain::Duration>(queueing);
    }

    void send()
    {
        // A chunk begins with a request, whose answer shows the delay of the link.
        if (std::fmod(m_sent, Chunk) == 0)
            m_pacer.addDelaySample(delay(), m_now);
        m_sent += Piece;
        m_queued += Piece;
        m_carried += Piece;
        const domain::Bytes bytes(static_cast<std::uint64_t>(Piece));
        m_nextRead = m_pacer.reserve(bytes, m_now);
        m_nextRead = std::max(m_nextRead, m_now + 1us);
    }

    domain::TimePoint m_now = domain::TimePoint() + 1h;
    BulkPacer m_pacer{BulkPacerOptions(), m_now};
    std::minstd_rand m_random;
    double m_queued = 0;
    double m_sent = 0;
    double m_carried = 0;
    domain::TimePoint m_nextRead = m_now;
    std::vector<domain::Duration> m_delays;
};

// Guards against a push that delays requests on a link of low bandwidth; without pacing it adds
// 300 ms.
TEST(BulkPacer, reserve_lowBandwidthLink_smallMessagesStayFastAndLinkIsUsed)
{
    PacedLink link;
    link.run(false, 5s);
    EXPECT_GT(link.delayAt(0.99), 100ms);

    PacedLink paced;
    paced.run(true, 10s);
    paced.resetMeasurements();
    paced.run(true, 30s);
    std::cout << "p99 " << paced.delayAt(0.99) / 1us << " us, used "
              << paced.carried() / 30 / PacedLink::Rate << '\n';
    EXPECT_LT(paced.delayAt(0.99), PacedLink::Base + 4 * BulkPacerOptions().targetDelay);
    EXPECT_GT(paced.carried() / 30, 0.75 * PacedLink::Rate);
}

} // namespace oriolerill::distribution
