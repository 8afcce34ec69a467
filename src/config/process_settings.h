#ifndef CONFIG_PROCESS_SETTINGS_H_
#define CONFIG_PROCESS_SETTINGS_H_

#include <string>
#include <vector>

#include "base/base.h"
#include "config/config_error.h"

namespace bamboomount {

// Settings that a process needs before it contacts the platform. Addresses are
// "ip:port".
struct ProcessSettings {
  InstanceId instance;
  ZoneId zone;
  RegionId region;
  // Address for callers.
  std::string listen_address;
  // Address for peers (nng over TCP).
  std::string peer_address;
  // Address of the admin interface, for operators.
  std::string admin_address;
  std::string platform_address;
  // Bearer token required on the admin interface.
  std::string admin_token;
  // Credential sent to backend servers instead of the caller's key.
  std::string backend_credential;
  // Paths of PEM files; if both are empty, callers connect without TLS.
  std::string tls_certificate;
  std::string tls_key;
  // Threads that serve callers.
  int threads = 2;
  // Peer addresses to contact when the platform's list cannot be read.
  std::vector<std::string> seed_peers;
};

struct ProcessSettingsReadResult {
  // Valid only if `errors` is empty.
  ProcessSettings settings;
  std::vector<ConfigError> errors;
};

// Parses the text of a settings file (JSON with comments). Reports all errors
// in it, including unknown names; a syntax error hides later ones.
ProcessSettingsReadResult ReadProcessSettings(const std::string& text);

}  // namespace bamboomount

#endif  // CONFIG_PROCESS_SETTINGS_H_
