// Public header of the config library: the service configuration and the
// process settings.
#ifndef CONFIG_CONFIG_H_
#define CONFIG_CONFIG_H_

#include "config/config_error.h"
#include "config/limit_table.h"
#include "config/process_settings.h"
#include "config/service_config.h"
#include "config/service_config_reader.h"
#include "config/settings_table.h"

#endif  // CONFIG_CONFIG_H_
