#pragma once

#include "domain/expected.h"
#include "settings/fleetsettings.h"

#include <memory>
#include <string>

namespace oriolerill::relay {

/// An entry of a fleet whose endpoints, configuration and accounts are kept in the platform's
/// store. It relays callers' requests directly to the endpoints, on one thread.
class RelayProcess
{
public:
    /// The settings file is read again on SIGHUP and when it changes.
    RelayProcess(settings::RelaySettings settings, std::string settingsFile);
    ~RelayProcess();
    RelayProcess(const RelayProcess &) = delete;
    RelayProcess &operator=(const RelayProcess &) = delete;

    /// Serves until SIGTERM or SIGINT, then completes or cancels the requests in progress.
    domain::Expected<domain::Done> run();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::relay
