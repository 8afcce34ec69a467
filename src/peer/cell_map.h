#ifndef PEER_CELL_MAP_H_
#define PEER_CELL_MAP_H_

#include <map>
#include <vector>

#include "config/config.h"
#include "policy/policy.h"

namespace bamboomount {

struct Cell {
  CellId cell;
  PoolId pool;
  std::vector<CellBackend> backends;
};

// Divides the backend servers of each pool into as few cells of at most
// cell_size as possible. It depends on the configuration alone, so that all
// routers agree, and moves few servers when one is added or removed.
class CellMap {
 public:
  CellMap() = default;
  explicit CellMap(const ServiceConfig& config);

  const std::map<CellId, Cell>& cells() const { return cells_; }
  // nullptr if there is none.
  const Cell* Find(const CellId& cell) const;
  const Cell* CellOf(const BackendId& backend) const;
  std::vector<const Cell*> CellsOf(const PoolId& pool) const;
  // A cell of the pool for `request`, in proportion to the cells' slots and
  // without those in `excluded`; nullptr if none is left.
  const Cell* ChooseCell(const PoolId& pool,
                         const RequestId& request,
                         const std::vector<CellId>& excluded) const;

 private:
  void AddPool(const PoolRule& pool, const std::vector<BackendRule>& backends);

  std::map<CellId, Cell> cells_;
  std::map<PoolId, std::vector<CellId>> cells_by_pool_;
  std::map<BackendId, CellId> cell_by_backend_;
};

}  // namespace bamboomount

#endif  // PEER_CELL_MAP_H_
