#ifndef TESTS_ENTRY_FIXTURE_STORE_STANDIN_H_
#define TESTS_ENTRY_FIXTURE_STORE_STANDIN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "entry_fixture/server_thread.h"

namespace bamboomount::entry_test {

// How a StoreStandin handles calls.
enum class StoreMode {
  kUp,
  // Answers 503 without executing the call.
  kRefusing,
  // Closes the connection without a response or any effect.
  kClosing,
  // Accepts calls and does not respond until the mode changes.
  kSilent,
};

// What becomes of the rows of the operator and the backend servers that a copy
// lacks.
enum class LostRows {
  kWrittenAgain,
  // They are missing until WriteLostRowsAgain().
  kMissing,
};

// An accepted usage report.
struct UsageReport {
  std::string holder;
  std::int64_t token = 0;
  std::int64_t window = 0;
  nlohmann::json counts;
  std::chrono::steady_clock::time_point at;
};

// Stand-in for the table service of the platform, with rows, change feeds and
// conditional atomic transactions, and for the interface for usage reports and
// backend orders. Thread-safe.
class StoreStandin {
 public:
  StoreStandin();

  std::string address() const { return server_.address(); }

  // Writes a row, as the operator or a backend server does.
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  // Writes a row of another part of the table.
  void PutInPart(const std::string& table,
                 const std::string& part,
                 const std::string& key,
                 const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // The value of a row; empty if there is no such row.
  std::string Get(const std::string& table, const std::string& key);
  std::map<std::string, std::string> Table(const std::string& table);

  void SetMode(StoreMode mode);
  // Executes the next `count` commits and closes the connection without a
  // response.
  void LoseCommitResponses(int count);
  // Drops the change history: reads of changes from an earlier version get 410.
  void DiscardHistory();
  // Keeps a copy of all rows and of the version counter.
  void TakeCopy();
  // Comes back from the copy, as the platform's store does after a drill: what
  // instances have written since is gone, versions are given out again, reads
  // of changes from a version that was not given out yet get 410, and the era
  // in each response rises by one. The operator and the backend servers write
  // their present rows again, at once or with WriteLostRowsAgain().
  void RestoreCopy(LostRows lost_rows = LostRows::kWrittenAgain);
  void WriteLostRowsAgain();
  // Gives out `count` versions to tables that no instance reads.
  void AdvanceVersion(int count);
  // Number of calls received.
  int calls();
  // Accepted usage reports, in order.
  std::vector<UsageReport> UsageReports();
  // The last reported counts of each usage window.
  std::map<std::int64_t, nlohmann::json> LatestUsageCounts();

 private:
  // The table, and the key behind its part and kPartEnd if it is in one.
  using Key = std::pair<std::string, std::string>;
  static constexpr char kPartEnd = '\x1f';
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };

  struct Copy {
    std::map<Key, Row> rows;
    std::uint64_t version = 0;
  };

  boost::asio::awaitable<void> Handle(standin::Exchange& exchange);
  // A reply with the era, as all replies have it.
  standin::HttpReply JsonReply(int status, const nlohmann::json& body) const;
  // Whether the store cannot tell what has changed after the version.
  bool LacksHistorySince(std::uint64_t version) const;
  boost::asio::awaitable<void> ReadChanges(standin::Exchange& exchange);
  standin::HttpReply ReadTable(const standin::HttpRequest& request);
  standin::HttpReply Commit(const standin::HttpRequest& request);
  nlohmann::json ResponseMetadata() const;
  static nlohmann::json RowJson(const Key& key, const Row& row);
  bool ConditionHolds(const nlohmann::json& condition) const;
  void AcceptUsage(const standin::HttpRequest& request);
  void Write(const Key& key, const std::string& value, bool deleted);
  void WriteLostRows();

  std::map<Key, Row> rows_;
  std::uint64_t version_ = 1;
  std::uint64_t oldest_change_ = 0;
  Copy copy_;
  // Rows of the operator and the backend servers that the copy lacked.
  std::map<Key, Row> lost_rows_;
  std::uint64_t era_ = 0;
  StoreMode mode_ = StoreMode::kUp;
  int commit_responses_to_lose_ = 0;
  int call_count_ = 0;
  std::vector<UsageReport> reports_;
  const std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
  ServerThread server_;
};

}  // namespace bamboomount::entry_test

#endif  // TESTS_ENTRY_FIXTURE_STORE_STANDIN_H_
