#include "distribution/fleetholdings.h"
#include "distribution/originschedule.h"
#include "distribution/uploadqueue.h"
#include "distribution/versiontransfer.h"
#include "rollout/versionorder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <list>
#include <map>
#include <set>

namespace oriolerill::distribution {

using namespace std::chrono_literals;
using domain::TimePoint;

namespace {

constexpr std::uint32_t PieceCount = 96;
constexpr double PieceSize = 24576;
constexpr double BytesPerMegabit = 1e6 / 8;
constexpr double OriginRate = 4.38 * BytesPerMegabit;
constexpr double VmRate = 7.3 * BytesPerMegabit;
constexpr std::size_t MaxConnections = 48;
constexpr auto Step = 10ms;

std::string pieceBytes(std::uint64_t version, std::uint32_t piece)
{
    return std::to_string(version) + '/' + std::to_string(piece);
}

PieceManifest manifest(std::uint64_t version)
{
    PieceManifest manifest{{domain::ModelId("m"), version}, {}};
    for (std::uint32_t i = 0; i < PieceCount; ++i)
        manifest.pieces.push_back(domain::Digest::of(std::string_view(pieceBytes(version, i))));
    return manifest;
}

/// Time of one copy at a rate in bytes a second.
domain::Duration copyTime(double rate)
{
    return std::chrono::duration_cast<domain::Duration>(
            std::chrono::duration<double>(PieceCount * PieceSize / rate));
}

} // namespace

/// The decisions of all VMs of three data centres over modelled links, in steps of 10 ms: the link
/// of the origin is shared by its requests, and each VM sends one piece at a time. Requests to a
/// killed VM, or to one that cannot be reached, end by their time-out.
class OriginPushFixture : public testing::Test
{
protected:
    enum class Origin { Serving, Refusing, Silent };
    using Transfer = std::shared_ptr<VersionTransfer>;

    struct Request
    {
        std::size_t vm = 0;
        std::uint64_t version = 0;
        Transfer transfer;
        PieceFetch fetch;
        std::optional<OriginRead> read;
        TimePoint at;
        TimePoint deadline;
        double left = PieceSize;
    };
    struct Vm
    {
        PushMember member;
        FleetHoldings holdings;
        OriginSchedule schedule;
        std::map<std::uint64_t, Transfer> transfers;
        UploadQueue queue;
        std::map<UploadQueue::Ticket, Request> waiting;
        std::optional<Request> sending;
        bool isDown = false;
        bool isDue = true;
    };

    void add(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t number = m_vms.size();
            const PushMember member{"10.0.0." + std::to_string(number),
                    domain::DataCentreId("dc" + std::to_string(number % 3)), 1};
            m_vms.push_back({member, FleetHoldings(member.host),
                    OriginSchedule(member.host, member.dataCentre), {}, {}, {}, {}});
            m_index[member.host] = number;
            m_members.push_back(member);
            m_vms.back().holdings.expectReports(m_now);
        }
        m_plan = std::make_shared<OriginPlan>(
                "m", m_members, OriginCapacity{OriginRate, MaxConnections, PieceSize});
        for (Vm &vm : m_vms) {
            vm.schedule.setPlan(m_plan, m_now);
            for (auto &[version, transfer] : vm.transfers)
                setSources(vm, version, *transfer);
            for (const auto &[version, at] : m_namedAt)
                open(vm, version);
        }
    }

    void name(std::uint64_t version)
    {
        m_namedAt[version] = m_now;
        for (Vm &vm : m_vms) {
            vm.holdings.expectReports(m_now);
            open(vm, version);
        }
    }

    void open(Vm &vm, std::uint64_t version)
    {
        Transfer &transfer = vm.transfers[version];
        if (transfer && !transfer->isManifestSuspect())
            return;
        transfer = std::make_shared<VersionTransfer>(manifest(version), m_now);
        setSources(vm, version, *transfer);
    }

    void setSources(const Vm &vm, std::uint64_t version, VersionTransfer &transfer)
    {
        transfer.setSources(
                std::make_shared<PieceSources>(WeightsVersion{domain::ModelId("m"), version},
                        vm.member, m_members, PieceCount, m_plan));
    }

    bool isConnected(const Vm &a, const Vm &b) const
    {
        return !a.isDown && !b.isDown
                && (a.member.dataCentre == b.member.dataCentre
                        || (m_isolated != a.member.dataCentre.value()
                                && m_isolated != b.member.dataCentre.value()));
    }

