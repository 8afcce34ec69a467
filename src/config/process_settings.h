#ifndef CONFIG_PROCESS_SETTINGS_H_
#define CONFIG_PROCESS_SETTINGS_H_

#include <string>
#include <vector>

#include "base/base.h"
#include "config/config_error.h"

namespace bamboomount {

// What one process must know before it reaches the platform. Addresses are
// "ip:port".
struct ProcessSettings {
  InstanceId instance;
  ZoneId zone;
  RegionId region;
  // Where callers connect.
  std::string listen_address;
  // Where peers connect (nng over TCP).
  std::string peer_address;
  // Where operators connect.
  std::string admin_address;
  std::string platform_address;
  // Bearer token that operators present on the admin interface.
  std::string admin_token;
  // Credential that backend servers see in place of a caller's key.
  std::string backend_credential;
  // Both empty: callers connect without TLS. Paths of PEM files.
  std::string tls_certificate;
  std::string tls_key;
  // Threads that serve callers.
  int threads = 2;
  // Peer addresses to contact when the platform's list cannot be read.
  std::vector<std::string> seed_peers;
};

struct ProcessSettingsReadResult {
  // Meaningful only if `errors` is empty.
  ProcessSettings settings;
  std::vector<ConfigError> errors;
};

// Reads the text of a settings file (JSON with comments) and reports every
// fault in it, unknown names included.
ProcessSettingsReadResult ReadProcessSettings(const std::string& text);

}  // namespace bamboomount

#endif  // CONFIG_PROCESS_SETTINGS_H_
