#ifndef APPS_BAMBOOMOUNT_ENTRY_ENTRY_PROCESS_H_
#define APPS_BAMBOOMOUNT_ENTRY_ENTRY_PROCESS_H_

#include "gateway/instance_settings.h"
#include "settings_file.h"

namespace bamboomount {

// Serves until a signal asks for a stop; returns the exit code. Reads `file`
// again when it changes.
int RunEntryProcess(const InstanceSettings& settings, const SettingsFile& file);

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNT_ENTRY_ENTRY_PROCESS_H_
