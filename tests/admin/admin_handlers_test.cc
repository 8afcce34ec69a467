#include <boost/test/unit_test.hpp>

#include "admin/fake_fleet_operations.h"
#include "admin/internal/admin_handlers.h"

namespace bamboomount {

BOOST_AUTO_TEST_SUITE(admin_handlers)

// Health checks and scrapers carry no token; everything else must.
BOOST_AUTO_TEST_CASE(only_health_and_metrics_need_no_token) {
  LogFixture stores;
  FakeFleetOperations operations("one", stores);
  const internal::AdminHandlers handlers(operations, "t");
  const auto status = [&](const char* method, const char* path,
                          const char* authorization, const char* body = "") {
    return handlers.Handle({method, path, {}, authorization, body}).status;
  };
  BOOST_TEST(status("GET", "/healthz", "") == 200);
  operations.healthy = false;
  BOOST_TEST(status("GET", "/healthz", "") == 503);
  BOOST_TEST(status("GET", "/metrics", "") == 200);
  BOOST_TEST(status("GET", "/admin/status", "") == 401);
  BOOST_TEST(status("GET", "/admin/status", "Bearer ") == 401);
  BOOST_TEST(status("GET", "/admin/status", "Basic t") == 401);
  BOOST_TEST(status("GET", "/admin/status", "Bearer t") == 200);
  BOOST_TEST(status("POST", "/admin/status", "Bearer t") == 405);
  BOOST_TEST(status("GET", "/admin/unknown", "Bearer t") == 404);
  BOOST_TEST(status("POST", "/admin/config", "Bearer t", "{") == 400);
  BOOST_TEST(status("POST", "/admin/config", "Bearer t", "[1]") == 400);
  BOOST_TEST(status("POST", "/admin/keys/withdraw", "Bearer t",
                    "{\"author\":\"A\\n\",\"key\":\"k\",\"emergency\":true}") ==
             400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
