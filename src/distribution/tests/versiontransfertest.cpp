#include "distribution/versiontransfer.h"
#include "distribution/uploadpacer.h"
#include "distribution/uploadqueue.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

namespace oriolerill::distribution {

using namespace std::chrono_literals;
using domain::TimePoint;

namespace {

constexpr std::uint32_t PieceCount = 48;
constexpr std::size_t PieceSize = 1024;

std::string pieceBytes(std::uint32_t piece)
{
    return std::string(PieceSize, static_cast<char>('a' + piece % 26)) + std::to_string(piece);
}

PieceManifest manifest()
{
    PieceManifest manifest{{domain::ModelId("m"), 2}, {}};
    for (std::uint32_t i = 0; i < PieceCount; ++i)
        manifest.pieces.push_back(domain::Digest::of(std::string_view(pieceBytes(i))));
    return manifest;
}

std::vector<PushMember> members(int dataCentres, int each, std::uint64_t served = 1)
{
    std::vector<PushMember> members;
    for (int d = 0; d < dataCentres; ++d) {
        for (int i = 0; i < each; ++i) {
            members.push_back({"10." + std::to_string(d) + ".0." + std::to_string(i),
                    domain::DataCentreId("dc" + std::to_string(d)), served});
        }
    }
    return members;
}

} // namespace

/// Simulates many transfers in rounds of 50 ms. A member sends one piece a round, the origin two. A
/// request for a piece that the member does not hold yet waits there. Members of a data centre
/// publish their holdings to each other every second round.
class PushFixture : public testing::Test
{
protected:
    static constexpr std::size_t OriginRate = 2;

    struct Request
    {
        std::string host;
        PieceFetch fetch;
        TimePoint at;
    };
    struct Vm
    {
        PushMember member;
        std::unique_ptr<VersionTransfer> transfer;
        UploadQueue queue;
        std::map<UploadQueue::Ticket, Request> waiting;
        bool isDown = false;
        bool isCorrupting = false;
    };

    void build(std::vector<PushMember> all)
    {
        m_members = std::move(all);
        for (const PushMember &member : m_members) {
            Vm vm;
            vm.member = member;
            vm.transfer = std::make_unique<VersionTransfer>(manifest(), m_now);
            m_vms[member.host] = std::move(vm);
        }
        refreshSources();
    }

    void refreshSources()
    {
        for (auto &[host, vm] : m_vms) {
            vm.transfer->setSources(std::make_shared<PieceSources>(
                    manifest().version, vm.member, m_members, PieceCount));
        }
    }

    void round()
    {
        m_now += 50ms;
        ++m_tick;
        if (m_isPublishingHoldings && m_tick % 2 == 0)
            publishHoldings();
        for (auto &[host, vm] : m_vms) {
            while (auto next = vm.isDown ? std::nullopt : vm.transfer->next(m_now))
                startFetch(vm, *next);
        }
        for (auto &[host, vm] : m_vms)
            sendOne(vm);
        const std::size_t answered = std::min(m_atOrigin.size(), OriginRate);
        for (std::size_t i = 0; i < answered; ++i) {
            const Request request = m_atOrigin.front();
            m_atOrigin.pop_front();
            ++m_originPieces;
            end(request, FetchEnd::Stored, pieceBytes(request.fetch.piece));
        }
    }

    void publishHoldings()
    {
        for (auto &[host, vm] : m_vms) {
            for (auto &[other, peer] : m_vms) {
                const bool isReachable = other != host && !vm.isDown && !peer.isDown
                        && peer.member.dataCentre == vm.member.dataCentre;
                if (isReachable) {
                    peer.transfer->onHoldings(host, vm.transfer->held(),
                            static_cast<std::uint32_t>(vm.queue.size()), m_now);
                }
            }
        }
    }

    void startFetch(Vm &vm, const PieceFetch &fetch)
    {
        const Request request{vm.member.host, fetch, m_now};
        if (fetch.source.isOrigin()) {
            if (m_isOriginDown)
                end(request, FetchEnd::Failed, "");
            else
                m_atOrigin.push_back(request);
            return;
        }
        Vm &source = m_vms.at(fetch.source.host);
        if (source.isDown)
            end(request, FetchEnd::Failed, "");
        else
            source.waiting[source.queue.add({manifest().version, fetch.piece,
                    source.member.dataCentre != vm.member.dataCentre})]
                    = request;
    }

    /// Sends one piece, and answers requests that have waited for 600 ms without one.
    void sendOne(Vm &source)
    {
        const bool isServing = source.member.servedVersion == manifest().version.number;
        const auto next = source.queue.next([&](const UploadRequest &wanted) {
            return isServing || source.transfer->piece(wanted.piece) != nullptr;
        });
        if (next) {
            const Request request = source.waiting.at(*next);
            if (source.member.dataCentre != m_vms.at(request.host).member.dataCentre)
                ++m_crossPieces;
            end(source, *next, FetchEnd::Stored,
                    source.isCorrupting ? "bad" : pieceBytes(request.fetch.piece));
        }
        constexpr auto Hold = 600ms;
        while (!source.waiting.empty() && m_now - source.waiting.begin()->second.at >= Hold)
            end(source, source.waiting.begin()->first, FetchEnd::Absent, "");
    }

