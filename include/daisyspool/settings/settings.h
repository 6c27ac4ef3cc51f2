// The settings module: INI files with line numbers, and the validated settings
// of each process. It reads files and has no threads.
//
//   IniFile.h  sections and keys with their lines; typed reading of values
//   EntrySettings.h, AgentSettings.h, NodeSettings.h  settings of each process
//
// See IniFile.h next.
#ifndef DAISYSPOOL_SETTINGS_SETTINGS_H
#define DAISYSPOOL_SETTINGS_SETTINGS_H

#include "daisyspool/settings/AgentSettings.h"
#include "daisyspool/settings/EntrySettings.h"
#include "daisyspool/settings/IniFile.h"

#endif // DAISYSPOOL_SETTINGS_SETTINGS_H
