#include "peer/cell_map.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/rendezvous_hash.h"

namespace bamboomount {
namespace {

int SlotsOf(const Cell& cell) {
  int slots = 0;
  for (const CellBackend& backend : cell.backends)
    slots += backend.slots;
  return slots;
}

}  // namespace

CellMap::CellMap(const ServiceConfig& config) {
  for (const PoolRule& pool : config.pools)
    AddPool(pool, config.BackendsOf(pool.pool));
}

// Each server goes to the cell with the highest rendezvous weight that is not
// full. With one cell more or less, only servers of that cell and some that
// full cells had turned away change places.
void CellMap::AddPool(const PoolRule& pool,
                      const std::vector<BackendRule>& backends) {
  const auto size = static_cast<std::size_t>(std::max(1, pool.cell_size));
  const std::size_t count = (backends.size() + size - 1) / size;
  std::vector<CellId>& ids = cells_by_pool_[pool.pool];
  for (std::size_t i = 0; i < count; ++i) {
    const CellId id(pool.pool.value() + "/" + std::to_string(i));
    ids.push_back(id);
    cells_[id] = {id, pool.pool, {}};
  }
  std::vector<BackendRule> ordered = backends;
  std::sort(ordered.begin(), ordered.end(),
            [](const auto& a, const auto& b) { return a.backend < b.backend; });
  for (const BackendRule& backend : ordered) {
    Cell* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const CellId& id : ids) {
      Cell& cell = cells_[id];
      const auto weight = RendezvousWeight(backend.backend.value(), id.value());
      if (cell.backends.size() >= size)
        continue;
      if (best != nullptr && weight <= best_weight)
        continue;
      best = &cell;
      best_weight = weight;
    }
    best->backends.push_back({backend.backend, backend.zone,
                              backend.kind == BackendKind::kCheap,
                              backend.slots});
    cell_by_backend_[backend.backend] = best->cell;
  }
}

const Cell* CellMap::Find(const CellId& cell) const {
  const auto found = cells_.find(cell);
  return found == cells_.end() ? nullptr : &found->second;
}

const Cell* CellMap::CellOf(const BackendId& backend) const {
  const auto found = cell_by_backend_.find(backend);
  return found == cell_by_backend_.end() ? nullptr : Find(found->second);
}

std::vector<const Cell*> CellMap::CellsOf(const PoolId& pool) const {
  std::vector<const Cell*> cells;
  const auto found = cells_by_pool_.find(pool);
  if (found == cells_by_pool_.end())
    return cells;
  for (const CellId& cell : found->second)
    cells.push_back(Find(cell));
  return cells;
}

const Cell* CellMap::ChooseCell(const PoolId& pool,
                                const RequestId& request,
                                const std::vector<CellId>& excluded) const {
  auto cells = CellsOf(pool);
  std::erase_if(cells, [&](const Cell* cell) {
    return SlotsOf(*cell) == 0 || std::find(excluded.begin(), excluded.end(),
                                            cell->cell) != excluded.end();
  });
  if (cells.empty())
    return nullptr;
  int total = 0;
  for (const Cell* cell : cells)
    total += SlotsOf(*cell);
  auto point =
      static_cast<int>(RendezvousWeight(pool.value(), request.value()) %
                       static_cast<std::uint64_t>(total));
  for (const Cell* cell : cells) {
    point -= SlotsOf(*cell);
    if (point < 0)
      return cell;
  }
  return cells.back();
}

}  // namespace bamboomount
