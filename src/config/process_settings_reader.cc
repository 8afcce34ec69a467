#include <algorithm>

#include "config/internal/field_table.h"
#include "config/internal/object_scan.h"
#include "config/process_settings.h"
#include "config/settings_table.h"

namespace bamboomount {
namespace {

using internal::FieldPresence;
using internal::FieldSpec;
using internal::FieldTable;

constexpr auto kRequired = FieldPresence::kRequired;
constexpr auto kOptional = FieldPresence::kOptional;
constexpr internal::Range kThreadsRange{1, 64};

// A settings field with its documentation.
struct Setting {
  FieldSpec<ProcessSettings> field;
  std::string_view default_text;
  std::string_view meaning;
};

const std::vector<Setting>& Settings() {
  using S = ProcessSettings;
  static const std::vector<Setting> settings = {
      {{"instance", kRequired, internal::IdField(&S::instance)},
       "",
       "name of the instance, unique in the fleet; a drained name is not used "
       "again"},
      {{"zone", kRequired, internal::IdField(&S::zone)},
       "",
       "availability zone of the instance"},
      {{"region", kRequired, internal::IdField(&S::region)},
       "",
       "region of the instance"},
      {{"listen_address", kRequired,
        internal::TextField(&S::listen_address, internal::ReadListenAddress)},
       "",
       "where callers connect, ip:port"},
      {{"peer_address", kRequired,
        internal::TextField(&S::peer_address, internal::ReadListenAddress)},
       "",
       "where other instances connect, ip:port"},
      {{"admin_address", kRequired,
        internal::TextField(&S::admin_address, internal::ReadListenAddress)},
       "",
       "where operators connect, ip:port"},
      {{"platform_address", kRequired,
        internal::TextField(&S::platform_address, internal::ReadAddress)},
       "",
       "where the platform answers, ip:port"},
      {{"admin_token", kRequired,
        internal::TextField(&S::admin_token, internal::ReadNonEmptyText)},
       "",
       "bearer token that operators present; secret"},
      {{"backend_credential", kRequired,
        internal::TextField(&S::backend_credential,
                            internal::ReadNonEmptyText)},
       "",
       "credential that backend servers see in place of a caller's key; "
       "secret"},
      {{"tls_certificate", kOptional,
        internal::TextField(&S::tls_certificate, internal::ReadNonEmptyText)},
       "no TLS",
       "PEM file with the certificate for callers; set together with tls_key"},
      {{"tls_key", kOptional,
        internal::TextField(&S::tls_key, internal::ReadNonEmptyText)},
       "no TLS",
       "PEM file with the private key for callers; set together with "
       "tls_certificate"},
      {{"threads", kOptional,
        internal::IntegerField(&S::threads, kThreadsRange)},
       "2",
       "threads that serve callers, 1 to 64"},
      {{"seed_peers", kOptional,
        internal::TextListField(&S::seed_peers, internal::ReadAddress)},
       "none",
       "peer addresses to contact when the platform's list cannot be read"},
  };
  return settings;
}

FieldTable<ProcessSettings> SettingsFields() {
  FieldTable<ProcessSettings> fields;
  for (const Setting& setting : Settings())
    fields.push_back(setting.field);
  return fields;
}

}  // namespace

std::vector<SettingSpec> SettingTable() {
  std::vector<SettingSpec> table;
  for (const Setting& setting : Settings())
    table.push_back({setting.field.name, setting.field.presence == kRequired,
                     setting.default_text, setting.meaning});
  return table;
}

ProcessSettingsReadResult ReadProcessSettings(const std::string& text) {
  ProcessSettingsReadResult reading;
  const internal::ObjectScan scan =
      internal::ScanObject(text, internal::ScanExtent::kWholeText);
  const internal::TextPositions positions(text, 1, 1);
  if (scan.fault) {
    reading.errors.push_back(
        positions.ErrorAt(scan.fault->offset, scan.fault->message));
    return reading;
  }
  reading.settings =
      internal::ReadFields(SettingsFields(), scan, positions, reading.errors);
  const ProcessSettings& settings = reading.settings;
  if (settings.tls_certificate.empty() != settings.tls_key.empty())
    reading.errors.push_back(positions.ErrorAt(
        0,
        "\"tls_certificate\" and \"tls_key\" must be set together or not at "
        "all"));
  return reading;
}

}  // namespace bamboomount
