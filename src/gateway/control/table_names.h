#ifndef GATEWAY_CONTROL_TABLE_NAMES_H_
#define GATEWAY_CONTROL_TABLE_NAMES_H_

// Tables and keys of the rows that the instances write.
namespace bamboomount::tables {

inline constexpr char kInstances[] = "bamboomount-instances";
inline constexpr char kMemberPrefix[] = "member/";
inline constexpr char kLeaseKey[] = "lease";
inline constexpr char kUsage[] = "bamboomount-usage";

}  // namespace bamboomount::tables

#endif  // GATEWAY_CONTROL_TABLE_NAMES_H_
