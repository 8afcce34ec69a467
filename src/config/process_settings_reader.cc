#include <algorithm>

#include "config/internal/field_table.h"
#include "config/internal/object_scan.h"
#include "config/process_settings.h"

namespace bamboomount {
namespace {

using internal::FieldTable;
using internal::Presence;

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;
constexpr internal::Range kThreadsRange{1, 64};

const FieldTable<ProcessSettings>& SettingsFields() {
  using S = ProcessSettings;
  static const FieldTable<S> table = {
      {"instance", kRequired, internal::IdField(&S::instance)},
      {"zone", kRequired, internal::IdField(&S::zone)},
      {"region", kRequired, internal::IdField(&S::region)},
      {"listen_address", kRequired,
       internal::TextField(&S::listen_address, internal::ReadListenAddress)},
      {"peer_address", kRequired,
       internal::TextField(&S::peer_address, internal::ReadListenAddress)},
      {"admin_address", kRequired,
       internal::TextField(&S::admin_address, internal::ReadListenAddress)},
      {"platform_address", kRequired,
       internal::TextField(&S::platform_address, internal::ReadAddress)},
      {"admin_token", kRequired,
       internal::TextField(&S::admin_token, internal::ReadNonEmptyText)},
      {"backend_credential", kRequired,
       internal::TextField(&S::backend_credential, internal::ReadNonEmptyText)},
      {"tls_certificate", kOptional,
       internal::TextField(&S::tls_certificate, internal::ReadNonEmptyText)},
      {"tls_key", kOptional,
       internal::TextField(&S::tls_key, internal::ReadNonEmptyText)},
      {"threads", kOptional, internal::WholeField(&S::threads, kThreadsRange)},
      {"seed_peers", kOptional,
       internal::TextListField(&S::seed_peers, internal::ReadAddress)},
  };
  return table;
}

}  // namespace

ProcessSettingsReading ReadProcessSettings(const std::string& text) {
  ProcessSettingsReading reading;
  const internal::ObjectScan scan =
      internal::ScanObject(text, internal::Extent::kWholeText);
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
        "\"tls_certificate\" and \"tls_key\" are set together or not at "
        "all"));
  return reading;
}

}  // namespace bamboomount
