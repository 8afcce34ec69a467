#ifndef POLICY_CELL_BACKEND_H_
#define POLICY_CELL_BACKEND_H_

#include "base/base.h"

namespace bamboomount {

// A backend server of the cell as the configuration describes it.
struct CellBackend {
  BackendId backend;
  ZoneId zone;
  bool cheap = false;
  int slots = 1;
};

}  // namespace bamboomount

#endif  // POLICY_CELL_BACKEND_H_
