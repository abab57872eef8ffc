#include "distribution/uploadqueue.h"

#include <gtest/gtest.h>

namespace oriolerill::distribution {

/// Requests for pieces of one version at one VM.
class UploadQueueFixture : public testing::Test
{
protected:
    UploadRequest request(std::uint32_t piece, bool isForOtherDataCentre = false) const
    {
        return {{domain::ModelId("m"), 2}, piece, isForOtherDataCentre};
    }
    static bool isEven(const UploadRequest &request) { return request.piece % 2 == 0; }

    UploadQueue m_queue;
};

// Guards against another data centre whose only copy waits behind requests of this one's members.
TEST_F(UploadQueueFixture, next_requestFromOtherDataCentre_goesFirst)
{
    m_queue.add(request(0));
    m_queue.add(request(2));
    const auto other = m_queue.add(request(4, true));
    EXPECT_EQ(m_queue.next(isEven), other);
}

// Guards against a request for a piece not held yet that blocks the requests behind it.
TEST_F(UploadQueueFixture, next_firstPieceNotHeld_oldestHeldOneServed)
{
    m_queue.add(request(1, true));
    const auto first = m_queue.add(request(2));
    const auto second = m_queue.add(request(4));
    EXPECT_EQ(m_queue.next(isEven), first);
    m_queue.remove(first);
    EXPECT_EQ(m_queue.next(isEven), second);
    m_queue.remove(second);
    EXPECT_EQ(m_queue.next(isEven), std::nullopt);
}

} // namespace oriolerill::distribution
