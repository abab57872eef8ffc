#include "requests/slotledger.h"

#include <gtest/gtest.h>

#include <map>

namespace oriolerill::requests {

using namespace std::chrono_literals;
using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;

namespace {

/// An order log that several owners write to, with injected faults.
struct FakeLog
{
    std::map<std::uint64_t, protocol::OrderBatch> batches;
    bool isDown = false;
    bool losesAnswers = false;
    std::size_t writes = 0;
    std::size_t reads = 0;
};

/// An owner of the slot; its actions on the log are queued until settle() or carryOut().
class Owner
{
public:
    Owner(FakeLog &log, std::string name, std::uint64_t incarnation = 1,
            SlotLedgerOptions options = {})
        : m_log(log)
        , m_ledger(std::move(name), domain::Incarnation(incarnation), options)
    {}

    std::uint64_t begin(const std::string &key, std::uint64_t hash = 1,
            domain::Duration timeout = 1s, bool hasRoom = true)
    {
        const std::uint64_t ticket = ++m_lastTicket;
        const OrderRequest request{"shop", key, hash, m_time.now + timeout, hasRoom};
        add(m_ledger.begin(ticket, request, m_time));
        return ticket;
    }

    void finish(const std::string &key, protocol::Outcome outcome, const std::string &body = {})
    {
        OrderEnd end;
        end.outcome = outcome;
        end.result.set_body(body);
        add(m_ledger.finish("shop", key, end, m_time));
    }

    void advance(domain::Duration time)
    {
        m_time.now += time;
        m_time.wall += std::chrono::duration_cast<domain::WallTime::duration>(time);
        add(m_ledger.tick(m_time));
    }

    /// Carries out the queued actions on the log, and those that follow, until none is left.
    void settle()
    {
        while (!m_pending.empty()) {
            const LedgerAction action = m_pending.front();
            m_pending.erase(m_pending.begin());
            std::visit([this](const auto &typedAction) { carryOut(typedAction); }, action);
        }
    }

    /// Begins an order and returns the decision; advances the time when the minimum time between
    /// two writes delays it.
    OrderDecision order(const std::string &key, std::uint64_t hash = 1)
    {
        const std::uint64_t ticket = begin(key, hash);
        settle();
        if (!isDecided(ticket)) {
            advance(50ms);
            settle();
        }
        return m_decisions.at(ticket);
    }

    bool isDecided(std::uint64_t ticket) const { return m_decisions.contains(ticket); }
    bool runs(std::uint64_t ticket) const
    {
        return isDecided(ticket) && runs(m_decisions.at(ticket));
    }
    protocol::Outcome refusal(std::uint64_t ticket) const
    {
        return refusal(m_decisions.at(ticket));
    }

    static bool runs(const OrderDecision &decision)
    {
        return std::holds_alternative<RunOrder>(decision);
    }
    static protocol::Outcome refusal(const OrderDecision &decision)
    {
        const auto *refused = std::get_if<RefuseOrder>(&decision);
        return refused == nullptr ? protocol::OUTCOME_UNSPECIFIED : refused->outcome;
    }
    static std::string answer(const OrderDecision &decision)
    {
        const auto *recorded = std::get_if<RecordedAnswer>(&decision);
        return recorded == nullptr ? "no answer" : recorded->result.body();
    }

    LedgerTime m_time{TimePoint(1000h), domain::WallTime(500000h)};

    void carryOut(const AppendBatch &append)
    {
        if (m_log.isDown) {
            add(m_ledger.appended(Error{ErrorKind::Unavailable, "outage", "wait"}, m_time));
            return;
        }
        ++m_log.writes;
        const bool isFree = m_log.batches.try_emplace(append.number, append.batch).second;
        if (std::exchange(m_log.losesAnswers, false)) {
            add(m_ledger.appended(Error{ErrorKind::Timeout, "no answer", "wait"}, m_time));
            return;
        }
        if (isFree)
            add(m_ledger.appended(Done{}, m_time));
        else
            add(m_ledger.appended(Error{ErrorKind::Fenced, "taken", "stop"}, m_time));
    }
    void carryOut(const ReadBatch &read)
    {
        ++m_log.reads;
        const auto found = m_log.batches.find(read.number);
        if (m_log.isDown)
            add(m_ledger.read(read.number, Error{ErrorKind::Unavailable, "outage", ""}, m_time));
        else if (found == m_log.batches.end())
            add(m_ledger.read(read.number, Error{ErrorKind::NotFound, "none", ""}, m_time));
        else
            add(m_ledger.read(read.number, found->second, m_time));
    }
    void carryOut(const ListBatches &)
    {
        std::vector<std::uint64_t> numbers;
        for (const auto &[number, batch] : m_log.batches)
            numbers.push_back(number);
        if (m_log.isDown)
            add(m_ledger.listed(Error{ErrorKind::Unavailable, "outage", ""}, m_time));
        else
            add(m_ledger.listed(numbers, m_time));
    }
    void carryOut(const RemoveBatch &remove) { m_log.batches.erase(remove.number); }
    void carryOut(const DecideOrder &) {}

