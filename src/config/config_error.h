#ifndef CONFIG_CONFIG_ERROR_H_
#define CONFIG_CONFIG_ERROR_H_

#include <string>

namespace bamboomount {

// An error in a configuration text. Lines and columns count from 1, columns in
// bytes; column 0 refers to the whole line.
struct ConfigError {
  int line = 0;
  int column = 0;
  std::string message;
};

}  // namespace bamboomount

#endif  // CONFIG_CONFIG_ERROR_H_
