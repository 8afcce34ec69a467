#ifndef CHECK_REPLICATION_WORLD_H_
#define CHECK_REPLICATION_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/membership/state_freshness.h"
#include "gateway/replication/table_follower.h"

namespace bamboomount::check {

// Instances with the real TableFollower and StateFreshness, and a store whose
// table has one key. Calls, answers and messages arrive at once or in any order
// at any time; messages between instances are lost or come twice. An instance
// sleeps as long as it takes no step. The store may come back from a copy, in a
// new era in which it gives out versions again.
//
// Properties: an instance has exactly the rows of its position, which never
// goes back, and has reached the position of the store's time that it holds as
// confirmed; it does not use a row that was removed more than kBound ago and
// count its rows as confirmed within kBound.
class ReplicationWorld {
 public:
  static constexpr Millis kTick{1000};
  static constexpr Millis kBound{2000};

  struct Options {
    std::size_t instances = 2;
    // Whether calls and messages may arrive later than at once.
    bool has_delays = true;
    // Whether the store has dropped the history that the instances need.
    bool history_is_lost = false;
    // How often the store takes a copy, and comes back from it.
    std::size_t copies = 0;
    std::size_t restores = 0;
  };

  explicit ReplicationWorld(const Options& options);
  ~ReplicationWorld();

  std::vector<std::string> Steps() const;
  void Take(std::size_t step);
  std::string State() const;
  std::string Violation() const;

 private:
  class Connection;
  struct Instance;
  // A change of the key.
  struct Change {
    RowVersion version;
    bool removed = false;
    Instant at;
  };
  // The changes that the store has in one era.
  struct History {
    std::vector<Change> changes;
    // The first of them that was made in the era; those before are the copy's.
    std::size_t first_new = 0;
    RowVersion position;
    // Changes up to this version can't be read.
    RowVersion start;
    // When the store came back from a copy; empty for the present era.
    std::optional<Instant> end;
  };
  // A call, answer or message on its way.
  struct Work {
    // Says all that it carries, since states are told apart by it.
    std::string name;
    std::function<void()> deliver;
    bool is_message = false;
  };
  struct Step {
    std::string name;
    std::function<void()> take;
  };

  std::vector<Step> PossibleSteps();
  // Adds a step that begins a call or sends a message, and the same with all
  // that follows from it at once.
  void AddCall(std::vector<Step>& steps,
               const std::string& name,
               const std::function<void()>& begin);
  void AddStoreSteps(std::vector<Step>& steps);
  void Write(bool removed);
  void RestoreCopy();
  History& present() { return eras_.back(); }
  const History& present() const { return eras_.back(); }
  void Send(std::string name, std::function<void()> deliver, bool is_message);
  void SendStatus(std::size_t from, std::size_t to);
  void Deliver(std::size_t index, bool keep);
  void RunTimers();
  StoreResponseInfo StoreInfo(Instant sent) const;
  std::vector<TableRow> Rows(RowVersion after, bool with_removals) const;
  // Version of the key's row at `position`; 0 if there is none.
  std::uint64_t VersionAt(const TablePosition& position) const;
  // What is wrong with what the instance holds as confirmed or uses, as to the
  // changes of one era; empty if nothing is.
  std::string CheckChanges(const Instance& instance, std::size_t era) const;
  std::string CheckInstance(Instance& instance) const;
  void Check();

  const Options options_;
  asio::io_context context_;
  Instant now_{std::chrono::hours(1)};
  // Indexed by the era.
  std::vector<History> eras_{1};
  std::optional<History> copy_;
  std::size_t copies_taken_ = 0;
  std::vector<Work> works_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::string violation_;
};

}  // namespace bamboomount::check

#endif  // CHECK_REPLICATION_WORLD_H_