    bool isReporter(const Vm &vm) const
    {
        const auto before = std::count_if(m_vms.data(), &vm, [&](const Vm &other) {
            return !other.isDown && other.member.dataCentre == vm.member.dataCentre;
        });
        return before < 2;
    }

    /// Each VM sends its holdings to the others of its data centre every 100 ms. The first two of
    /// each data centre send those of all to the other data centres every 250 ms.
    void exchangeHoldings(std::size_t sender)
    {
        Vm &from = m_vms[sender];
        const bool isLocalDue = (m_tick + sender) % 10 == 0;
        const bool isRemoteDue = (m_tick + sender) % 25 == 0 && isReporter(from);
        if (from.isDown || (!isLocalDue && !isRemoteDue))
            return;
        for (auto &[version, transfer] : from.transfers) {
            const HaveMap held = transfer->held();
            from.holdings.setOwn(version, held);
            const FleetHoldings::RemoteReport own{
                    from.member.dataCentre, from.holdings.local(version, PieceCount, m_now), m_now};
            for (Vm &to : m_vms) {
                const bool isLocal = to.member.dataCentre == from.member.dataCentre;
                if (&to == &from || !isConnected(from, to) || !to.transfers.count(version))
                    continue;
                VersionTransfer &known = *to.transfers[version];
                std::vector<FleetHoldings::RemoteReport> reports;
                if (isLocal && isLocalDue) {
                    to.holdings.onHost(from.member.host, from.schedule.isUnreachable(), m_now);
                    to.holdings.onLocal(version, from.member.host, held, m_now);
                    known.onHoldings(from.member.host, held,
                            static_cast<std::uint32_t>(from.queue.size()), m_now);
                    if (isReporter(from))
                        reports = from.holdings.remote(version, m_now);
                } else if (!isLocal && isRemoteDue && isReporter(to)) {
                    reports = {own};
                }
                for (const FleetHoldings::RemoteReport &report : reports) {
                    known.onRemoteHoldings(report.dataCentre, report.held, report.at);
                    to.holdings.onRemote(version, report);
                }
                to.isDue = true;
            }
        }
    }

    /// What the agent does in each step: order of the versions, fetches, reads from the origin.
    void decide(std::size_t number)
    {
        Vm &vm = m_vms[number];
        if (vm.isDown || (!vm.isDue && (m_tick + number) % 5 != 0))
            return;
        vm.isDue = false;
        std::vector<rollout::PendingVersion> pending;
        for (auto known = vm.transfers.rbegin(); known != vm.transfers.rend(); ++known) {
            const std::uint64_t version = known->first;
            open(vm, version);
            vm.holdings.setOwn(version, known->second->held());
            if (known->second->isComplete())
                break;
            const std::size_t held = vm.holdings.fleet(version, PieceCount, m_now).count();
            pending.push_back({version, m_namedAt[version] + 13400ms, PieceCount - held});
        }
        const auto order = rollout::versionOrder(pending, {m_plan->capacity().pieceTime()}, m_now);
        std::set<std::string> stopped;
        for (const PushMember &member : m_members) {
            if (member.dataCentre == vm.member.dataCentre
                    && !vm.holdings.isRunning(member.host, m_now))
                stopped.insert(member.host);
        }
        std::vector<OriginTarget> targets;
        bool isReceiving = false;
        for (const std::uint64_t version : order) {
            const Transfer transfer = vm.transfers[version];
            transfer->setStopped(stopped);
            while (auto fetch = isReceiving ? std::nullopt : transfer->next(m_now))
                request({number, version, transfer, *fetch, {}, m_now, m_now + 1500ms});
            isReceiving = isReceiving || transfer->isReceiving();
            HaveMap held = transfer->held();
            held.merge(vm.holdings.fleet(version, PieceCount, m_now));
            targets.push_back({version, held, transfer->inFlight()});
        }
        while (auto read = vm.schedule.next(targets, vm.holdings, m_now)) {
            const Transfer transfer = vm.transfers[read->version];
            for (OriginTarget &target : targets) {
                if (target.version == read->version)
                    target.inFlight.set(read->piece);
            }
            m_readers[read->version * PieceCount + read->piece].insert(number);
            request({number, read->version, transfer, transfer->beginOriginRead(read->piece), *read,
                    m_now, read->deadline});
        }
    }

