#include "admin/admin_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <thread>

#include "admin/events.h"
#include "admin/internal/admin_handlers.h"
#include "admin/internal/header_framing.h"
#include "admin/internal/host_port.h"

namespace bamboomount {
namespace {

using internal::AdminHandlers;
using internal::AdminReply;
using internal::AdminRequest;

// Larger request bodies are rejected with status 413. A configuration of the
// target fleet size takes 245 kB (state_benchmark).
constexpr std::size_t kMaxBodyBytes = 8u << 20;
// Two at least, so that a request that waits for the store does not block the
// others.
constexpr unsigned kMinThreads = 2;
constexpr unsigned kMaxThreads = 8;

std::string HeaderValue(const cxxtools::http::Request& request,
                        const char* name) {
  const char* value = request.getHeader(name);
  return value == nullptr ? std::string() : value;
}

// Whether the server finds the end of the request's body. It does not decode
// transfer codings.
bool HasKnownEnd(const cxxtools::http::RequestHeader& header) {
  const MessageFraming framing = internal::FramingOf(header);
  return framing.transfer_encodings.empty() && IsUnambiguous(framing);
}

AdminRequest ParseRequestHead(const cxxtools::http::Request& request) {
  AdminRequest admin_request;
  admin_request.method = request.method();
  admin_request.path = request.url();
  admin_request.authorization = HeaderValue(request, "Authorization");
  const cxxtools::QueryParams params(request.qparams());
  if (params.has("trace_id"))
    admin_request.query["trace_id"] = params["trace_id"];
  for (const char* name : {"version", "windows"}) {
    if (params.has(name))
      admin_request.query[name] = params[name];
  }
  return admin_request;
}

class AdminResponder : public cxxtools::http::Responder {
 public:
  AdminResponder(cxxtools::http::Service& service,
                 const AdminHandlers& handlers)
      : Responder(service), handlers_(handlers) {}

  // Bodies that are too large or come without the admin token are discarded, so
  // that an unauthorized client cannot exhaust the memory.
  void beginRequest(cxxtools::net::TcpSocket& socket,
                    std::istream& in,
                    cxxtools::http::Request& request) override {
    Responder::beginRequest(socket, in, request);
    has_known_end_ = HasKnownEnd(request.header());
    unread_body_bytes_ = request.header().contentLength();
    body_too_large_ = unread_body_bytes_ > kMaxBodyBytes;
    keep_body_ = has_known_end_ && !body_too_large_ &&
                 handlers_.IsAuthorized(ParseRequestHead(request));
  }

  std::size_t readBody(std::istream& in) override {
    if (keep_body_)
      return Responder::readBody(in);
    // istream::ignore would block for the character after the body. The server
    // calls again only for new input, so all available input must be consumed.
    std::array<char, 4096> discarded{};
    std::size_t consumed_bytes = 0;
    while (unread_body_bytes_ > 0 && in.rdbuf()->in_avail() > 0) {
      const auto chunk_size = std::min(unread_body_bytes_, discarded.size());
      const auto count = static_cast<std::size_t>(in.readsome(
          discarded.data(), static_cast<std::streamsize>(chunk_size)));
      unread_body_bytes_ -= count;
      consumed_bytes += count;
    }
    return consumed_bytes;
  }

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    if (!has_known_end_) {
      RefuseUnknownEnd(out, reply);
      return;
    }
    AdminRequest admin_request = ParseRequestHead(request);
    admin_request.body = request.bodyStr();
    const AdminReply admin_reply =
        body_too_large_ ? handlers_.RejectOversizedBody(admin_request)
                        : handlers_.Handle(admin_request);
    reply.httpReturn(static_cast<unsigned>(admin_reply.status),
                     admin_reply.status < 400 ? "OK" : "Refused");
    reply.setHeader("Content-Type", admin_reply.content_type.c_str());
    out << admin_reply.body;
  }

  void replyError(std::ostream& out,
                  cxxtools::http::Request& request,
                  cxxtools::http::Reply& reply,
                  const std::exception& error) override {
    Log(kAdminFailed, {{"path", request.url()}, {"reason", error.what()}});
    reply.httpReturn(500, "Refused");
    out << "internal error\n";
  }

 private:
  // What follows the head could be taken for the next request, so the
  // connection ends.
  static void RefuseUnknownEnd(std::ostream& out,
                               cxxtools::http::Reply& reply) {
    constexpr unsigned kBadRequest = 400;
    reply.httpReturn(kBadRequest, "Refused");
    reply.setHeader("Connection", "close");
    out << "the length of the body is ambiguous\n";
  }

  const AdminHandlers& handlers_;
  bool has_known_end_ = true;
  std::size_t unread_body_bytes_ = 0;
  bool body_too_large_ = false;
  bool keep_body_ = false;
};

class AdminService : public cxxtools::http::Service {
 public:
  explicit AdminService(const AdminHandlers& handlers) : handlers_(handlers) {}

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request& /*request*/) override {
    return new AdminResponder(*this, handlers_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  const AdminHandlers& handlers_;
};

}  // namespace

class AdminServer::Impl {
 public:
  Impl(const internal::HostPort& address,
       const std::string& admin_token,
       FleetOperations& operations)
      : handlers_(operations, admin_token),
        service_(handlers_),
        server_(loop_) {
    server_.minThreads(kMinThreads);
    server_.maxThreads(kMaxThreads);
    server_.addService(cxxtools::Regex("^/"), service_);
    server_.listen(address.host, address.port);
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~Impl() {
    loop_.exit();
    thread_.join();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

 private:
  AdminHandlers handlers_;
  AdminService service_;
  cxxtools::EventLoop loop_;
  cxxtools::http::Server server_;
  std::thread thread_;
};

AdminServer::AdminServer(const std::string& address,
                         const std::string& admin_token,
                         FleetOperations& operations) {
  const auto host_port = internal::ParseHostPort(address);
  if (!host_port)
    throw std::runtime_error("invalid address, expected ip:port: " + address);
  impl_ = std::make_unique<Impl>(*host_port, admin_token, operations);
  Log(kAdminListening, {{"address", address}});
}

AdminServer::~AdminServer() = default;

}  // namespace bamboomount
