#ifndef BASE_IDS_H_
#define BASE_IDS_H_

#include "base/strong_id.h"

namespace bamboomount {

// An entry instance of the system.
using InstanceId = StrongId<struct InstanceIdTag>;
using ZoneId = StrongId<struct ZoneIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using CustomerId = StrongId<struct CustomerIdTag>;
using BackendId = StrongId<struct BackendIdTag>;
// A group of backend servers of one model or plain service.
using PoolId = StrongId<struct PoolIdTag>;
// Up to cell_size backend servers of one pool and region that share a queue.
using CellId = StrongId<struct CellIdTag>;
using ClassId = StrongId<struct ClassIdTag>;
// Unique for each request of a caller over all entry instances.
using RequestId = StrongId<struct RequestIdTag>;
// Public name of a customer's key; not secret.
using KeyId = StrongId<struct KeyIdTag>;
// Hexadecimal SHA-256 of a customer's key.
using KeyDigest = StrongId<struct KeyDigestTag>;

}  // namespace bamboomount

#endif  // BASE_IDS_H_