    void request(Request request)
    {
        const Vm &vm = m_vms[request.vm];
        if (request.read) {
            m_refused += m_atOrigin.size() >= MaxConnections ? 1 : 0;
            if (m_origin == Origin::Refusing || m_atOrigin.size() >= MaxConnections)
                end(request, FetchEnd::Failed);
            else if (m_withoutOrigin.count(vm.member.dataCentre.value()) > 0)
                m_lost.push_back(request);
            else
                m_atOrigin.push_back(request);
            return;
        }
        Vm &source = m_vms[m_index.at(request.fetch.source.host)];
        if (!isConnected(vm, source)) {
            m_lost.push_back(request);
            return;
        }
        const bool isRemote = source.member.dataCentre != vm.member.dataCentre;
        source.waiting[source.queue.add(
                {{domain::ModelId("m"), request.version}, request.fetch.piece, isRemote})]
                = request;
    }

    void end(const Request &request, FetchEnd result, std::string bytes = {})
    {
        Vm &vm = m_vms[request.vm];
        if (vm.isDown)
            return;
        vm.isDue = true;
        result = request.transfer->onEnd(request.fetch, result, std::move(bytes), m_now);
        if (request.read)
            vm.schedule.onEnd(*request.read, result, m_now);
    }

    void serveOrigin()
    {
        if (m_origin == Origin::Refusing) {
            for (const Request &request : std::exchange(m_atOrigin, {}))
                end(request, FetchEnd::Failed);
        }
        double budget = m_origin == Origin::Serving
                ? m_originRate * std::chrono::duration<double>(Step).count()
                : 0;
        m_atOrigin.sort([](const auto &a, const auto &b) { return a.left < b.left; });
        std::size_t sharing = m_atOrigin.size();
        for (auto request = m_atOrigin.begin(); request != m_atOrigin.end();) {
            const double given = std::min(request->left, budget / static_cast<double>(sharing--));
            budget -= given;
            request->left -= given;
            m_sent[request->version] += given;
            const bool isWhole = request->left <= 0;
            if (!isWhole && m_now < request->deadline) {
                ++request;
                continue;
            }
            const bool isSpoilt = isWhole && m_spoiltEvery > 0 && ++m_answers % m_spoiltEvery == 0;
            end(*request, isWhole ? FetchEnd::Stored : FetchEnd::TimedOut,
                    isSpoilt ? "spoilt" : pieceBytes(request->version, request->fetch.piece));
            request = m_atOrigin.erase(request);
        }
    }

    void serve(Vm &source)
    {
        double budget = VmRate * std::chrono::duration<double>(Step).count();
        if (source.isDown && source.sending)
            m_lost.push_back(*std::exchange(source.sending, std::nullopt));
        while (!source.isDown && budget > 0) {
            if (!source.sending) {
                const auto next = source.queue.next([&](const UploadRequest &wanted) {
                    const auto known = source.transfers.find(wanted.version.number);
                    return known != source.transfers.end() && known->second->piece(wanted.piece);
                });
                if (!next)
                    break;
                source.sending = std::move(source.waiting.extract(*next).mapped());
                source.queue.remove(*next);
            }
            const double given = std::min(budget, source.sending->left);
            budget -= given;
            source.sending->left -= given;
            if (source.sending->left > 0)
                break;
            const Request sent = *std::exchange(source.sending, std::nullopt);
            if (isConnected(source, m_vms[sent.vm]))
                end(sent, FetchEnd::Stored, pieceBytes(sent.version, sent.fetch.piece));
            else
                m_lost.push_back(sent);
        }
        // A request waits for 600 ms at a VM that does not hold the piece.
        for (auto waiting = source.waiting.begin(); waiting != source.waiting.end();) {
            const Request request = waiting->second;
            const bool isAnswered = isConnected(source, m_vms[request.vm]);
            if (m_now - request.at < (isAnswered ? 600ms : 1500ms)) {
                ++waiting;
                continue;
            }
            source.queue.remove(waiting->first);
            waiting = source.waiting.erase(waiting);
            end(request, isAnswered ? FetchEnd::Absent : FetchEnd::TimedOut);
        }
    }

