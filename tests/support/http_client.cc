#include "support/http_client.h"

#include <strings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <stdexcept>

namespace bamboomount::support {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Parser = http::response_parser<http::string_body>;

constexpr std::uint64_t kMaxBodyBytes = 64 << 20;

tcp::endpoint ToEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

std::string ClientResponse::header(const std::string& name) const {
  for (const auto& [candidate, value] : headers) {
    if (strcasecmp(candidate.c_str(), name.c_str()) == 0)
      return value;
  }
  return "";
}

class HttpClient::Impl {
 public:
  Impl(const std::string& address, std::chrono::milliseconds deadline)
      : address_(address), deadline_(deadline), stream_(io_) {
    const ErrorCode error = Wait(
        [&](auto done) { stream_.async_connect(ToEndpoint(address), done); });
    if (error)
      throw std::runtime_error("cannot connect to " + address + ": " +
                               error.message());
    stream_.socket().set_option(tcp::no_delay(true));
  }

  void Send(const ClientRequest& request) {
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, address_);
    for (const auto& [name, value] : request.headers) {
      // A Host header in the request replaces the default one.
      if (name == "Host")
        message.set(name, value);
      else
        message.insert(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    Wait([&](auto done) {
      http::async_write(stream_, message,
                        [done](ErrorCode error, std::size_t) { done(error); });
    });
  }

  bool SendRaw(std::string_view bytes) {
    return !Wait([&](auto done) {
      asio::async_write(stream_, asio::buffer(bytes.data(), bytes.size()),
                        [done](ErrorCode error, std::size_t) { done(error); });
    });
  }

  ClientResponse ReadHead() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    parsed_ = 0;
    const ErrorCode error = Wait([&](auto done) {
      http::async_read_header(
          stream_, buffer_, *parser_,
          [done](ErrorCode result, std::size_t) { done(result); });
    });
    ClientResponse response;
    if (error)
      return response;
    response.status = static_cast<int>(parser_->get().result_int());
    for (const auto& field : parser_->get())
      response.headers.emplace_back(std::string(field.name_string()),
                                    std::string(field.value()));
    return response;
  }

  ClientResponse ReadResponse() {
    ClientResponse response = ReadHead();
    if (response.status == 0)
      return response;
    while (ReadSome()) {
    }
    response.body = parser_->get().body();
    response.complete = parser_->is_done();
    return response;
  }

  std::optional<std::string> ReadEvent() {
    if (!parser_)
      return std::nullopt;
    while (true) {
      const std::string& text = parser_->get().body();
      const std::size_t end = text.find("\n\n", parsed_);
      if (end != std::string::npos) {
        const std::string event = text.substr(parsed_, end - parsed_);
        parsed_ = end + 2;
        return event;
      }
      if (!ReadSome())
        return std::nullopt;
    }
  }

  std::string ReadRest() {
    while (parser_ && ReadSome()) {
    }
    return parser_ ? parser_->get().body().substr(parsed_) : "";
  }

  bool ended_cleanly() const { return parser_ && parser_->is_done(); }

 private:
  // Reads more of the message. Returns false once it has ended, the connection
  // failed or the deadline passed.
  bool ReadSome() {
    if (parser_->is_done())
      return false;
    const ErrorCode error = Wait([&](auto done) {
      http::async_read_some(
          stream_, buffer_, *parser_,
          [done](ErrorCode result, std::size_t) { done(result); });
    });
    return !error;
  }

  // Starts an operation and runs it until it completes or the deadline passes.
  // Returns its error code.
  template <typename Start>
  ErrorCode Wait(Start start) {
    ErrorCode outcome = asio::error::would_block;
    stream_.expires_after(deadline_);
    start([&outcome](ErrorCode error) { outcome = error; });
    io_.restart();
    io_.run();
    return outcome;
  }

  const std::string address_;
  const std::chrono::milliseconds deadline_;
  asio::io_context io_{1};
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::size_t parsed_ = 0;
};

HttpClient::HttpClient(const std::string& address,
                       std::chrono::milliseconds deadline)
    : impl_(std::make_unique<Impl>(address, deadline)) {}
HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

void HttpClient::Send(const ClientRequest& request) {
  impl_->Send(request);
}

bool HttpClient::SendRaw(std::string_view bytes) {
  return impl_->SendRaw(bytes);
}

ClientResponse HttpClient::ReadResponse() {
  return impl_->ReadResponse();
}

ClientResponse HttpClient::ReadHead() {
  return impl_->ReadHead();
}

std::optional<std::string> HttpClient::ReadEvent() {
  return impl_->ReadEvent();
}

std::string HttpClient::ReadRest() {
  return impl_->ReadRest();
}

bool HttpClient::ended_cleanly() const {
  return impl_->ended_cleanly();
}

ClientResponse CallOnce(const std::string& address,
                        const ClientRequest& request) {
  try {
    HttpClient client(address);
    client.Send(request);
    return client.ReadResponse();
  } catch (const std::runtime_error&) {
    return {};
  }
}

}  // namespace bamboomount::support