    void end(Vm &source, UploadQueue::Ticket ticket, FetchEnd result, std::string bytes)
    {
        const Request request = source.waiting.at(ticket);
        source.waiting.erase(ticket);
        source.queue.remove(ticket);
        end(request, result, std::move(bytes));
    }

    void end(const Request &request, FetchEnd result, std::string bytes)
    {
        m_vms.at(request.host).transfer->onEnd(request.fetch, result, std::move(bytes), m_now);
    }

    /// Number of rounds until every running VM holds all pieces; -1 when the maximum is reached.
    int push(int maxRounds)
    {
        for (int i = 0; i < maxRounds; ++i) {
            const bool isDone = std::all_of(m_vms.begin(), m_vms.end(), [](const auto &vm) {
                return vm.second.isDown || vm.second.transfer->isComplete();
            });
            if (isDone)
                return i;
            round();
        }
        return -1;
    }

    TimePoint m_now{1h};
    std::vector<PushMember> m_members;
    std::map<std::string, Vm> m_vms;
    std::deque<Request> m_atOrigin;
    bool m_isPublishingHoldings = true;
    unsigned m_tick = 0;
    bool m_isOriginDown = false;
    int m_originPieces = 0;
    int m_crossPieces = 0;
};

// Guards against an origin that sends more than 1.2 copies, more than 1.1 copies over the links
// into each data centre, and a push that takes much longer than its links require.
TEST_F(PushFixture, push_healthyThreeDataCentres_oneCopyEach)
{
    build(members(3, 5));
    const int rounds = push(400);
    ASSERT_GE(rounds, 0);
    EXPECT_LE(m_originPieces, 1.2 * PieceCount);
    EXPECT_LE(m_crossPieces, 1.1 * 2 * PieceCount);
    // The origin needs 24 rounds; a member sends its share, a fifth of the pieces, to four others.
    EXPECT_LE(rounds, 24 + 48 * 1.5);
}

// Regression: a push waited for a VM that was the primary of too many pieces. Among 14 VMs of a
// data centre, one had to send 8 of 48 pieces to all others, where its share is 4 (quiet-1 of
// txsatchel-orders-grown: pieces took 4.1 to 6.5 s, the limit is about 2.5 s).
TEST_F(PushFixture, push_fiftySixMembersInFourDataCentres_withinOneAndAHalfOfTheLimit)
{
    build(members(4, 14));
    const int rounds = push(400);
    ASSERT_GE(rounds, 0);
    EXPECT_LE(m_originPieces, 1.2 * PieceCount);
    EXPECT_LE(m_crossPieces, 1.1 * 3 * PieceCount);
    // A member sends one piece a round. Each piece goes to 13 others in each of four data centres
    // and over three links between them, and these are shared by all members.
    const double limit = PieceCount * (13.0 * 4 + 3) / (4 * 14);
    EXPECT_LE(rounds, 1.5 * limit);
}

// Guards against a push that stalls because VMs receive no reports of their peers' holdings.
TEST_F(PushFixture, push_holdingsNotPublished_finishesByFetchingFromPrimaries)
{
    m_isPublishingHoldings = false;
    build(members(3, 5));
    ASSERT_GE(push(400), 0);
    EXPECT_LE(m_originPieces, 1.2 * PieceCount);
}

// Guards against VMs that wait for each other, or all request pieces from the origin, while it is
// down, and against one copy per VM from the origin on its return.
TEST_F(PushFixture, push_originDownInTheMiddle_finishesWithinFourCopies)
{
    build(members(3, 5));
    for (int i = 0; i < 5; ++i)
        round();
    m_isOriginDown = true;
    for (int i = 0; i < 300; ++i)
        round();
    m_isOriginDown = false;
    ASSERT_GE(push(600), 0);
    EXPECT_LE(m_originPieces, 4 * PieceCount);
}

// Guards against a push that never ends because primaries are down or send corrupted pieces.
TEST_F(PushFixture, push_deadAndCorruptingMembers_everyOtherFinishes)
{
    for (unsigned seed = 0; seed < 10; ++seed) {
        m_vms.clear();
        m_originPieces = 0;
        build(members(3, 5));
        std::mt19937 random(seed);
        std::vector<PushMember> shuffled = m_members;
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        m_vms[shuffled[0].host].isDown = true;
        m_vms[shuffled[1].host].isDown = true;
        m_vms[shuffled[2].host].isCorrupting = true;
        ASSERT_GE(push(1500), 0) << "seed " << seed;
        EXPECT_LE(m_originPieces, 4 * PieceCount) << "seed " << seed;
    }
}

// Guards against new members that fetch from the origin although their data centre holds the
// version.
TEST_F(PushFixture, push_newMembersBesideHolders_nothingFromOrigin)
{
    std::vector<PushMember> all = members(3, 6, 2);
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i].servedVersion = i % 6 < 4 ? 2 : 0;
    build(all);
    for (auto &[host, vm] : m_vms) {
        if (vm.member.servedVersion == 2) {
            for (std::uint32_t piece = 0; piece < PieceCount; ++piece)
                ASSERT_TRUE(vm.transfer->offer(piece, pieceBytes(piece)));
        }
    }
    ASSERT_GE(push(400), 0);
    EXPECT_EQ(m_originPieces, 0);
    EXPECT_EQ(m_crossPieces, 0);
}

