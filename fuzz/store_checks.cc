// Checks of the client of the platform's store, whose answers are sent over a
// loopback connection.
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fuzz/checks.h"
#include "fuzz/http_grammar.h"
#include "fuzz/strict_http_reader.h"
#include "platform/base64.h"
#include "platform/http_table_store.h"

namespace bamboomount::fuzz {
namespace {

using Json = nlohmann::json;

void Require(bool holds, const std::string& property) {
  if (!holds)
    throw Violation(property);
}

// A store that accepts one connection, sends the answer in pieces once a call
// has come, and resets the connection.
class ScriptedStore {
 public:
  ScriptedStore(asio::io_context& context, std::vector<std::string> pieces)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        socket_(context),
        pieces_(std::move(pieces)) {
    acceptor_.async_accept(socket_, [this](const error_code& error) {
      if (!error)
        AwaitCall();
    });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void AwaitCall() {
    socket_.async_read_some(asio::buffer(call_),
                            [this](const error_code& error, std::size_t) {
                              if (!error)
                                SendNext();
                            });
  }
  void SendNext() {
    if (next_ == pieces_.size()) {
      // A reset, since a connection that is closed keeps its port for a minute.
      // What was sent before is still received.
      error_code ignored;
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      socket_.close(ignored);
      return;
    }
    asio::async_write(socket_, asio::buffer(pieces_[next_++]),
                      [this](const error_code& error, std::size_t) {
                        if (!error)
                          SendNext();
                      });
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  const std::vector<std::string> pieces_;
  std::array<char, 4096> call_{};
  std::size_t next_ = 0;
};

// Rows as the store sends them; some lack a field or have an odd one.
std::string GenerateRows(Choices& choices, bool& is_sound) {
  constexpr std::array<std::string_view, 6> kOddValues{
      "null", "-1", "\"x\"", "[]", "18446744073709551615", "true"};
  const std::string value = EncodeBase64("the value");
  std::string rows =
      R"({"schema_version":7,"now_ms":1000,"rows":[{"table":"t","part":"",)"
      R"("key":"k","schema_version":5,"value":")" +
      value + R"("},{"table":"t","part":"","key":"l","schema_version":6,)" +
      R"("deleted":true}]})";
  constexpr std::array<std::string_view, 6> kFields{"7",    "1000", "\"k\"",
                                                    "true", "5",    "\"t\""};
  is_sound = true;
  while (choices.OneIn(2)) {
    is_sound = false;
    const std::size_t position = rows.find(choices.Pick(kFields));
    if (position != std::string::npos)
      rows.replace(position, 1, choices.Pick(kOddValues));
  }
  return rows;
}

}  // namespace

void CheckStoreAnswers(Choices& choices) {
  constexpr std::chrono::seconds kMaxWait{5};
  std::string sent;
  bool is_sound = false;
  if (choices.OneIn(2)) {
    sent = GenerateResponse(choices, "").bytes;
  } else {
    const std::string rows = GenerateRows(choices, is_sound);
    sent = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(rows.size()) +
           "\r\n\r\n" + rows;
    if (choices.OneIn(4)) {
      is_sound = false;
      sent.resize(choices.Below(sent.size()));
    }
    if (choices.OneIn(4))
      sent += GenerateResponse(choices, "").bytes;
  }
  asio::io_context context;
  ScriptedStore server(context, Cut(sent, choices));
  HttpTableStore store(context, server.address());
  std::optional<Result<RowsResponse>> result;
  store.ReadChanges("t", RowVersion(1), Millis(0),
                    [&](Result<RowsResponse> response) {
                      result.emplace(std::move(response));
                      context.stop();
                    });
  context.run_for(kMaxWait);
  Require(result.has_value(), "a call of the store did not end");
  Require(*result || !is_sound, "a sound answer of the store was refused");
  if (!*result)
    return;
  const StrictMessage strict = ReadResponseStrictly(sent, false);
  Require(strict.verdict == StrictVerdict::kComplete &&
              strict.start[1] == "200" && Json::accept(strict.body),
          "rows were read from what is no answer of the store");
  const Json answer = Json::parse(strict.body);
  Require(answer.at("rows").size() >= result->value().rows.size(),
          "more rows were read than the store sent");
}

}  // namespace bamboomount::fuzz