    void add(LedgerActions actions)
    {
        for (LedgerAction &action : actions) {
            if (auto *decided = std::get_if<DecideOrder>(&action))
                m_decisions.emplace(decided->ticket, std::move(decided->decision));
            else
                m_pending.push_back(std::move(action));
        }
    }

    FakeLog &m_log;
    SlotLedger m_ledger;
    LedgerActions m_pending;
    std::map<std::uint64_t, OrderDecision> m_decisions;
    std::uint64_t m_lastTicket = 0;
};

} // namespace

class SlotLedgerFixture : public testing::Test
{
protected:
    FakeLog m_log;
    Owner m_owner{m_log, "a"};
};

// Guards against an order that runs before its intent is in the log: after a crash of the owner, a
// repeat would run it a second time.
TEST_F(SlotLedgerFixture, begin_newKey_runsAfterItsIntentIsWritten)
{
    const std::uint64_t ticket = m_owner.begin("k");
    EXPECT_FALSE(m_owner.isDecided(ticket));
    m_owner.settle();
    EXPECT_TRUE(m_owner.runs(ticket));
    EXPECT_EQ(m_log.batches.rbegin()->second.records(0).key(), "k");
}

// Guards against a second run of an order when its request is repeated during or after the first.
TEST_F(SlotLedgerFixture, begin_repeat_joinsAndReceivesRecordedAnswer)
{
    EXPECT_TRUE(Owner::runs(m_owner.order("k")));
    const std::uint64_t joined = m_owner.begin("k");
    EXPECT_FALSE(m_owner.isDecided(joined));
    m_owner.finish("k", protocol::OUTCOME_ANSWERED, "placed");
    EXPECT_EQ(Owner::answer(m_owner.m_decisions.at(joined)), "placed");
    EXPECT_EQ(Owner::answer(m_owner.order("k")), "placed");
}

// Guards against running a different order under a key that is already in use.
TEST_F(SlotLedgerFixture, begin_sameKeyOtherRequest_refused)
{
    m_owner.order("k", 1);
    EXPECT_EQ(Owner::refusal(m_owner.order("k", 2)), protocol::OUTCOME_NOT_RUN);
}

// Guards against a false refusal or a second run when the answer to a write is lost.
TEST_F(SlotLedgerFixture, appended_answerLost_resolvedByReadingBack)
{
    m_owner.order("first");
    m_owner.advance(1s);
    m_log.losesAnswers = true;
    const std::uint64_t ticket = m_owner.begin("k");
    m_owner.settle();
    EXPECT_FALSE(m_owner.isDecided(ticket));
    m_owner.advance(300ms);
    m_owner.settle();
    EXPECT_TRUE(m_owner.runs(ticket));
}

// Guards against an order that starts after it was refused as "not run" at its deadline.
TEST_F(SlotLedgerFixture, tick_deadlineBeforeAppendResult_neverRuns)
{
    m_owner.order("first");
    m_owner.advance(1s);
    const std::uint64_t ticket = m_owner.begin("k", 1, 500ms);
    m_owner.advance(600ms);
    EXPECT_EQ(m_owner.refusal(ticket), protocol::OUTCOME_NOT_RUN);
    m_owner.settle();
    EXPECT_FALSE(m_owner.runs(ticket));
    // The key is free again, also for the next owner.
    m_owner.advance(300ms);
    m_owner.settle();
    Owner next(m_log, "b");
    EXPECT_TRUE(Owner::runs(next.order("k")));
}

// Guards against callers that wait until their deadline for an unresponsive platform.
TEST_F(SlotLedgerFixture, begin_platformUnresponsive_refusedLongBeforeDeadline)
{
    m_owner.order("first");
    m_owner.advance(1s);
    const std::uint64_t ticket = m_owner.begin("k", 1, 60s);
    m_owner.advance(3s);
    EXPECT_EQ(m_owner.refusal(ticket), protocol::OUTCOME_NOT_RUN);
    const std::uint64_t next = m_owner.begin("k2", 1, 60s);
    EXPECT_EQ(m_owner.refusal(next), protocol::OUTCOME_NOT_RUN);
    m_owner.settle();
    EXPECT_FALSE(m_owner.runs(ticket));
}

// Guards against an order that runs after its deadline because its owner was paused during the
// append.
TEST_F(SlotLedgerFixture, appended_afterProcessPauseBeyondDeadline_neverRuns)
{
    m_owner.order("first");
    m_owner.advance(1s);
    const std::uint64_t ticket = m_owner.begin("k", 1, 500ms);
    m_owner.m_time.now += 2s;
    m_owner.settle();
    EXPECT_EQ(m_owner.refusal(ticket), protocol::OUTCOME_NOT_RUN);
}

// Guards against a second run when a paused owner resumes: the new owner's seal fences it.
TEST_F(SlotLedgerFixture, appended_slotSealedMeanwhile_neverRuns)
{
    m_owner.order("first");
    m_owner.advance(1s);
    const std::uint64_t paused = m_owner.begin("k");
    Owner next(m_log, "b");
    EXPECT_TRUE(Owner::runs(next.order("k")));
    m_owner.settle();
    EXPECT_FALSE(m_owner.runs(paused));
    // The new owner ran an order with this key, so "not run" would be false.
    EXPECT_EQ(m_owner.refusal(paused), protocol::OUTCOME_UNKNOWN);
}

// Guards against a second run after the owner crashed between the intent and the result.
TEST_F(SlotLedgerFixture, takeover_intentWithoutResult_unknown)
{
    EXPECT_TRUE(Owner::runs(m_owner.order("k")));
    Owner next(m_log, "b");
    EXPECT_EQ(Owner::refusal(next.order("k")), protocol::OUTCOME_UNKNOWN);
}

// Guards against a restarted owner that loses the results of its predecessor.
TEST_F(SlotLedgerFixture, takeover_sameIdRestarted_recordedAnswer)
{
    m_owner.order("k");
    m_owner.finish("k", protocol::OUTCOME_ANSWERED, "placed");
    m_owner.advance(1s);
    m_owner.settle();
    Owner restarted(m_log, "a", 2);
    EXPECT_EQ(Owner::answer(restarted.order("k")), "placed");
}

// Guards against a takeover that misses an intent written between its list and its seal.
TEST_F(SlotLedgerFixture, takeover_appendBetweenListAndSeal_orderUnknown)
{
    m_owner.order("first");
    m_owner.advance(1s);
    Owner next(m_log, "b");
    const std::uint64_t ticket = next.begin("k");
    const LedgerAction list = next.m_pending.front();
    next.m_pending.clear();
    next.carryOut(std::get<ListBatches>(list));
    EXPECT_TRUE(Owner::runs(m_owner.order("k")));
    next.settle();
    EXPECT_EQ(next.refusal(ticket), protocol::OUTCOME_UNKNOWN);
}

// Guards against a wait or a false outcome while the platform is down: an order with a new key is
// refused as "not run" at once, one with a recorded key is answered from memory.
TEST_F(SlotLedgerFixture, begin_platformDown_newKeyNotRunAndRecordedKeyAnswered)
{
    m_owner.order("known");
    m_owner.finish("known", protocol::OUTCOME_ANSWERED, "placed");
    m_owner.advance(1s);
    m_owner.settle();
    m_log.isDown = true;
    EXPECT_EQ(Owner::refusal(m_owner.order("fresh")), protocol::OUTCOME_NOT_RUN);
    EXPECT_EQ(Owner::answer(m_owner.order("known")), "placed");
    m_log.isDown = false;
    m_owner.advance(1s);
    EXPECT_TRUE(Owner::runs(m_owner.order("fresh")));
}

// Guards against a false "not run": without the log, an owner cannot determine whether an order
// with this key has run.
TEST_F(SlotLedgerFixture, begin_platformDownBeforeTakeover_unknown)
{
    m_owner.order("k");
    m_log.isDown = true;
    Owner next(m_log, "b");
    EXPECT_EQ(Owner::refusal(next.order("k")), protocol::OUTCOME_UNKNOWN);
}

// Guards against a former owner that appends a batch under the number of a removed batch.
TEST_F(SlotLedgerFixture, appended_afterNumberWasRemoved_neverRuns)
{
    m_owner.order("first");
    const std::uint64_t sealed = m_log.batches.rbegin()->first + 1;
    Owner next(m_log, "b");
    next.order("k");
    m_log.batches.erase(sealed);
    m_owner.advance(1h);
    EXPECT_FALSE(Owner::runs(m_owner.order("k")));
}

// Guards against a log that grows without bound, or that loses answers at compaction.
TEST_F(SlotLedgerFixture, tick_manyBatches_compactedWithoutLoss)
{
    SlotLedgerOptions options;
    options.maxSmallBatches = 20;
    options.removalAge = 30s;
    Owner owner(m_log, "c", 1, options);
    for (int i = 0; i < 200; ++i) {
        const std::string key = "k" + std::to_string(i);
        EXPECT_TRUE(Owner::runs(owner.order(key)));
        owner.finish(key, protocol::OUTCOME_ANSWERED, key);
        owner.advance(1s);
        owner.settle();
    }
    EXPECT_LT(m_log.batches.size(), 100U);
    Owner next(m_log, "d");
    m_log.reads = 0;
    next.order("k0");
    EXPECT_LT(m_log.reads, 35U);
    for (int i = 0; i < 200; ++i) {
        const std::string key = "k" + std::to_string(i);
        EXPECT_EQ(Owner::answer(next.order(key)), key);
    }
    owner.advance(25h);
    next.advance(25h);
    EXPECT_TRUE(Owner::runs(next.order("k0")));
}

// Guards against one write per order under load.
TEST_F(SlotLedgerFixture, begin_manyAtOnce_shareWrites)
{
    m_owner.order("first");
    m_owner.advance(1s);
    const std::size_t before = m_log.writes;
    for (int i = 0; i < 100; ++i)
        m_owner.begin("k" + std::to_string(i));
    m_owner.settle();
    m_owner.advance(50ms);
    m_owner.settle();
    EXPECT_TRUE(m_owner.runs(m_owner.m_lastTicket));
    EXPECT_LE(m_log.writes - before, 2U);
}

} // namespace oriolerill::requests