// Guards against corrupted bytes that are stored as a piece, and a corrupted manifest that is kept.
TEST_F(PushFixture, onEnd_bytesNotMatchingDigest_refusedAndManifestSuspect)
{
    VersionTransfer transfer(manifest(), m_now);
    transfer.setSources(std::make_shared<PieceSources>(manifest().version,
            PushMember{"10.0.0.1", domain::DataCentreId("dc0"), 1}, std::vector<PushMember>(),
            PieceCount));
    for (int i = 0; i < 3; ++i) {
        const auto next = transfer.next(m_now);
        ASSERT_TRUE(next);
        EXPECT_TRUE(next->source.isOrigin());
        EXPECT_EQ(transfer.onEnd(*next, FetchEnd::Stored, "spoilt", m_now), FetchEnd::Corrupted);
        EXPECT_EQ(transfer.piece(next->piece), nullptr);
    }
    EXPECT_TRUE(transfer.isManifestSuspect());
    EXPECT_EQ(transfer.heldCount(), 0U);
}

// Regression: further pieces were requested over a link whose rate had just dropped, and queued
// there ahead of requests to the engine (push-twice --vary --seed 562449844233 on probador-rill:
// GONE with twelve fetches in parallel).
TEST_F(PushFixture, next_heldPieceTakesLong_noFurtherFetchBegins)
{
    build(members(1, 5));
    VersionTransfer &transfer = *m_vms.begin()->second.transfer;
    HaveMap all(PieceCount);
    for (std::uint32_t piece = 0; piece < PieceCount; ++piece)
        all.set(piece);
    transfer.onHoldings(m_members.back().host, all, 0, m_now);
    std::vector<PieceFetch> fetches;
    while (auto next = transfer.next(m_now))
        fetches.push_back(*next);
    const auto held = std::find_if(fetches.begin(), fetches.end(),
            [](const PieceFetch &fetch) { return fetch.kind == FetchKind::Held; });
    ASSERT_NE(held, fetches.end());
    const auto own = std::find_if(fetches.begin(), fetches.end(),
            [](const PieceFetch &fetch) { return fetch.kind != FetchKind::Held; });
    ASSERT_NE(own, fetches.end());
    m_now += 800ms;
    transfer.onEnd(*own, FetchEnd::Stored, pieceBytes(own->piece), m_now);
    EXPECT_FALSE(transfer.next(m_now));
    for (const PieceFetch &fetch : fetches) {
        if (fetch.kind == FetchKind::Held)
            transfer.onEnd(fetch, FetchEnd::Stored, pieceBytes(fetch.piece), m_now);
    }
    EXPECT_TRUE(transfer.next(m_now));
}

// Regression: pieces formed a queue of seconds in a link whose rate had dropped. Requests to the
// engine arrived behind it, after their callers had disconnected (hunt on both sites,
// deploy/days/push-twice --vary --seed 113242513155 and 1052335722694: GONE).
TEST_F(PushFixture, next_fetchesTimeOut_fewerInParallelUntilPieceArrives)
{
    build(members(1, 5));
    VersionTransfer &transfer = *m_vms.begin()->second.transfer;
    const auto startFetches = [&] {
        std::vector<PieceFetch> fetches;
        while (auto next = transfer.next(m_now))
            fetches.push_back(*next);
        return fetches;
    };
    std::vector<PieceFetch> fetches = startFetches();
    // Two as the primary, from the origin, and one from the primary of another piece.
    ASSERT_EQ(fetches.size(), 3U);
    for (const PieceFetch &fetch : fetches)
        transfer.onEnd(fetch, FetchEnd::TimedOut, "", m_now);
    EXPECT_EQ(transfer.currentMaxParallel(), 1U);
    m_now += 10s;
    fetches = startFetches();
    ASSERT_EQ(fetches.size(), 1U);
    transfer.onEnd(fetches[0], FetchEnd::Stored, pieceBytes(fetches[0].piece), m_now);
    EXPECT_EQ(transfer.currentMaxParallel(), 2U);
}

// Guards against pieces that saturate the link and so delay the events of answers.
TEST(UploadPacer, onBegin_manyPieces_linkShareKept)
{
    UploadPacer pacer({domain::BytesPerSecond(1000000), 0.8});
    TimePoint now{1h};
    const TimePoint begun = now;
    for (int i = 0; i < 10; ++i) {
        now = pacer.nextAt(now);
        pacer.onBegin(domain::Bytes(40000), now);
    }
    EXPECT_EQ(std::chrono::round<std::chrono::milliseconds>(pacer.nextAt(now) - begun), 500ms);
}

} // namespace oriolerill::distribution
