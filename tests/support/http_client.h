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

struct ClientRequest {
  std::string method = "GET";
  std::string target = "/";
  HeaderList headers;
  std::string body;
};

struct ClientResponse {
  // 0 if no response head arrived.
  int status = 0;
  HeaderList headers;
  std::string body;
  // Whether the message ended as HTTP requires. False after a cut connection.
  bool complete = false;

  // Value of the first header `name` in any case, empty if it is missing.
  std::string header(const std::string& name) const;
};

// One connection of a caller. Each step waits for `deadline` at most, and then
// counts as a cut connection. Not thread-safe.
class HttpClient {
 public:
  // Bounds a hang; no test asserts on time.
  static constexpr std::chrono::seconds kDefaultDeadline{30};

  // Throws std::runtime_error if `address` ("ip:port") cannot be connected.
  explicit HttpClient(const std::string& address,
                      std::chrono::milliseconds deadline = kDefaultDeadline);
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  void Send(const ClientRequest& request);
  // Sends bytes as they are. False if the connection is cut.
  bool SendRaw(std::string_view bytes);

  // Reads a whole response.
  ClientResponse ReadResponse();
  // Reads the head of an response; `body` stays empty.
  ClientResponse ReadHead();
  // After ReadHead: the next server-sent event without the blank line. Empty
  // at the end of the response.
  std::optional<std::string> ReadEvent();
  // After ReadHead: what is left of the body.
  std::string ReadRest();
  // After ReadEvent returned nothing, or after ReadRest: whether the response
  // ended as HTTP requires.
  bool ended_cleanly() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Sends one request on a connection of its own. Status 0 if it could not be
// connected.
ClientResponse CallOnce(const std::string& address,
                        const ClientRequest& request);

}  // namespace bamboomount::support

#endif  // SUPPORT_HTTP_CLIENT_H_
