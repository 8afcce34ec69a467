#ifndef POLICY_CELL_BACKEND_H_
#define POLICY_CELL_BACKEND_H_

#include "base/base.h"

namespace bamboomount {

// Configuration of one backend server of a cell.
struct CellBackend {
  BackendId backend;
  ZoneId zone;
  // Whether it runs on cheap (reclaimable) capacity.
  bool cheap = false;
  // Requests that it may run at a time.
  int slots = 1;
};

}  // namespace bamboomount

#endif  // POLICY_CELL_BACKEND_H_
