#ifndef GATEWAY_REPLICATION_FLEET_NEWS_H_
#define GATEWAY_REPLICATION_FLEET_NEWS_H_

#include <string>
#include <vector>

#include "gateway/control/duty_lease_manager.h"
#include "gateway/gateway_state.h"
#include "gateway/replication/peer_exchange.h"
#include "gateway/replication/peer_rows.h"
#include "gateway/replication/store_watch.h"

namespace bamboomount {

// What this instance tells others and does with their news: how far the tables
// of the store are known, who holds the duty lease, and the load on backend
// servers.
class FleetNews : public PeerNewsHandler {
 public:
  FleetNews(asio::io_context& context,
            GatewayState& state,
            const StoreWatch::Followers& followers,
            StoreWatch& watch,
            DutyLeaseManager& lease)
      : state_(state),
        followers_(followers),
        watch_(watch),
        lease_(lease),
        client_(context) {}

  PeerNews DescribeNews() override;
  void OnNews(PeerNews news, const Member& sender) override;
  void OnStranger(const InstanceId& instance) override;
  void OnSilence(const std::vector<InstanceId>& heard) override;

  // Answers another instance's question; empty if it is another call or the
  // table is not known here.
  std::optional<std::string> AnswerRows(const std::string& target) const;

 private:
  GatewayState& state_;
  const StoreWatch::Followers followers_;
  StoreWatch& watch_;
  DutyLeaseManager& lease_;
  PeerRowsClient client_;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_FLEET_NEWS_H_
