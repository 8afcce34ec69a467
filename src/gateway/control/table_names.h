#ifndef GATEWAY_CONTROL_TABLE_NAMES_H_
#define GATEWAY_CONTROL_TABLE_NAMES_H_

// Tables and keys of the rows that the instances write.
namespace bamboomount::tables {

// How each instance describes itself; the key is its name.
inline constexpr char kInstances[] = "bamboomount-instances";
inline constexpr char kLease[] = "bamboomount-lease";
inline constexpr char kLeaseKey[] = "duties";
// What began to run at each instance's word; the key is its incarnation.
inline constexpr char kIncarnationUsage[] = "bamboomount-usage-parts";
// The figures of each window, fixed before they are reported.
inline constexpr char kUsage[] = "bamboomount-usage";

}  // namespace bamboomount::tables

#endif  // GATEWAY_CONTROL_TABLE_NAMES_H_
