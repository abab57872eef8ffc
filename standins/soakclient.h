#pragma once

#include "domain/socketaddress.h"
#include "soakchecks.h"
#include "soakprocess.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace oriolerill::standins {

/// An entry from the view of the clients.
struct SoakEntry
{
    SoakProcess *process = nullptr;
    domain::SocketAddress caller;
    domain::SocketAddress status;
    bool isInRotation = false;
};

/// A client that sends requests in sequence on one connection until the connection ends.
class SoakClient
{
public:
    /// Chooses the entry for a new connection; nullptr while none is available.
    using Choose = std::function<SoakEntry *()>;

    SoakClient(SoakJournal &journal, SoakChecks &checks, std::string name, std::uint64_t seed,
            Choose choose, bool isConfigProbe);

    boost::asio::awaitable<void> run(domain::TimePoint until);

private:
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> call();
    SoakAttempt draw();
    std::string requestText(const SoakAttempt &attempt) const;

    SoakJournal &m_journal;
    SoakChecks &m_checks;
    std::string m_name;
    std::mt19937_64 m_random;
    Choose m_choose;
    bool m_isConfigProbe;
    std::uint64_t m_count = 0;
    SoakEntry *m_entry = nullptr;
    int m_incarnation = 0;
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

} // namespace oriolerill::standins
