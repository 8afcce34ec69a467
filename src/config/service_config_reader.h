#ifndef CONFIG_SERVICE_CONFIG_READER_H_
#define CONFIG_SERVICE_CONFIG_READER_H_

#include <string>
#include <vector>

#include "config/config_error.h"
#include "config/service_config.h"

namespace bamboomount {

struct ServiceConfigReadResult {
  // Meaningful only if `errors` is empty.
  ServiceConfig config;
  std::vector<ConfigError> errors;
};

// Reads the text of a service.jsonc file and reports every fault in it.
ServiceConfigReadResult ReadServiceConfig(const std::string& text);

}  // namespace bamboomount

#endif  // CONFIG_SERVICE_CONFIG_READER_H_
