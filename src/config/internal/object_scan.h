#ifndef CONFIG_INTERNAL_OBJECT_SCAN_H_
#define CONFIG_INTERNAL_OBJECT_SCAN_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.h"

namespace bamboomount::internal {

// Converts offsets in a text to lines and columns. Each byte is one column.
class TextPositions {
 public:
  TextPositions(std::string_view text, int first_line, int first_column)
      : text_(text), first_line_(first_line), first_column_(first_column) {}

  ConfigError ErrorAt(std::size_t offset, std::string message) const;

 private:
  std::string_view text_;
  int first_line_;
  int first_column_;
};

// Counts the characters that the JSON lexer has consumed. The SAX interface
// offers no other way to determine positions.
class CountingIterator {
 public:
  using iterator_category = std::forward_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator() = default;
  CountingIterator(const char* at, std::size_t* count)
      : at_(at), count_(count) {}

  reference operator*() const { return *at_; }
  CountingIterator& operator++() {
    ++at_;
    ++*count_;
    return *this;
  }
  CountingIterator operator++(int) {
    CountingIterator before = *this;
    ++*this;
    return before;
  }
  friend bool operator==(const CountingIterator& a, const CountingIterator& b) {
    return a.at_ == b.at_;
  }

 private:
  const char* at_ = nullptr;
  std::size_t* count_ = nullptr;
};

// A field of an object and its position in the text.
struct ScannedField {
  std::string name;
  // Offsets of the first character of the name and of the value.
  std::size_t name_offset = 0;
  std::size_t value_offset = 0;
};

// The error that ended a scan.
struct ScanFault {
  std::size_t offset = 0;
  std::string message;
  // The text ended inside the object.
  bool at_end = false;
};

// A JSON object with the positions of its fields. All offsets are in bytes.
struct ObjectScan {
  std::vector<ScannedField> fields;
  nlohmann::json value;
  // Offset after the closing brace.
  std::size_t end = 0;
  std::optional<ScanFault> fault;
};

// What may follow the object in a scanned text.
enum class ScanExtent {
  // Text after the object is ignored.
  kPrefix,
  // Only comments may follow the object.
  kWholeText,
};

// Parses the object at the start of `text`; comments are allowed. Sets `fault`
// if there is none or it is malformed.
ObjectScan ScanObject(std::string_view text, ScanExtent extent);

// Strips the position from an error message of the JSON parser.
std::string WithoutPosition(const std::string& parser_message);

}  // namespace bamboomount::internal

#endif  // CONFIG_INTERNAL_OBJECT_SCAN_H_
