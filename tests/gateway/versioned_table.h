#ifndef TESTS_GATEWAY_VERSIONED_TABLE_H_
#define TESTS_GATEWAY_VERSIONED_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/control/async_table_store.h"

namespace bamboomount {

// Versions of the rows of a table by key.
using TableContent = std::map<std::string, std::uint64_t>;

// A table of the store with its history of versions, in each era of the store.
class VersionedTable {
 public:
  void Write(const std::string& key, bool removed) {
    ++present().version;
    present().rows.push_back(
        {"t", key, "", RowVersion(present().version), removed});
  }
  // A transaction on another table.
  void AdvanceVersion() { ++present().version; }

  void TakeCopy() { copy_ = present(); }
  // Comes back from the copy in a new era; versions are given out again.
  void RestoreCopy() { eras_.push_back(copy_); }

  TablePosition position() const {
    return {StoreEra(eras_.size() - 1), RowVersion(present().version)};
  }
  // The last change of each key after `after`, as the store returns them.
  std::vector<TableRow> Changes(RowVersion after) const {
    std::map<std::string, TableRow> last;
    for (const TableRow& row : present().rows) {
      if (row.version > after)
        last.insert_or_assign(row.key, row);
    }
    std::vector<TableRow> changes;
    changes.reserve(last.size());
    for (const auto& [key, row] : last)
      changes.push_back(row);
    return changes;
  }
  std::vector<TableRow> Rows() const {
    std::vector<TableRow> rows;
    for (const TableRow& row : Changes(RowVersion())) {
      if (!row.deleted)
        rows.push_back(row);
    }
    return rows;
  }
  // The rows as of `position`.
  TableContent ContentAt(const TablePosition& position) const {
    TableContent content;
    for (const TableRow& row : eras_.at(position.era.value()).rows) {
      if (row.version > position.version)
        break;
      if (row.deleted)
        content.erase(row.key);
      else
        content[row.key] = row.version.value();
    }
    return content;
  }

 private:
  struct History {
    std::vector<TableRow> rows;
    std::uint64_t version = 0;
  };

  History& present() { return eras_.back(); }
  const History& present() const { return eras_.back(); }

  // Indexed by the era.
  std::vector<History> eras_{1};
  History copy_;
};

}  // namespace bamboomount

#endif  // TESTS_GATEWAY_VERSIONED_TABLE_H_
