#pragma once

#include "domain/expected.h"
#include "settings/agentsettings.h"

#include <memory>

namespace oriolerill::agent {

/// Runs the services of one agent from start to graceful shutdown.
class AgentProcess
{
public:
    explicit AgentProcess(settings::AgentSettings settings);
    ~AgentProcess();
    AgentProcess(const AgentProcess &) = delete;
    AgentProcess &operator=(const AgentProcess &) = delete;

    /// Starts the services and returns.
    domain::Expected<domain::Done> start();
    /// Announces that the endpoint is leaving, refuses new attempts and waits for the attempts in
    /// progress, at most for the drain time.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::agent
