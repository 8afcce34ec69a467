#include "settings_file.h"

#include <fstream>
#include <sstream>

namespace bamboomount {

std::string SettingsFile::ReadText() const {
  std::ifstream file(path_);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

ParsedSettings SettingsFile::Read() const {
  const std::string text = ReadText();
  if (text.empty())
    return {{}, {"the file cannot be read or is empty"}};
  return ParseInstanceSettings(text);
}

}  // namespace bamboomount
