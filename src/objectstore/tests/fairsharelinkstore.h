#pragma once

#include "objectstore/tests/resettablestore.h"

namespace oriolerill::objectstore {

/// A store behind one link that all its readers share, as those of a data centre in another region
/// do. Connections share the link evenly, one window of bytes each at a time. Lists come in pages,
/// and reads have the deadlines of platform::FleetObjectStore.
class FairShareLinkStore : public ResettableStore
{
public:
    /// Bytes a second of the link.
    explicit FairShareLinkStore(double rate)
        : m_rate(rate)
    {}

    /// Bytes that the link has carried, and those of answers that were given up.
    std::size_t transferredBytes = 0;
    std::size_t wastedBytes = 0;

    Result<ObjectList> list(std::string prefix, domain::TimePoint deadline) override
    {
        constexpr std::size_t PageObjects = 50;
        auto answer = co_await ResettableStore::list(std::move(prefix), deadline);
        if (!answer)
            co_return answer;
        std::size_t received = 0;
        for (std::size_t first = 0; first == 0 || first < answer->objects.size();
                first += PageObjects) {
            const std::size_t bytes = sizeOf(*answer, first, PageObjects);
            if (!co_await carry(bytes, deadline)) {
                wastedBytes += received;
                co_return late();
            }
            received += bytes;
        }
        co_return answer;
    }
    Result<ObjectList> watch(
            std::string prefix, domain::ConfigVersion after, domain::TimePoint deadline) override
    {
        auto answer = co_await ResettableStore::watch(std::move(prefix), after, deadline);
        if (!answer)
            co_return answer;
        const std::size_t bytes = sizeOf(*answer, 0, answer->objects.size());
        if (!co_await carry(bytes, deadline))
            co_return late();
        co_return answer;
    }
    /// Of the whole collection, once.
    std::size_t sizeOf(const std::string &collection) const
    {
        const ObjectList list = select(collection, 0);
        return sizeOf(list, 0, list.objects.size());
    }

private:
    static std::size_t sizeOf(const ObjectList &list, std::size_t first, std::size_t count)
    {
        /// Around an object, and around an answer, in the platform's JSON.
        constexpr std::size_t Envelope = 120;
        std::size_t bytes = Envelope;
        for (std::size_t i = first; i < std::min(first + count, list.objects.size()); ++i)
            bytes += list.objects[i].key.size() + list.objects[i].value.size() + Envelope;
        return bytes;
    }
    static domain::Error late()
    {
        return {domain::ErrorKind::Timeout, "no answer in time", "try again"};
    }
    /// False when the head has not come by the deadline, or no byte for a while after it.
    boost::asio::awaitable<bool> carry(std::size_t bytes, domain::TimePoint deadline)
    {
        constexpr std::size_t Window = 16U << 10U;
        constexpr auto LongestPause = std::chrono::milliseconds(1500);
        std::size_t sent = 0;
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
        while (sent < bytes) {
            const std::size_t piece = std::min(Window, bytes - sent);
            const domain::TimePoint now = domain::TimePoint::clock::now();
            m_freeAt = std::max(m_freeAt, now)
                    + std::chrono::duration_cast<domain::Duration>(
                            std::chrono::duration<double>(static_cast<double>(piece) / m_rate));
            transferredBytes += piece;
            sent += piece;
            const domain::TimePoint last
                    = sent <= Window ? deadline : std::max(deadline, now + LongestPause);
            const bool isLate = m_freeAt > last;
            timer.expires_at(std::min(m_freeAt, last));
            co_await timer.async_wait(boost::asio::use_awaitable);
            if (isLate) {
                wastedBytes += sent;
                co_return false;
            }
        }
        co_return true;
    }

    double m_rate;
    domain::TimePoint m_freeAt;
};

} // namespace oriolerill::objectstore