    void runTo(domain::Duration time)
    {
        while (m_now < m_start + time) {
            m_now += Step;
            ++m_tick;
            for (std::size_t i = 0; i < m_vms.size(); ++i)
                exchangeHoldings(i);
            for (std::size_t i = 0; i < m_vms.size(); ++i)
                decide(i);
            serveOrigin();
            for (Vm &vm : m_vms)
                serve(vm);
            for (auto lost = m_lost.begin(); lost != m_lost.end();) {
                const bool isOver = m_now >= lost->deadline;
                if (isOver)
                    end(*lost, FetchEnd::TimedOut);
                lost = isOver ? m_lost.erase(lost) : std::next(lost);
            }
            for (const auto &[version, at] : m_namedAt) {
                if (m_wholeAt.count(version) == 0 && missing(version) == 0)
                    m_wholeAt[version] = m_now - m_start;
            }
        }
    }

    /// VMs of a data centre, or of all, that do not hold the version.
    std::size_t missing(std::uint64_t version, const std::string &dataCentre = {}) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_vms.begin(), m_vms.end(), [&](const Vm &vm) {
                    return !vm.isDown && !vm.transfers.at(version)->isComplete()
                            && (dataCentre.empty() || vm.member.dataCentre.value() == dataCentre);
                }));
    }

    /// Pieces that the running VMs of a data centre, or of all, hold together.
    HaveMap held(std::uint64_t version, const std::string &dataCentre) const
    {
        HaveMap held(PieceCount);
        for (const Vm &vm : m_vms) {
            if (!vm.isDown && (dataCentre.empty() || vm.member.dataCentre.value() == dataCentre))
                held.merge(vm.transfers.at(version)->held());
        }
        return held;
    }

    double copies(std::uint64_t version) { return m_sent[version] / (PieceCount * PieceSize); }

    /// Every VM is whole at the given time, and the origin has sent at most so many copies.
    void expectWhole(std::uint64_t version, domain::Duration bound, double maxCopies = 1.1)
    {
        const auto seconds = [](domain::Duration duration) {
            return std::chrono::duration<double>(duration).count();
        };
        runTo(bound + 15s);
        const std::string what = "version " + std::to_string(version) + ", "
                + std::to_string(m_vms.size()) + " VMs: " + std::to_string(missing(version))
                + " without it 15 s after the bound";
        ASSERT_TRUE(m_wholeAt.count(version)) << what << ", copies " << copies(version);
        EXPECT_LE(seconds(m_wholeAt[version]), seconds(bound)) << what;
        EXPECT_LE(copies(version), maxCopies) << what;
        EXPECT_EQ(m_refused, 0U);
        std::printf("version %d, %zu VMs: whole at %.2f s (bound %.2f s), copies %.3f\n",
                static_cast<int>(version), m_vms.size(), seconds(m_wholeAt[version]),
                seconds(bound), copies(version));
    }

    /// The page allows 1.25 of the limit: the rest of a copy at the origin's rate after its return,
    /// and one copy at a VM's rate.
    static domain::Duration allowed(domain::Duration originTime)
    {
        return std::chrono::duration_cast<domain::Duration>(
                (std::max<domain::Duration>(originTime, 0s) + copyTime(VmRate)) * 1.25);
    }

    const domain::Duration m_copy = copyTime(OriginRate);
    const TimePoint m_start{1h};
    TimePoint m_now = m_start;
    std::size_t m_tick = 0;
    std::shared_ptr<const OriginPlan> m_plan;
    std::vector<PushMember> m_members;
    std::vector<Vm> m_vms;
    std::map<std::string, std::size_t> m_index;
    std::map<std::uint64_t, TimePoint> m_namedAt;
    std::map<std::uint64_t, domain::Duration> m_wholeAt;
    std::map<std::uint64_t, std::set<std::size_t>> m_readers;
    std::list<Request> m_atOrigin;
    std::list<Request> m_lost;
    std::map<std::uint64_t, double> m_sent;
    Origin m_origin = Origin::Serving;
    double m_originRate = OriginRate;
    /// Data centres without connection to the other ones, and to the origin; empty when none.
    std::string m_isolated;
    std::set<std::string> m_withoutOrigin;
    std::size_t m_refused = 0;
    std::size_t m_answers = 0;
    std::size_t m_spoiltEvery = 0;
};

// Guards against pieces that leave the origin twice, and a push that takes longer than its links.
TEST_F(OriginPushFixture, push_oneVersion30Vms_withinTarget)
{
    add(30);
    name(2);
    expectWhole(2, allowed(m_copy));
}

TEST_F(OriginPushFixture, push_oneVersion88Vms_withinTarget)
{
    add(88);
    name(2);
    expectWhole(2, allowed(m_copy));
}

