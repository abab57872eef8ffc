#pragma once

#include "domain/expected.h"
#include "settings/agentsettings.h"

namespace oriolerill::agent {

/// The services of one agent, from start to graceful shutdown.
class AgentProcess
{
public:
    explicit AgentProcess(settings::AgentSettings settings);

    /// Starts to serve and returns.
    domain::Expected<domain::Done> start();
    /// Stops accepting, announces that the endpoint is leaving and waits for requests in progress,
    /// at most for the drain time.
    void stop();

private:
    settings::AgentSettings m_settings;
};

} // namespace oriolerill::agent
