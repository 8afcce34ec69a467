#ifndef ADMIN_INTERNAL_ADMIN_HANDLERS_H_
#define ADMIN_INTERNAL_ADMIN_HANDLERS_H_

#include <map>
#include <string>

#include "admin/fleet_operations.h"
#include "admin/internal/admin_token.h"

namespace bamboomount::internal {

struct AdminRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  // Value of the Authorization header, or empty.
  std::string authorization;
  std::string body;
};

struct AdminReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

// Answers operators' requests without knowledge of sockets. Thread-safe.
class AdminHandlers {
 public:
  AdminHandlers(FleetOperations& operations, std::string_view admin_token)
      : operations_(operations), token_(admin_token) {}

  AdminReply Handle(const AdminRequest& request) const;
  // For a request whose body is too large to be read.
  AdminReply RejectOversizedBody(const AdminRequest& request) const;
  // Whether the request may be handled; its body is of no use otherwise.
  bool IsAuthorized(const AdminRequest& request) const;

 private:
  using Handler = AdminReply (AdminHandlers::*)(const AdminRequest&) const;
  struct Route {
    std::string_view method;
    std::string_view path;
    Handler handler;
  };
  static const std::vector<Route>& Routes();

  AdminReply Dispatch(const AdminRequest& request) const;

  AdminReply Health(const AdminRequest& request) const;
  AdminReply Metrics(const AdminRequest& request) const;
  AdminReply Status(const AdminRequest& request) const;
  AdminReply Position(const AdminRequest& request) const;
  AdminReply Config(const AdminRequest& request) const;
  AdminReply ConfigHistory(const AdminRequest& request) const;
  AdminReply ApplyConfig(const AdminRequest& request) const;
  AdminReply Keys(const AdminRequest& request) const;
  AdminReply GrantKey(const AdminRequest& request) const;
  AdminReply WithdrawKey(const AdminRequest& request) const;
  AdminReply Drain(const AdminRequest& request) const;
  AdminReply Trace(const AdminRequest& request) const;
  AdminReply Usage(const AdminRequest& request) const;

  FleetOperations& operations_;
  const AdminToken token_;
};

}  // namespace bamboomount::internal

#endif  // ADMIN_INTERNAL_ADMIN_HANDLERS_H_
