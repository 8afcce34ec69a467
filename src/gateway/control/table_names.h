#ifndef GATEWAY_CONTROL_TABLE_NAMES_H_
#define GATEWAY_CONTROL_TABLE_NAMES_H_

// Tables and keys of the rows that instances write.
namespace bamboomount::tables {

// Descriptions of the instances, by instance name.
inline constexpr char kInstances[] = "bamboomount-instances";
inline constexpr char kLease[] = "bamboomount-lease";
inline constexpr char kLeaseKey[] = "duties";
// Requests started by each incarnation of an instance, by incarnation.
inline constexpr char kIncarnationUsage[] = "bamboomount-usage-parts";
// Sealed counts of each usage window, by window number.
inline constexpr char kUsage[] = "bamboomount-usage";

}  // namespace bamboomount::tables

#endif  // GATEWAY_CONTROL_TABLE_NAMES_H_
