#pragma once

#include "settings/agentsettings.h"
#include "settings/entrysettings.h"
#include "settings/fleetsettings.h"
#include "settings/internal/keytable.h"

namespace oriolerill::settings::internal {

/// The keys of each process, bound to the given settings. This is their only declaration.
KeyTable entryKeys(EntrySettings &settings);
KeyTable agentKeys(AgentSettings &settings);
KeyTable relayKeys(RelaySettings &settings);
KeyTable relayAgentKeys(RelayAgentSettings &settings);

} // namespace oriolerill::settings::internal
