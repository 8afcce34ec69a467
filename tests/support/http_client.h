#ifndef SUPPORT_HTTP_CLIENT_H_
#define SUPPORT_HTTP_CLIENT_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboomount::support {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// A request of a caller.
struct ClientRequest {
  std::string method = "GET";
  std::string target = "/";
  HeaderList headers;
  std::string body;
};

// The response that a caller received.
struct ClientResponse {
  // HTTP status code; 0 if no response head arrived.
  int status = 0;
  HeaderList headers;
  std::string body;
  // Whether the message ended as HTTP requires; false if the connection was
  // closed too early.
  bool complete = false;

  // Value of the first header `name`, compared without case; empty if it is
  // missing.
  std::string header(const std::string& name) const;
};

// One connection of a caller. Each operation waits for at most `deadline` and
// is then treated like a closed connection. Not thread-safe.
class HttpClient {
 public:
  // Only keeps a test from hanging; no test checks durations with it.
  static constexpr std::chrono::seconds kDefaultDeadline{30};

  // Connects to `address` ("ip:port"). Throws std::runtime_error on failure.
  explicit HttpClient(const std::string& address,
                      std::chrono::milliseconds deadline = kDefaultDeadline);
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  // Ignores errors; a closed connection shows when the response is read.
  void Send(const ClientRequest& request);
  // Sends `bytes` unchanged. Returns false if the connection is closed.
  bool SendRaw(std::string_view bytes);

  // Reads a complete response.
  ClientResponse ReadResponse();
  // Reads the status and headers of a response; `body` stays empty.
  ClientResponse ReadHead();
  // After ReadHead: returns the next server-sent event without the blank line,
  // or nothing at the end of the response.
  std::optional<std::string> ReadEvent();
  // After ReadHead: reads the remaining body.
  std::string ReadRest();
  // After ReadEvent returned nothing, or after ReadRest: whether the response
  // ended as HTTP requires.
  bool ended_cleanly() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Sends one request on a new connection and returns the response; its status is
// 0 if the connection failed.
ClientResponse CallOnce(const std::string& address,
                        const ClientRequest& request);

}  // namespace bamboomount::support

#endif  // SUPPORT_HTTP_CLIENT_H_
