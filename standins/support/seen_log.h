#ifndef SUPPORT_SEEN_LOG_H_
#define SUPPORT_SEEN_LOG_H_

#include <deque>
#include <string>

#include "support/http_message.h"

namespace standin {

// Log of the last kCapacity requests as received. Tests search it for text that
// must not reach a backend server. Not thread-safe.
class SeenLog {
 public:
  void Add(const HttpRequest& request);
  // Returns {"requests":[{"method","target","headers":[[name,value]],"body"}]}.
  std::string ToJson() const;

 private:
  static constexpr std::size_t kCapacity = 2000;

  std::deque<HttpRequest> requests_;
};

}  // namespace standin

#endif  // SUPPORT_SEEN_LOG_H_
