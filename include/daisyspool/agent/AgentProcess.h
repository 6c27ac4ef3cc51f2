#ifndef DAISYSPOOL_AGENT_AGENTPROCESS_H
#define DAISYSPOOL_AGENT_AGENTPROCESS_H

#include "daisyspool/settings/AgentSettings.h"

namespace daisyspool {

/// Runs an agent until SIGTERM or SIGINT, then drains and returns.
///
/// Returns the exit code of the process: 0 after an orderly shutdown. Call from
/// the main thread, once.
int runAgent(const AgentSettings &Settings);

} // namespace daisyspool

#endif // DAISYSPOOL_AGENT_AGENTPROCESS_H
