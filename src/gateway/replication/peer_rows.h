#ifndef GATEWAY_REPLICATION_PEER_ROWS_H_
#define GATEWAY_REPLICATION_PEER_ROWS_H_

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "gateway/control/http_channel.h"
#include "gateway/replication/replica_status.h"

namespace bamboomount {

// A question of one instance to another: what changed in a table after a
// version?
struct PeerRowsQuery {
  std::string table;
  RowVersion after;
};

// Target of the HTTP call that asks.
std::string EncodePeerRowsTarget(const PeerRowsQuery& query);
// Empty if the target is another call.
std::optional<PeerRowsQuery> DecodePeerRowsTarget(const std::string& target);

// Body of the answer, MessagePack. Decoding fails with kInternal.
std::string EncodePeerRows(const PeerRows& rows);
Result<PeerRows> DecodePeerRows(const std::string& table,
                                const std::string& body);

// Asks other instances for rows over HTTP, each question over a connection of
// its own.
class PeerRowsClient {
 public:
  using Callback = std::function<void(std::optional<PeerRows>)>;

  explicit PeerRowsClient(asio::io_context& context) : context_(context) {}

  // `done` gets nothing if the instance at `address` does not answer in time.
  void Fetch(const std::string& address,
             const PeerRowsQuery& query,
             Callback done);

 private:
  asio::io_context& context_;
  std::list<std::unique_ptr<HttpChannel>> channels_;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_PEER_ROWS_H_
