#pragma once

#include "domain/expected.h"
#include "settings/fleetsettings.h"

#include <memory>
#include <string>

namespace oriolerill::relayagent {

/// The agent beside a model engine of a fleet: updates the engine to the newest named weights,
/// serves pieces of weights to other agents, and reports the engine's load to the entries.
/// Single-threaded.
class RelayAgentProcess
{
public:
    /// The settings file is read again on SIGHUP.
    RelayAgentProcess(settings::RelayAgentSettings settings, std::string settingsFile);
    ~RelayAgentProcess();
    RelayAgentProcess(const RelayAgentProcess &) = delete;
    RelayAgentProcess &operator=(const RelayAgentProcess &) = delete;

    /// Runs until SIGTERM or SIGINT.
    domain::Expected<domain::Done> run();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::relayagent
