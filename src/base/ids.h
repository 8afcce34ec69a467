#ifndef BASE_IDS_H_
#define BASE_IDS_H_

#include "base/strong_id.h"

namespace bamboomount {

// An instance of the system, which accepts callers' requests.
using InstanceId = StrongId<struct InstanceIdTag>;
using ZoneId = StrongId<struct ZoneIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using CustomerId = StrongId<struct CustomerIdTag>;
using BackendId = StrongId<struct BackendIdTag>;
// A version of the software that a backend server runs. Versions have no order.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
// A group of backend servers of one model or one plain service.
using PoolId = StrongId<struct PoolIdTag>;
// A group of at most cell_size backend servers of one pool and region that
// share a queue.
using CellId = StrongId<struct CellIdTag>;
// A service class.
using ClassId = StrongId<struct ClassIdTag>;
// Unique for each caller's request across all instances.
using RequestId = StrongId<struct RequestIdTag>;
// Public identifier of a customer's key; not secret.
using KeyId = StrongId<struct KeyIdTag>;
// Hexadecimal SHA-256 of a customer's key.
using KeyDigest = StrongId<struct KeyDigestTag>;

}  // namespace bamboomount

#endif  // BASE_IDS_H_
