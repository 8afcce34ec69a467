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

// A table of the store with its history of versions.
class VersionedTable {
 public:
  void Write(const std::string& key, bool removed) {
    ++version_;
    history_.push_back({"t", key, "", RowVersion(version_), removed});
  }
  // A transaction on another table.
  void AdvanceVersion() { ++version_; }

  RowVersion position() const { return RowVersion(version_); }
  // The last change of each key after `after`, as the store returns them.
  std::vector<TableRow> Changes(RowVersion after) const {
    std::map<std::string, TableRow> last;
    for (const TableRow& row : history_) {
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
  TableContent ContentAt(RowVersion position) const {
    TableContent content;
    for (const TableRow& row : history_) {
      if (row.version > position)
        break;
      if (row.deleted)
        content.erase(row.key);
      else
        content[row.key] = row.version.value();
    }
    return content;
  }

 private:
  std::vector<TableRow> history_;
  std::uint64_t version_ = 0;
};

}  // namespace bamboomount

#endif  // TESTS_GATEWAY_VERSIONED_TABLE_H_
