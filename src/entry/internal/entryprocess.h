#pragma once

#include "domain/expected.h"
#include "settings/entrysettings.h"

namespace oriolerill::entry {

/// The services of one entry, from start to graceful shutdown.
class EntryProcess
{
public:
    explicit EntryProcess(settings::EntrySettings settings);

    /// Starts to serve and returns.
    domain::Expected<domain::Done> start();
    /// Stops accepting, announces that the entry is leaving and waits for requests in progress, at
    /// most for the drain time.
    void stop();

private:
    settings::EntrySettings m_settings;
};

} // namespace oriolerill::entry