// Regression: two versions named 3 s apart shared the link, and neither was whole for 10 to 20 s.
TEST_F(OriginPushFixture, push_twoVersions88Vms_eachWithinTarget)
{
    add(88);
    name(2);
    runTo(3s);
    name(3);
    expectWhole(2, allowed(m_copy));
    expectWhole(3, 3s + allowed(2 * m_copy - 3s), 1.1);
}

// Regression: after an outage all VMs asked the origin at once, and each request timed out.
TEST_F(OriginPushFixture, push_originRefusesFor6s_restWithinTarget)
{
    add(88);
    name(2);
    runTo(2500ms);
    m_origin = Origin::Refusing;
    runTo(8500ms);
    m_origin = Origin::Serving;
    expectWhole(2, 8500ms + allowed(m_copy - 2500ms));
}

// Guards against time-outs that have grown in the outage and delay the detection of its end.
TEST_F(OriginPushFixture, push_originSilentFor6s_restWithinTarget)
{
    add(30);
    name(2);
    runTo(2500ms);
    m_origin = Origin::Silent;
    runTo(8500ms);
    m_origin = Origin::Serving;
    expectWhole(2, 8500ms + allowed(m_copy - 2500ms));
}

// Guards against lanes that wait for a killed reader until a request to it times out.
TEST_F(OriginPushFixture, push_readersKilled_restWithinTarget)
{
    add(30);
    name(2);
    runTo(1s);
    for (std::size_t lane = 0; lane < 3; ++lane)
        m_vms[m_index[m_plan->readers(lane, m_plan->dataCentres(lane).front()).front()]].isDown
                = true;
    expectWhole(2, allowed(m_copy));
}

// Guards against a cut data centre that waits for lanes read elsewhere, while it has the origin.
TEST_F(OriginPushFixture, push_dataCentreCutOffWithOrigin_wholeThereAndElsewhereOnReturn)
{
    add(30);
    name(2);
    runTo(1s);
    m_isolated = "dc2";
    m_withoutOrigin = {"dc0", "dc1"};
    const auto lost = static_cast<double>(held(2, "").count() - held(2, "dc2").count());
    runTo(allowed(m_copy));
    EXPECT_EQ(missing(2, "dc2"), 0U);
    m_isolated.clear();
    m_withoutOrigin.clear();
    // What only the other side held at the cut has to be read again.
    expectWhole(2, allowed(m_copy) + allowed(0s), 1.1 + lost / PieceCount);
}

// Guards against a data centre that is not served from the others after its return.
TEST_F(OriginPushFixture, push_dataCentreCutOffWithoutOrigin_wholeAfterReturnAtOneCopy)
{
    add(30);
    name(2);
    runTo(1s);
    m_isolated = "dc2";
    m_withoutOrigin = {"dc2"};
    runTo(9s);
    EXPECT_EQ(missing(2, "dc0") + missing(2, "dc1"), 0U);
    m_isolated.clear();
    m_withoutOrigin.clear();
    expectWhole(2, 9s + allowed(0s));
}

// Guards against VMs that wait for each other: the pieces of the lanes of the data centre are held
// elsewhere only, and each VM asks the one that should fetch another piece.
TEST_F(OriginPushFixture, push_dataCentreWithoutOriginButWithOthers_wholeFromThem)
{
    add(30);
    name(2);
    m_withoutOrigin = {"dc0"};
    expectWhole(2, allowed(m_copy));
}

// Guards against a spoilt piece that makes a VM discard all others, or avoid the origin.
TEST_F(OriginPushFixture, push_originSpoilsEachTwentiethPiece_withinTarget)
{
    add(30);
    m_spoiltEvery = 20;
    name(2);
    expectWhole(2, allowed(m_copy));
}

// Guards against reads that are aborted and begun again because the origin is slower than stated.
TEST_F(OriginPushFixture, push_originAtAnEighthOfItsRate_atOneCopy)
{
    add(30);
    m_originRate = OriginRate / 8;
    name(2);
    expectWhole(2, allowed(8 * m_copy));
}

// Guards against a changed list of members that moves lanes in the middle, so that they are read
// twice, and against joining VMs that read the origin.
TEST_F(OriginPushFixture, push_sixVmsJoinInTheMiddle_withinTarget)
{
    add(30);
    name(2);
    runTo(2s);
    add(6);
    expectWhole(2, allowed(m_copy));
}

} // namespace oriolerill::distribution
