#ifndef APPS_BAMBOOMOUNT_ENTRY_SETTINGS_FILE_H_
#define APPS_BAMBOOMOUNT_ENTRY_SETTINGS_FILE_H_

#include <string>

#include "gateway/instance_settings.h"

namespace bamboomount {

// The settings file of an entry instance. It may change at any time, with or
// without a signal.
class SettingsFile {
 public:
  explicit SettingsFile(std::string path) : path_(std::move(path)) {}

  const std::string& path() const { return path_; }
  // The whole text; empty if the file cannot be read.
  std::string ReadText() const;
  ParsedSettings Read() const;

 private:
  const std::string path_;
};

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNT_ENTRY_SETTINGS_FILE_H_
