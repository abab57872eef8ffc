#pragma once

#include "domain/expected.h"
#include "settings/agentsettings.h"

#include <memory>

namespace oriolerill::agent {

/// The services of one agent, from start to graceful shutdown.
class AgentProcess
{
public:
    explicit AgentProcess(settings::AgentSettings settings);
    ~AgentProcess();
    AgentProcess(const AgentProcess &) = delete;
    AgentProcess &operator=(const AgentProcess &) = delete;

    /// Starts to serve and returns.
    domain::Expected<domain::Done> start();
    /// Announces that the endpoint is leaving, stops accepting and waits for requests in progress,
    /// at most for the drain time.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::agent
