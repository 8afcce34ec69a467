#ifndef FUZZ_WIRE_H_
#define FUZZ_WIRE_H_

#include <string>
#include <string_view>

#include "gateway/internal/asio.h"

namespace bamboomount::fuzz {

// How a sender ends its connection.
enum class Ending { kShutdown, kClose };

// A connection within the process, of which the product has one end and the
// test the other.
class Wire {
 public:
  // Throws std::system_error if there are no more descriptors.
  explicit Wire(asio::io_context& context);
  ~Wire();
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  // The end for the product; can be taken once.
  tcp::socket TakeSocket() { return std::move(socket_); }
  // Sends the bytes and calls RunProduct().
  void Deliver(std::string_view bytes);
  void End(Ending ending);
  // Runs the product until it waits and takes what it sent.
  void RunProduct();
  // All that the product has sent.
  const std::string& output() const { return output_; }

 private:
  asio::io_context& context_;
  tcp::socket socket_;
  int descriptor_ = -1;
  std::string output_;
};

}  // namespace bamboomount::fuzz

#endif  // FUZZ_WIRE_H_
