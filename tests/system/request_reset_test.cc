#include <boost/test/unit_test.hpp>
#include <future>

#include "provider/in_memory_table_store.h"
#include "router/router.h"
#include "support/chat_client.h"
#include "system/fleet_options.h"

namespace bamboomount::support {
namespace {

// Grants the only plain service at once. The scheduler would eject the server
// for seconds after each failure.
class FixedSlotBroker : public SlotBroker {
 public:
  void Request(const PoolId& /*pool*/,
               const SlotRequest& request,
               Callback done) override {
    if (!request.excluded.empty()) {
      done(Error{ErrorCode::kNoBackend,
                 RunVerdict::kNotRun,
                 "the only backend server is excluded",
                 {}});
      return;
    }
    done(Slot{request.request, BackendId("s-1")});
  }
  void Cancel(const RequestId& /*request*/) override {}
  void Release(const RequestId& /*request*/,
               const SlotOutcome& /*outcome*/) override {}
  void ReportProgress(const RequestId& /*request*/,
                      Tokens /*generated*/) override {}
};

// A router in this process with the configuration and key of a fleet.
class InProcessRouter {
 public:
  explicit InProcessRouter(const Fleet& fleet)
      : server_(Options(),
                {state_, slots_, table_, metrics_, spans_, [] { return true; },
                 [] { return std::vector<InstanceAddress>(); },
                 [](const CustomerId&, Tokens, Tokens) {}}) {
    ControlState state;
    state.sequence = ChangeSequence(1);
    state.config = std::make_shared<const ServiceConfig>(
        ReadServiceConfig(fleet.ConfigText(100)).config);
    state.keys[KeyDigest(Sha256Hex(fleet.key()))] = {
        KeyId("first"), CustomerId("kennel"), false};
    state_.Advance(std::make_shared<const ControlState>(std::move(state)));
    server_.Start();
  }

  std::string address() const { return server_.listen_address(); }

 private:
  static RouterOptions Options() {
    RouterOptions options;
    options.instance = InstanceId("local");
    options.listen_address = "127.0.0.1:0";
    return options;
  }

  ControlStateHolder state_;
  FixedSlotBroker slots_;
  InMemoryTableStore table_;
  Metrics metrics_;
  SpanStore spans_{100};
  RouterServer server_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(request_reset)

// Guards against the verdict "ran":"no" once the first byte was sent: a caller
// would retry a call that the server may have received. The service resets the
// connection after each possible number of request bytes.
BOOST_AUTO_TEST_CASE(verdict_is_unknown_once_the_first_byte_is_sent) {
  Fleet fleet(TestFleetOptions(1, 1, 0));
  const InProcessRouter router(fleet);
  constexpr int kMaxBoundaries = 1000;
  // A repeated call waits some seconds for the first one to end, so only some
  // calls are repeated, all concurrently.
  constexpr int kBoundariesPerRepeat = 16;
  std::vector<std::future<ClientResponse>> repeats;
  int boundary = 0;
  for (; boundary < kMaxBoundaries; ++boundary) {
    const std::string name = "cut-" + std::to_string(boundary);
    fleet.service(0).SetFaults(R"({"times":1,"reset_at_byte":)" +
                               std::to_string(boundary) + "}");
    const ClientRequest call{
        "POST",
        Fleet::kRegistration,
        {{"Authorization", "Bearer " + fleet.key()}, {"Idempotency-Key", name}},
        name};
    const ClientResponse cut = CallOnce(router.address(), call);
    if (cut.status == 200)
      break;
    const bool is_unknown =
        cut.status == 502 && ErrorMember(cut.body, "ran") == "unknown";
    BOOST_TEST(is_unknown, "byte " << boundary << ": " << cut.body);
    if (boundary % kBoundariesPerRepeat != 0)
      continue;
    repeats.push_back(std::async(std::launch::async, [&router, call] {
      return CallOnce(router.address(), call);
    }));
  }
  BOOST_TEST(boundary > 100);
  BOOST_TEST(boundary < kMaxBoundaries);
  for (auto& repeat : repeats) {
    const ClientResponse again = repeat.get();
    const bool is_claimed =
        again.status == 409 && ErrorMember(again.body, "ran") == "unknown";
    BOOST_TEST(is_claimed, again.body);
  }
  fleet.service(0).SetFaults("{}");
  // Only the call beyond the last boundary ran.
  BOOST_TEST(fleet.ExecutedRequests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount::support
