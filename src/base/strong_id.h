#ifndef BASE_STRONG_ID_H_
#define BASE_STRONG_ID_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bamboomount {

// A string identifier that does not convert to other kinds of identifiers.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

}  // namespace bamboomount

template <typename Tag>
struct std::hash<bamboomount::StrongId<Tag>> {
  std::size_t operator()(const bamboomount::StrongId<Tag>& id) const {
    return std::hash<std::string>{}(id.value());
  }
};

#endif  // BASE_STRONG_ID_H_
