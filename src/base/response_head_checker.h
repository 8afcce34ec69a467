#ifndef BASE_RESPONSE_HEAD_CHECKER_H_
#define BASE_RESPONSE_HEAD_CHECKER_H_

#include "base/message_framing.h"

namespace bamboomount {

// What the status code of a response says about the response.
enum class StatusKind {
  // HTTP has no such status (RFC 9110, 15), or it changes the protocol, which
  // no request of this project asks for.
  kInvalid,
  // The final response is still to come.
  kInformational,
  kFinal,
};

// HTTP parsers take any three digits for a status code.
StatusKind KindOfStatus(unsigned status);

// Checks the heads that a server sends in response to one request: any number
// of informational ones up to a limit, then the final one.
class ResponseHeadChecker {
 public:
  // A server that sends more informational responses than this is considered
  // faulty.
  static constexpr int kMaxInformationalHeads = 8;

  // Returns kInvalid also for a head that leaves the end of its body in doubt,
  // and for an informational one beyond the limit. `Header` is http::header.
  template <typename Header>
  StatusKind Check(const Header& header) {
    return IsUnambiguous(FramingOf(header)) ? Count(header.result_int())
                                            : StatusKind::kInvalid;
  }

 private:
  StatusKind Count(unsigned status);

  int informational_heads_ = 0;
};

}  // namespace bamboomount

#endif  // BASE_RESPONSE_HEAD_CHECKER_H_
