#ifndef ADMIN_ADMIN_SERVER_H_
#define ADMIN_ADMIN_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "admin/fleet_operations.h"

namespace bamboomount {

// Serves the operators' interface over HTTP with whole replies. Requests to
// paths below /admin need "Authorization: Bearer <admin token>".
class AdminServer {
 public:
  // Listens on `address` ("ip:port") and answers in threads of its own until
  // it is destroyed. Throws std::runtime_error if it cannot listen there.
  // `operations` must outlive it.
  AdminServer(const std::string& address,
              const std::string& admin_token,
              FleetOperations& operations);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bamboomount

#endif  // ADMIN_ADMIN_SERVER_H_
