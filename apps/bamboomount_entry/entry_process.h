#ifndef APPS_BAMBOOMOUNT_ENTRY_ENTRY_PROCESS_H_
#define APPS_BAMBOOMOUNT_ENTRY_ENTRY_PROCESS_H_

#include "gateway/instance_settings.h"
#include "settings_file.h"

namespace bamboomount {

// Serves until SIGTERM or SIGINT and a graceful shutdown; returns the exit
// code. Reloads the settings from `file` on SIGHUP and when the file changes.
int RunEntryProcess(const InstanceSettings& settings, const SettingsFile& file);

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNT_ENTRY_ENTRY_PROCESS_H_
