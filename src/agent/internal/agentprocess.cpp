#include "agent/internal/agentprocess.h"

#include <utility>

namespace oriolerill::agent {

AgentProcess::AgentProcess(settings::AgentSettings settings)
    : m_settings(std::move(settings))
{}

domain::Expected<domain::Done> AgentProcess::start()
{
    return domain::Done{};
}

void AgentProcess::stop() {}

} // namespace oriolerill::agent
