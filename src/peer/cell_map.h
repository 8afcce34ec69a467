#ifndef PEER_CELL_MAP_H_
#define PEER_CELL_MAP_H_

#include <map>
#include <vector>

#include "config/config.h"
#include "policy/policy.h"

namespace bamboomount {

// A group of backend servers of one pool whose slots a single router, the owner
// of the cell, allocates.
struct Cell {
  CellId cell;
  PoolId pool;
  std::vector<CellBackend> backends;
};

// Partitions the backend servers of each pool into the smallest number of cells
// of at most `cell_size` servers. The result depends only on the configuration,
// so all routers compute the same map. Adding or removing a server moves few
// others. Concurrent calls of const functions are safe.
class CellMap {
 public:
  CellMap() = default;
  explicit CellMap(const ServiceConfig& config);

  const std::map<CellId, Cell>& cells() const { return cells_; }
  // Returns nullptr if there is no such cell.
  const Cell* Find(const CellId& cell) const;
  // Returns the cell that contains `backend`, or nullptr if there is none.
  const Cell* CellOf(const BackendId& backend) const;
  // Returns the cells of `pool`; empty if the pool is not configured.
  std::vector<const Cell*> CellsOf(const PoolId& pool) const;
  // Chooses a cell of the pool by a hash of the request id, in proportion to
  // the slots of the cells. Cells without slots and cells in `excluded` are not
  // chosen. Returns nullptr if no cell is left.
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
