#ifndef ADMIN_ADMIN_SERVER_H_
#define ADMIN_ADMIN_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "admin/fleet_operations.h"

namespace bamboomount {

// HTTP server of the operators' interface; replies are not streamed. Requests
// to paths that start with /admin need "Authorization: Bearer <admin token>".
class AdminServer {
 public:
  // Listens on `address` ("ip:port") and serves on its own threads until it is
  // destroyed. Throws std::runtime_error if `address` is invalid or cannot be
  // listened on. `operations` must outlive it and be thread-safe.
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
