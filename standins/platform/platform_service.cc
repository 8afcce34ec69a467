#include "platform_service.h"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/query_params.h>

#include <exception>
#include <nlohmann/json.hpp>
#include <string>

#include "endpoints.h"
#include "shut_down.h"

namespace bamboomount::standin {
namespace {

class PlatformResponder : public cxxtools::http::Responder {
 public:
  PlatformResponder(cxxtools::http::Service& service, PlatformState& state)
      : Responder(service), state_(state) {}

  void beginRequest(cxxtools::net::TcpSocket& socket,
                    std::istream& in,
                    cxxtools::http::Request& request) override {
    Responder::beginRequest(socket, in, request);
    socket_ = &socket;
  }

  void reply(std::ostream&,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    const Response response = Serve(request);
    reply.httpReturn(response.status, response.status < 300 ? "OK" : "Error");
    reply.setHeader("Content-Type", "application/json");
    if (response.era) {
      reply.setHeader("Store-Era",
                      std::to_string(response.era->value()).c_str());
    }
    reply.bodyStream() << response.body;
  }

 private:
  Response Serve(const cxxtools::http::Request& request) {
    const Endpoint* endpoint = FindEndpoint(request.method(), request.url());
    if (endpoint == nullptr)
      return {404, R"({"error":{"code":"unknown_path"}})"};
    const cxxtools::QueryParams params(request.qparams());
    const Call call{request.method(), request.url(),
                    endpoint->parameter_name.empty()
                        ? std::string()
                        : params.param(endpoint->parameter_name),
                    request.bodyStr()};
    CallFaults faults;
    if (call.path != "/faults")
      faults = state_.faults.WaitAndTakeFaults(call.path, call.method != "GET");
    if (faults.outage == Outage::kUnavailable)
      return {503, R"({"error":{"code":"outage"}})"};
    if (faults.outage == Outage::kClosed) {
      ShutDown(*socket_);
      return {};
    }
    Response response = Handle(*endpoint, call);
    if (faults.response_lost)
      ShutDown(*socket_);
    return response;
  }

  Response Handle(const Endpoint& endpoint, const Call& call) {
    try {
      return endpoint.handle(state_, call);
    } catch (const std::exception& error) {
      return {
          400,
          nlohmann::json{
              {"error", {{"code", "bad_request"}, {"message", error.what()}}}}
              .dump()};
    }
  }

  PlatformState& state_;
  cxxtools::net::TcpSocket* socket_ = nullptr;
};

}  // namespace

cxxtools::http::Responder* PlatformService::createResponder(
    const cxxtools::http::Request&) {
  return new PlatformResponder(*this, state_);
}

void PlatformService::releaseResponder(cxxtools::http::Responder* responder) {
  delete responder;
}

}  // namespace bamboomount::standin
