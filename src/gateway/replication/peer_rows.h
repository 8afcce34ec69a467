#ifndef GATEWAY_REPLICATION_PEER_ROWS_H_
#define GATEWAY_REPLICATION_PEER_ROWS_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway/control/http_channel.h"
#include "gateway/replication/replica_status.h"

namespace bamboomount {

// A query to a peer for the changes of a table after a position.
struct PeerRowsQuery {
  std::string table;
  TablePosition after;
};

// The query as the target of an HTTP GET request.
std::string EncodePeerRowsTarget(const PeerRowsQuery& query);
// Empty if the target is another call or lacks the version.
std::optional<PeerRowsQuery> DecodePeerRowsTarget(const std::string& target);

// Encodes the responses to queries of peers: MessagePack, with the rows
// compressed. After a change many peers query the same rows, so the compressed
// rows of the last response of each table are kept. Not thread-safe.
class PeerRowsEncoder {
 public:
  // `rows` is the response to `query`. The digest of the status is not sent.
  std::string Encode(const PeerRowsQuery& query, const PeerRows& rows);

 private:
  struct CompressedRows {
    TablePosition after;
    StoreEra era;
    RowVersion revision;
    bool is_snapshot = false;
    std::vector<std::uint8_t> bytes;
  };

  std::map<std::string, CompressedRows> last_by_table_;
};

// Decodes the response of a peer. Fails with kInternal if it is malformed.
Result<PeerRows> DecodePeerRows(const std::string& table,
                                const std::string& body);

// Fetches rows from other instances over HTTP, each query on a new connection.
// Used from the thread of the io_context.
class PeerRowsClient {
 public:
  using Callback = std::function<void(std::optional<PeerRows>)>;

  explicit PeerRowsClient(asio::io_context& context) : context_(context) {}

  // Queries the instance at `address` ("ip:port"). `done` gets an empty value
  // if no valid response begins within 400 ms or if it does not arrive, see
  // HttpChannel.
  void Fetch(const std::string& address,
             const PeerRowsQuery& query,
             Callback done);

 private:
  asio::io_context& context_;
  std::list<std::unique_ptr<HttpChannel>> channels_;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_PEER_ROWS_H_
