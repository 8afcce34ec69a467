#include "gateway/replication/fleet_news.h"

#include <utility>

namespace bamboomount {

PeerNews FleetNews::DescribeNews() {
  const Instant now = BootClock::now();
  PeerNews news;
  for (std::size_t i = 0; i < kSharedTables; ++i)
    news.tables[i] = followers_[i]->news();
  news.signs.wall_offset = state_.LocalWallClockOffset(now);
  news.signs.store_reachable = state_.store_reachable();
  news.store_back = state_.store_recovery_time();
  news.holder = lease_.LatestHolderStatement(now);
  news.ejected = state_.health().EjectedServers(now);
  return news;
}

void FleetNews::OnNews(PeerNews news, const Member& sender) {
  const Instant now = BootClock::now();
  // Before the rows: they are read in its light.
  state_.RecordStoreRecovery(news.store_back, now);
  const std::string& address = sender.peer_address;
  for (std::size_t i = 0; i < kSharedTables; ++i) {
    // The sender has not read the table yet.
    if (news.tables[i].position == RowVersion())
      continue;
    TableFollower& follower = *followers_[i];
    follower.OnPeerNews(
        news.tables[i], [this, &follower, address](
                            RowVersion after, PeerRowsClient::Callback done) {
          client_.Ask(address, {follower.table(), after}, std::move(done));
        });
  }
  if (news.holder)
    lease_.OnHolderStatement(*news.holder, now);
  state_.health().SetRemoteEjections(news.instance, news.ejected, now);
  if (news.usage)
    state_.RecordPeerUsage(news.usage->incarnation,
                           std::move(news.usage->part));
  if (news.loads)
    state_.loads().SetRemoteLoads(news.instance, std::move(*news.loads));
}

void FleetNews::OnStranger(const InstanceId& instance) {
  watch_.OnStranger(instance);
}

void FleetNews::OnSilence(const std::vector<InstanceId>& heard) {
  state_.loads().RetainRemoteLoads(heard);
}

std::optional<std::string> FleetNews::AnswerRows(
    const std::string& target) const {
  const auto query = DecodePeerRowsTarget(target);
  if (!query)
    return std::nullopt;
  for (const TableFollower* follower : followers_) {
    if (follower->table() == query->table && follower->known())
      return EncodePeerRows(follower->RowsSince(query->after));
  }
  return std::nullopt;
}

}  // namespace bamboomount
