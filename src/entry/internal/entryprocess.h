#pragma once

#include "domain/expected.h"
#include "settings/entrysettings.h"

#include <memory>

namespace oriolerill::entry {

/// The services of one entry, from start to graceful shutdown.
class EntryProcess
{
public:
    explicit EntryProcess(settings::EntrySettings settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Starts all services and returns.
    domain::Expected<domain::Done> start();
    /// Announces that the entry is leaving, stops accepting and waits for requests in progress, at
    /// most for the drain time.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::entry
