#ifndef FUZZ_INSTANCE_RAW_CALLER_H_
#define FUZZ_INSTANCE_RAW_CALLER_H_

#include <functional>
#include <string>
#include <vector>

namespace bamboomount::fuzz {

// Whether what was received so far is all that comes.
using IsDone = std::function<bool(const std::string& received)>;

// Sends the pieces on a new TCP connection to `address` ("ip:port") and returns
// what is received until `is_done`, the other side closes, or it is silent for
// too long. With `resets`, the connection is reset right after the last piece.
std::string SendRaw(const std::string& address,
                    const std::vector<std::string>& pieces,
                    const IsDone& is_done,
                    bool resets = false);
// Sends one datagram.
void SendDatagram(const std::string& address, const std::string& bytes);

}  // namespace bamboomount::fuzz

#endif  // FUZZ_INSTANCE_RAW_CALLER_H_
